// Queries of one caller over HTTP: closed loop (a number at a time) or open
// loop (at a rate, latency counted from the intended time).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::lab {

struct LoadShape {
  std::string url;
  // Queries in all.
  std::uint32_t count = 1000;
  // Closed loop: this many at a time. 0: open loop.
  std::uint32_t concurrency = 8;
  // Open loop: queries a second, exponentially spaced.
  double rate = 0;
  Duration deadline = seconds(5);
  std::uint64_t seed = 1;
};

struct QuerySample {
  Duration latency{};
  int status = 0;
  // "not-run", "may-have-run" or "ran"; empty when there was no answer.
  std::string execution;
  // Searched part of the asked range.
  double share = 0;
};

struct LoadResult {
  std::vector<QuerySample> samples;
  Duration elapsed{};

  std::uint64_t Whole() const;
  // Of whole answers; zero when there is none.
  Duration Quantile(double quantile) const;
};

// Of all samples given; zero when there is none.
Duration QuantileOf(std::vector<Duration> latencies, double quantile);

LoadResult RunLoad(const LoadShape& shape);

}  // namespace juniperway::lab
