#include "lab/bench/fairness.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sim/fairness.h"

namespace juniperway::lab {
namespace {

using sim::ClassLoad;
using sim::FairnessOptions;
using sim::FairnessResult;
using sim::QueueOrder;

constexpr std::uint64_t kSeeds = 5;

constexpr std::array kOrders = {
    QueueOrder::kFirstInFirstOut, QueueOrder::kShortestRemainingTime,
    QueueOrder::kFixedShares, QueueOrder::kVirtualClock,
    QueueOrder::kFairQueue};

struct Scenario {
  std::string name;
  ClassLoad quiet;
  ClassLoad noisy;
};

// The back end can serve about 920 a second.
std::vector<Scenario> Scenarios() {
  constexpr Duration kUsual = milliseconds(75);
  constexpr Duration kShort = milliseconds(30);
  constexpr Duration kLong = milliseconds(500);
  return {
      {"no_noise",
       {.rate = 100, .deadline = kUsual},
       {.rate = 500, .deadline = kUsual}},
      {"same_deadline",
       {.rate = 100, .deadline = kUsual},
       {.rate = 1500, .deadline = kUsual}},
      {"noisy_hurries",
       {.rate = 100, .deadline = kUsual},
       {.rate = 1500, .deadline = kShort}},
      {"quiet_hurries",
       {.rate = 100, .deadline = kShort},
       {.rate = 1500, .deadline = kLong}},
      {"noisy_bursts",
       {.rate = 100, .deadline = kUsual},
       {.rate = 600, .deadline = kUsual, .burst = 100}},
      {"quiet_uses_its_half",
       {.rate = 400, .deadline = kUsual},
       {.rate = 1500, .deadline = kUsual}},
      {"late_comer",
       {.rate = 1500, .deadline = kUsual, .begin = seconds(30)},
       {.rate = 1500, .deadline = kUsual}},
  };
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

// Rounded to three decimals.
double Rounded(double value) { return std::round(value * 1000) / 1000; }

nlohmann::json Measure(const Scenario& scenario, QueueOrder order) {
  std::vector<FairnessResult> results;
  FairnessOptions options;
  options.order = order;
  options.quiet = scenario.quiet;
  options.noisy = scenario.noisy;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    results.push_back(sim::RunFairness(options));
  }
  const auto median_of = [&results](auto figure) {
    std::vector<double> values;
    std::ranges::transform(results, std::back_inserter(values), figure);
    return Rounded(Median(values));
  };
  const auto seconds_run =
      std::chrono::duration<double>(options.length).count();
  nlohmann::json line;
  line["bench"] = "fairness";
  line["scenario"] = scenario.name;
  line["order"] = sim::QueueOrderName(order);
  line["goodput_per_second"] = median_of([&](const FairnessResult& result) {
    return static_cast<double>(result.quiet.in_time + result.noisy.in_time) /
           seconds_run;
  });
  line["quiet_in_time"] = median_of([](const FairnessResult& result) {
    return static_cast<double>(result.quiet.in_time) /
           static_cast<double>(result.quiet.arrived);
  });
  line["quiet_p99_ms"] = median_of([](const FairnessResult& result) {
    return std::chrono::duration<double, std::milli>(result.quiet.p99).count();
  });
  line["noisy_in_time"] = median_of([](const FairnessResult& result) {
    return static_cast<double>(result.noisy.in_time) /
           static_cast<double>(result.noisy.arrived);
  });
  line["noisy_p99_ms"] = median_of([](const FairnessResult& result) {
    return std::chrono::duration<double, std::milli>(result.noisy.p99).count();
  });
  line["wasted"] =
      median_of([](const FairnessResult& result) { return result.wasted; });
  return line;
}

}  // namespace

int RunFairnessBench(std::ostream& output) {
  for (const Scenario& scenario : Scenarios()) {
    for (const QueueOrder order : kOrders) {
      output << Measure(scenario, order).dump() << "\n";
    }
  }
  return 0;
}

}  // namespace juniperway::lab
