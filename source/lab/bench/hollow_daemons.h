// Many daemons without gateways in one process: real control sessions, spread
// over a few threads, and what they cost together.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/resources/resource.h"
#include "common/session/control_session_client.h"

namespace juniperway::lab {

struct HollowOptions {
  std::size_t daemons = 0;
  std::size_t threads = 4;
  std::size_t zones = 19;
  std::string cluster;
  std::vector<std::string> control_endpoints;
  std::uint64_t seed = 1;
};

// Over all daemons.
struct HollowTotals {
  std::size_t with_lease = 0;
  // The revision that each has at least, and that each was told to be in force.
  resources::Revision lowest_revision = 0;
  resources::Revision lowest_in_force = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t connects = 0;
  std::uint64_t updates = 0;
  std::uint64_t full_updates = 0;
  // Of the threads that run them.
  Duration processor_time{};
};

class HollowDaemons {
 public:
  // Starts them all at once.
  explicit HollowDaemons(const HollowOptions& options);
  // Ends them without a word.
  ~HollowDaemons();
  HollowDaemons(const HollowDaemons&) = delete;
  HollowDaemons& operator=(const HollowDaemons&) = delete;

  HollowTotals Totals();
  std::size_t size() const { return options_.daemons; }

 private:
  class Worker;

  HollowOptions options_;
  std::vector<std::unique_ptr<Worker>> workers_;
};

}  // namespace juniperway::lab
