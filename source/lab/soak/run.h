// One soak: real processes, callers and an operator, faults drawn from a seed,
// and the promises checked by what was seen from outside.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::lab {

struct SoakOptions {
  std::uint64_t seed = 1;
  // How long faults come.
  Duration duration = seconds(30);
  int callers = 3;
  std::size_t controls = 3;
  std::size_t routers = 2;
  std::filesystem::path binary_folder;
  // Where settings, data and logs go; kept by the caller.
  std::filesystem::path folder;
};

struct SoakReport {
  std::vector<std::string> broken;
  std::vector<std::string> faults;
  std::size_t requests = 0;
  // Of all requests, those answered with 200 (or 404 for a version's route
  // that the table in force does not have).
  std::size_t served = 0;
  std::size_t changes = 0;
  std::size_t reads = 0;
  std::size_t zone_orders = 0;
  std::size_t zones_reads = 0;
};

// Throws std::runtime_error when a process does not start. Call from a thread
// that outlives the call.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace juniperway::lab
