#include "lab/bench/query_parts.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace juniperway::lab {

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

void Print(const QueryBenchFlags& flags, nlohmann::json line) {
  line["bench"] = "query";
  line["seed"] = flags.seed;
  std::cout << line.dump() << std::endl;
}

LoadShape ClosedLoop(const BenchGateway& gateway, const QueryBenchFlags& flags,
                     std::uint32_t concurrency) {
  LoadShape load;
  load.url = gateway.query_url();
  load.count = static_cast<std::uint32_t>(flags.queries);
  load.concurrency = concurrency;
  load.seed = flags.seed;
  return load;
}

void WarmUp(const LoadShape& load) {
  LoadShape warm_up = load;
  warm_up.count = std::max<std::uint32_t>(load.count / 10, 50);
  RunLoad(warm_up);
}

}  // namespace juniperway::lab
