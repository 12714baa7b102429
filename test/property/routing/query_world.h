// Simulation of a random fleet around QueryRun under virtual time. Owners lose,
// delay, duplicate, shed or refuse subqueries, disconnect and are unreachable;
// clients disconnect; views change snapshots, partition maps, drains and
// members. The same options give the same history.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace juniperway::routing::testing {

// Defects that the simulation injects into the inputs or outputs of the code
// under test, to verify that the checks detect them.
enum class PlantedDefect {
  kNone,
  // The rows of a result belong to another index version.
  kMixedSnapshot,
  // A missing range is reported as searched.
  kFalseCoverage,
  // Every refusal reports that the query was not run.
  kFalseNotRun,
  // Every refusal reports that the query may have run.
  kFalseMayHaveRun,
  // The QueryRun treats every query as repeatable.
  kRepeatsAll,
  // Cancellations are not sent.
  kNoCancels,
  // The front's view contains no drains.
  kIgnoresDrains,
  // The front uses ten times the retry budget share.
  kOverspends,
  // The QueryRun gets a later deadline than the client's.
  kLateDeadline,
  // The final outcome is delivered twice.
  kTwoAnswers,
};

// Input of one simulation.
struct WorldOptions {
  std::uint64_t seed = 1;
  int queries = 25;
  PlantedDefect defect = PlantedDefect::kNone;
};

// Result of one simulation.
struct WorldResult {
  // One line for each broken guarantee; empty when all hold.
  std::vector<std::string> violations;
  // Number of events by a descriptive name of their kind.
  std::map<std::string, std::uint64_t> counts;
};

// Runs one simulation to its end.
WorldResult RunWorld(const WorldOptions& options);

}  // namespace juniperway::routing::testing
