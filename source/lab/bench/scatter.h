// The bare baseline of the query path: libcurl's multi interface on epoll,
// every handle set up once and used again, answers read and thrown away.
#pragma once

#include <cstdint>

#include "common/base/time.h"
#include "lab/bench/stand_in_fleet.h"

namespace juniperway::lab {

struct ScatterResult {
  // Processor time of the loop's thread.
  Duration cpu{};
  Duration elapsed{};
  std::uint64_t subqueries = 0;
  std::uint64_t failed = 0;
};

// Asks the first replica of every partition, `count` times, `concurrency` at a
// time, on the calling thread. Connections are made before the measurement.
ScatterResult RunScatter(const StandInFleet& stand_ins, std::uint32_t count,
                         std::uint32_t concurrency);

}  // namespace juniperway::lab
