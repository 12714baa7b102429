// Simulates a zone with several owners, some backends and a control leader
// under virtual time. The simulation drives OwnershipTracker and BackendGate
// through arrivals, cancellations, lost messages, lost leases and ownership
// changes, and records the events. The same options give the same history.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "property/owner/owner_history.h"

namespace juniperway::owner::testing {

// Defects that the simulation injects; the checker must detect each of them.
enum class PlantedDefect {
  kNone,
  // A new owner does not wait until the zone has released the revision.
  kIgnoreWatermark,
  // An owner reports a revision as released while searches still run.
  kReleaseEarly,
  // An owner reports a skipping view as released before it is in force.
  kReleaseSkippedViews,
  // A cancelled search counts as ended before the backend has answered.
  kFreeSlotOnCancel,
  // An owner keeps searches running after the end of its lease.
  kKeepRunningWithoutLease,
  // An owner does not pass drains on to the gate.
  kIgnoreDrain,
};

// Options of one simulation.
struct WorldOptions {
  std::uint64_t seed = 1;
  int owners = 3;
  int backends = 3;
  Duration length = seconds(8);
  // Subqueries that arrive per second at all owners together.
  int arrivals = 2000;
  PlantedDefect defect = PlantedDefect::kNone;
};

// Events and statistics of one simulation.
struct WorldResult {
  History history;
  std::map<std::string, BackendLimits> limits;
  std::uint64_t ownership_changes = 0;
  std::uint64_t lost_leases = 0;
  std::uint64_t skipped_views = 0;
};

WorldResult RunWorld(const WorldOptions& options);

}  // namespace juniperway::owner::testing
