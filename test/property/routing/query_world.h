// A random fleet under virtual time around QueryRun: owners that lose, delay,
// duplicate, shed, refuse for their snapshot, hang up and cannot be reached;
// callers that go away; views that change snapshots, partition maps, drains and
// members. Seeded: the same options give the same history.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace juniperway::routing::testing {

// Ways to break a promise at the border of the code under test, to show that
// the checks see it.
enum class PlantedDefect {
  kNone,
  // A result's rows are of another index version.
  kMixedSnapshot,
  // A missing range is called searched.
  kFalseCoverage,
  // Every refusal says not-run.
  kFalseNotRun,
  // Every refusal says may-have-run.
  kFalseMayHaveRun,
  // The run takes every query for repeatable.
  kRepeatsAll,
  // Cancellations do not leave.
  kNoCancels,
  // The front's view knows of no drains.
  kIgnoresDrains,
  // The front spends ten times the budget.
  kOverspends,
  // The run believes in a later deadline.
  kLateDeadline,
  // The last answer is given twice.
  kTwoAnswers,
};

struct WorldOptions {
  std::uint64_t seed = 1;
  int queries = 25;
  PlantedDefect defect = PlantedDefect::kNone;
};

struct WorldResult {
  std::vector<std::string> violations;
  // How often each kind of thing happened; names are for people.
  std::map<std::string, std::uint64_t> counts;
};

WorldResult RunWorld(const WorldOptions& options);

}  // namespace juniperway::routing::testing
