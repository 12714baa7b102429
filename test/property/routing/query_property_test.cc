// Checks the front tier's guarantees over seeded histories of a simulated
// fleet. A second test verifies the checks: they must detect each injected
// defect.
#include <doctest/doctest.h>

#include <string>

#include "property/routing/query_world.h"

namespace juniperway::routing::testing {
namespace {

constexpr std::uint64_t kSeeds = 3000;
// Each injected defect must cause a violation within this many seeds.
constexpr std::uint64_t kDefectSeeds = 40;

std::string FirstViolation(const WorldResult& result) {
  return result.violations.empty() ? "" : result.violations.front();
}

bool IsDetected(PlantedDefect defect) {
  for (std::uint64_t seed = 1; seed <= kDefectSeeds; ++seed) {
    if (!RunWorld({.seed = seed, .defect = defect}).violations.empty()) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("coverage, snapshot, refusals, budget and drains hold on all seeds") {
  std::map<std::string, std::uint64_t> counts;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const WorldResult result = RunWorld({.seed = seed});
    CAPTURE(seed);
    CHECK(FirstViolation(result) == "");
    for (const auto& [what, count] : result.counts) {
      counts[what] += count;
    }
  }
  // Each kind of event must occur often enough for the checks to be meaningful.
  for (const std::string what :
       {"whole", "partial", "refused, not run", "refused, may have run",
        "abandoned", "hedges", "retries", "reroutes", "restarts", "snapshots",
        "unsent batches", "failed connects", "hang-ups", "silent subqueries",
        "duplicates", "foreign results", "late results", "duplicate results",
        "out-of-range rows"}) {
    CAPTURE(what);
    CHECK(counts[what] > kSeeds / 20);
    MESSAGE(what << ": " << counts[what]);
  }
  MESSAGE("subqueries: " << counts["subqueries"]);
}

TEST_CASE("the checks detect each injected defect") {
  CHECK(IsDetected(PlantedDefect::kMixedSnapshot));
  CHECK(IsDetected(PlantedDefect::kFalseCoverage));
  CHECK(IsDetected(PlantedDefect::kFalseNotRun));
  CHECK(IsDetected(PlantedDefect::kFalseMayHaveRun));
  CHECK(IsDetected(PlantedDefect::kRepeatsAll));
  CHECK(IsDetected(PlantedDefect::kNoCancels));
  CHECK(IsDetected(PlantedDefect::kIgnoresDrains));
  CHECK(IsDetected(PlantedDefect::kOverspends));
  CHECK(IsDetected(PlantedDefect::kLateDeadline));
  CHECK(IsDetected(PlantedDefect::kTwoAnswers));
}

}  // namespace juniperway::routing::testing
