// A zone with several owners, some back ends and a control leader, under
// virtual time: drives OwnershipTracker and BackendGate through arrivals,
// cancels, losses, lost leases and changes of ownership, and writes down what
// happened. Seeded: the same options give the same history.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "property/owner/owner_history.h"

namespace juniperway::owner::testing {

// Ways to break a rule, to show that the checker sees it.
enum class PlantedDefect {
  kNone,
  // A new owner does not wait for the zone to release.
  kIgnoreWatermark,
  // Released is reported although searches still run.
  kReleaseEarly,
  // Released is reported for a skipping view before it is in force.
  kReleaseSkippedViews,
  // A cancelled search counts as ended before the back end said so.
  kFreeSlotOnCancel,
  // At the end of the lease, what runs is left running.
  kKeepRunningWithoutLease,
  // Drains are not passed on to the gate.
  kIgnoreDrain,
};

struct WorldOptions {
  std::uint64_t seed = 1;
  int owners = 3;
  int backends = 3;
  Duration length = seconds(8);
  // Subqueries a second, in all.
  int arrivals = 2000;
  PlantedDefect defect = PlantedDefect::kNone;
};

struct WorldResult {
  History history;
  std::map<std::string, BackendLimits> limits;
  std::uint64_t ownership_changes = 0;
  std::uint64_t lost_leases = 0;
  std::uint64_t skipped_views = 0;
};

WorldResult RunWorld(const WorldOptions& options);

}  // namespace juniperway::owner::testing
