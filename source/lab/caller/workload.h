// Draws the queries of a load: which service, class, range and text, and when
// each is due. Pure and seeded.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "lab/caller/history.h"

namespace juniperway::lab {

// One service as its callers see it.
struct ServiceLoad {
  std::string service;
  double weight = 1;
  Duration deadline = milliseconds(1000);
  // Name of the class of repeatable queries.
  std::string repeatable_class = "search";
  // Share of queries of a class that must not be repeated, and its name.
  double non_repeatable_share = 0;
  std::string non_repeatable_class;
  // Share of queries that ask for a part of the key space.
  double range_share = 0.3;
  // Share of queries that match every record.
  double match_all_share = 0.05;
};

struct WorkloadSettings {
  std::vector<ServiceLoad> services;
  // Queries a second, at random (exponential) intervals.
  double rate = 100;
  // How long after its making a non-repeatable query expires.
  Duration expiry = seconds(60);
  std::uint64_t seed = 1;
  // Part of each query id; makes ids of several loads in one run differ.
  std::string name = "load";
};

class Workload {
 public:
  explicit Workload(WorkloadSettings settings);

  // Time from one query to the next.
  Duration DrawInterval();
  // The next query.
  Query DrawQuery(WallTime now);

  const WorkloadSettings& settings() const { return settings_; }

 private:
  const ServiceLoad& DrawService();
  bool Draw(double probability);

  WorkloadSettings settings_;
  std::mt19937_64 random_;
  std::uint64_t next_number_ = 0;
};

}  // namespace juniperway::lab
