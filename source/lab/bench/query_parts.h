// What the parts of the query benchmark share.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "lab/bench/bench_gateway.h"
#include "lab/bench/query_load.h"

namespace juniperway::lab {

struct QueryBenchFlags {
  std::string part = "all";
  std::int64_t seed = 1;
  std::int64_t rounds = 3;
  std::int64_t queries = 1000;
};

// Of at least one value.
double Median(std::vector<double> values);
double ToMs(Duration duration);
// Prints one JSON line, with the name of the benchmark and the seed.
void Print(const QueryBenchFlags& flags, nlohmann::json line);

LoadShape ClosedLoop(const BenchGateway& gateway, const QueryBenchFlags& flags,
                     std::uint32_t concurrency);
// Makes connections and fills caches.
void WarmUp(const LoadShape& load);

// Latency and extra load with slow back ends and stalls: hedging, its quantile
// and the choice of replica against each other.
void RunStragglerPart(const QueryBenchFlags& flags);

}  // namespace juniperway::lab
