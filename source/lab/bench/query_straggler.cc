#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/bench/query_parts.h"
#include "lab/bench/stand_in_fleet.h"

namespace juniperway::lab {
namespace {

using routing::ReplicaPolicy;

enum class Slowness {
  kNone,
  // 1 back end in 20, 20 times slower.
  kStraggler,
  // 1 subquery in 500 takes 80 ms longer, at any back end.
  kStalls,
};

struct Case {
  std::string name;
  Slowness slowness = Slowness::kNone;
  bool hedging = true;
  ReplicaPolicy policy = ReplicaPolicy::kLeastLoadedOfTwo;
  double hedge_quantile = resources::Service{}.hedge_quantile;
};

struct Figures {
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> extra;
  std::vector<double> whole;
  std::vector<double> hedges;
  std::vector<double> budget_refusals;
};

void SlowDown(StandInFleet& stand_ins, Slowness slowness) {
  constexpr double kSlowFactor = 20;
  constexpr std::uint32_t kOneIn = 20;
  constexpr double kStallProbability = 0.002;
  constexpr int kStallMs = 80;
  const bool stalls = slowness == Slowness::kStalls;
  stand_ins.ChangeBehaviour(
      "*", {{"slow_factor", 1},
            {"stall_ms", kStallMs},
            {"stall_probability", stalls ? kStallProbability : 0}});
  if (slowness != Slowness::kStraggler) {
    return;
  }
  const std::uint32_t partitions = stand_ins.shape().partitions;
  const std::uint32_t backends = partitions * stand_ins.shape().replicas;
  for (std::uint32_t slow = 0; slow < backends / kOneIn; ++slow) {
    stand_ins.ChangeBehaviour(
        StandInFleet::BackendName(slow * 7 % partitions, 0),
        {{"slow_factor", kSlowFactor}});
  }
}

void Measure(const QueryBenchFlags& flags, StandInFleet& stand_ins,
             const Case& one, Figures& figures) {
  constexpr double kRate = 80;
  SlowDown(stand_ins, one.slowness);
  GatewayShape shape;
  shape.replica_policy = one.policy;
  shape.service = [&one](resources::Service& service) {
    service.hedging = one.hedging;
    service.hedge_quantile = one.hedge_quantile;
  };
  BenchGateway gateway(stand_ins, shape);
  LoadShape load = ClosedLoop(gateway, flags, 0);
  load.rate = kRate;
  WarmUp(load);
  const std::uint64_t before = stand_ins.TotalBegun();
  const LoadResult result = RunLoad(load);
  const auto begun = static_cast<double>(stand_ins.TotalBegun() - before);
  const double needed =
      static_cast<double>(load.count) * stand_ins.shape().partitions;
  figures.p50.push_back(ToMs(result.Quantile(0.5)));
  figures.p99.push_back(ToMs(result.Quantile(0.99)));
  figures.extra.push_back(begun / needed - 1);
  figures.whole.push_back(static_cast<double>(result.Whole()) / load.count);
  const std::string subqueries = "juniperway_front_subqueries_total";
  const double firsts = gateway.Counter(subqueries, "kind=\"first\"");
  figures.hedges.push_back(gateway.Counter(subqueries, "kind=\"hedge\"") /
                           firsts);
  figures.budget_refusals.push_back(
      gateway.Counter("juniperway_front_budget_refusals_total") / firsts);
}

std::vector<Case> Cases() {
  constexpr auto kTwo = ReplicaPolicy::kLeastLoadedOfTwo;
  constexpr auto kRandom = ReplicaPolicy::kRandom;
  std::vector<Case> cases;
  for (const auto& [name, slowness] :
       {std::pair("steady", Slowness::kNone),
        std::pair("straggler", Slowness::kStraggler),
        std::pair("stalls", Slowness::kStalls)}) {
    for (const double quantile : {0.95, 0.98, 0.99}) {
      cases.push_back({name, slowness, true, kTwo, quantile});
    }
    cases.push_back({name, slowness, false, kTwo});
  }
  cases.push_back({"steady", Slowness::kNone, true, kRandom});
  cases.push_back({"straggler", Slowness::kStraggler, true, kRandom});
  cases.push_back({"straggler", Slowness::kStraggler, false, kRandom});
  return cases;
}

}  // namespace

void RunStragglerPart(const QueryBenchFlags& flags) {
  StandInShape shape;
  shape.partitions = 20;
  shape.replicas = 2;
  shape.service_time = milliseconds(4);
  shape.sigma = 0.2;
  shape.seed = flags.seed;
  StandInFleet stand_ins(shape);
  const std::vector<Case> cases = Cases();
  std::vector<Figures> figures(cases.size());
  for (int round = 0; round < flags.rounds; ++round) {
    for (std::size_t i = 0; i < cases.size(); ++i) {
      Measure(flags, stand_ins, cases[i], figures[i]);
    }
  }
  const double steady_p99 = Median(figures.front().p99);
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const bool random = cases[i].policy == ReplicaPolicy::kRandom;
    Print(flags,
          {{"part", "straggler"},
           {"case", cases[i].name},
           {"replica", random ? "random" : "least loaded of two"},
           {"hedge_quantile", cases[i].hedging ? cases[i].hedge_quantile : 0},
           {"median_of", flags.rounds},
           {"p50_ms", Median(figures[i].p50)},
           {"p99_ms", Median(figures[i].p99)},
           {"p99_to_steady", Median(figures[i].p99) / steady_p99},
           {"extra_load", Median(figures[i].extra)},
           {"hedges", Median(figures[i].hedges)},
           {"budget_refusals", Median(figures[i].budget_refusals)},
           {"whole", Median(figures[i].whole)}});
  }
}

}  // namespace juniperway::lab
