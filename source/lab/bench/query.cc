#include "lab/bench/query.h"

#include <glog/logging.h>
#include <malloc.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <vector>

#include "lab/bench/bench_gateway.h"
#include "lab/bench/query_load.h"
#include "lab/bench/query_parts.h"
#include "lab/bench/scatter.h"
#include "lab/bench/stand_in_fleet.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/server_process.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr int kPartialStatus = 206;

// Bytes in use in all of malloc's arenas.
std::size_t AllocatedBytes() {
  char* text = nullptr;
  std::size_t size = 0;
  FILE* stream = open_memstream(&text, &size);
  malloc_info(0, stream);
  fclose(stream);
  const std::string report(text, size);
  free(text);
  // The totals over all arenas stand last.
  const auto total = [&report](const std::string& element) {
    const std::size_t at = report.rfind(element);
    const std::size_t value = report.find("size=\"", at) + 6;
    return std::stoull(report.substr(value));
  };
  return total("<system type=\"current\"") + total("<total type=\"mmap\"") -
         total("<total type=\"fast\"") - total("<total type=\"rest\"");
}

// --- Cost against a bare scatter loop ---

void RunCost(const QueryBenchFlags& flags) {
  constexpr std::uint32_t kConcurrency = 4;
  StandInShape shape;
  shape.seed = flags.seed;
  const StandInFleet stand_ins(shape);
  std::vector<double> ours;
  std::vector<double> bare;
  std::vector<double> ratios;
  for (int round = 0; round < flags.rounds; ++round) {
    BenchGateway gateway(stand_ins,
                         {.service = [](resources::Service& service) {
                           service.hedging = false;
                         }});
    const LoadShape load = ClosedLoop(gateway, flags, kConcurrency);
    WarmUp(load);
    const Duration before = gateway.CpuTime();
    const LoadResult result = RunLoad(load);
    const Duration cpu = gateway.CpuTime() - before;
    const ScatterResult scatter =
        RunScatter(stand_ins, load.count, kConcurrency);
    const double subqueries =
        static_cast<double>(load.count) * shape.partitions;
    ours.push_back(static_cast<double>(cpu.count()) / subqueries);
    bare.push_back(static_cast<double>(scatter.cpu.count()) /
                   static_cast<double>(scatter.subqueries));
    ratios.push_back(ours.back() / bare.back());
    Print(flags, {{"part", "cost"},
                  {"round", round},
                  {"whole", result.Whole()},
                  {"queries", load.count},
                  {"bare_failed", scatter.failed},
                  {"gateway_us_per_subquery", ours.back()},
                  {"bare_us_per_subquery", bare.back()},
                  {"ratio", ratios.back()}});
  }
  Print(flags, {{"part", "cost"},
                {"median_of", flags.rounds},
                {"fan_out", shape.partitions},
                {"gateway_us_per_subquery", Median(ours)},
                {"bare_us_per_subquery", Median(bare)},
                {"ratio", Median(ratios)}});
}

// --- Memory and processor time against fan-out ---

void RunFanOut(const QueryBenchFlags& flags) {
  constexpr std::uint32_t kConcurrency = 4;
  constexpr std::int64_t kSubqueries = 64'000;
  for (const std::uint32_t fan_out : {16U, 64U, 256U, 520U}) {
    StandInShape shape;
    shape.partitions = fan_out;
    shape.seed = flags.seed;
    const StandInFleet stand_ins(shape);
    std::vector<double> front_us;
    std::vector<double> owner_us;
    std::vector<double> idle_bytes;
    std::vector<double> latencies;
    for (int round = 0; round < flags.rounds; ++round) {
      const std::size_t before = AllocatedBytes();
      GatewayShape gateway_shape;
      gateway_shape.separate_owners = true;
      BenchGateway gateway(stand_ins, gateway_shape);
      LoadShape load = ClosedLoop(gateway, flags, kConcurrency);
      load.count = static_cast<std::uint32_t>(
          std::min(flags.queries, kSubqueries / fan_out));
      WarmUp(load);
      idle_bytes.push_back(static_cast<double>(AllocatedBytes() - before));
      const Duration both = gateway.CpuTime();
      const Duration owner = gateway.OwnerCpuTime();
      const LoadResult result = RunLoad(load);
      const Duration owner_spent = gateway.OwnerCpuTime() - owner;
      const Duration front_spent = gateway.CpuTime() - both - owner_spent;
      front_us.push_back(static_cast<double>(front_spent.count()) / load.count);
      owner_us.push_back(static_cast<double>(owner_spent.count()) / load.count);
      latencies.push_back(ToMs(result.Quantile(0.5)));
    }
    Print(flags, {{"part", "fan-out"},
                  {"median_of", flags.rounds},
                  {"fan_out", fan_out},
                  {"front_us_per_query", Median(front_us)},
                  {"front_us_per_subquery", Median(front_us) / fan_out},
                  {"owner_us_per_subquery", Median(owner_us) / fan_out},
                  {"gateway_bytes_idle", Median(idle_bytes)},
                  {"p50_ms", Median(latencies)}});
  }
}

// --- Overload ---

json OverloadLine(const LoadResult& result, double capacity) {
  std::vector<Duration> refusals;
  std::uint64_t not_run = 0;
  std::uint64_t partial = 0;
  double searched = 0;
  for (const QuerySample& sample : result.samples) {
    searched += sample.share;
    if (sample.status == kPartialStatus) {
      ++partial;
    } else if (sample.status != 200) {
      refusals.push_back(sample.latency);
      not_run += sample.execution == "not-run" ? 1 : 0;
    }
  }
  const double elapsed = std::chrono::duration<double>(result.elapsed).count();
  return {{"goodput_share",
           static_cast<double>(result.Whole()) / elapsed / capacity},
          {"searched_share", searched / elapsed / capacity},
          {"whole", result.Whole()},
          {"partial", partial},
          {"refused", refusals.size()},
          {"refused_not_run", not_run},
          {"refusal_p50_ms", ToMs(QuantileOf(refusals, 0.5))},
          {"refusal_p99_ms", ToMs(QuantileOf(refusals, 0.99))},
          {"whole_p50_ms", ToMs(result.Quantile(0.5))},
          {"whole_p99_ms", ToMs(result.Quantile(0.99))}};
}

void RunOverload(const QueryBenchFlags& flags) {
  StandInShape shape;
  shape.partitions = 8;
  shape.slots = 5;
  shape.service_time = milliseconds(10);
  shape.seed = flags.seed;
  const StandInFleet stand_ins(shape);
  // What the slots allow; what is reached in a closed loop is printed next to.
  const double capacity =
      shape.slots / std::chrono::duration<double>(shape.service_time).count();
  for (int round = 0; round < flags.rounds; ++round) {
    BenchGateway gateway(stand_ins, {});
    LoadShape load = ClosedLoop(gateway, flags, 2 * shape.slots);
    load.deadline = milliseconds(200);
    WarmUp(load);
    const LoadResult closed = RunLoad(load);
    // Just below capacity, nothing should be refused.
    for (const double offered : {0.9, 2.0}) {
      load.concurrency = 0;
      load.rate = offered * capacity;
      load.count = static_cast<std::uint32_t>(
          offered * static_cast<double>(flags.queries));
      json line = OverloadLine(RunLoad(load), capacity);
      line["part"] = "overload";
      line["round"] = round;
      line["offered_to_capacity"] = offered;
      line["closed_loop_share"] =
          static_cast<double>(closed.Whole()) /
          std::chrono::duration<double>(closed.elapsed).count() / capacity;
      Print(flags, line);
    }
  }
}

}  // namespace

int RunQueryBench(int argc, const char** argv) {
  FLAGS_minloglevel = google::GLOG_ERROR;
  QueryBenchFlags flags;
  CommandLine line("juniperway-lab bench query");
  line.Add("part", flags.part, "cost, fan-out, straggler, overload or all")
      .Add("seed", flags.seed, "seed of arrivals and service times")
      .Add("rounds", flags.rounds, "rounds; medians are printed")
      .Add("queries", flags.queries, "queries a round");
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const auto wanted = [&flags](const char* part) {
    return flags.part == "all" || flags.part == part;
  };
  if (wanted("cost")) {
    RunCost(flags);
  }
  if (wanted("fan-out")) {
    RunFanOut(flags);
  }
  if (wanted("straggler")) {
    RunStragglerPart(flags);
  }
  if (wanted("overload")) {
    RunOverload(flags);
  }
  return kExitDone;
}

}  // namespace juniperway::lab
