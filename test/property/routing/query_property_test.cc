// The front tier's promises over seeded histories of a whole fleet, and the
// checks' own test: planted defects must be caught.
#include <doctest/doctest.h>

#include <string>

#include "property/routing/query_world.h"

namespace juniperway::routing::testing {
namespace {

constexpr std::uint64_t kSeeds = 3000;
// Enough for each planted defect to show.
constexpr std::uint64_t kDefectSeeds = 40;

std::string FirstOf(const WorldResult& result) {
  return result.violations.empty() ? "" : result.violations.front();
}

bool IsCaught(PlantedDefect defect) {
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
    CHECK(FirstOf(result) == "");
    for (const auto& [what, count] : result.counts) {
      counts[what] += count;
    }
  }
  // The runs met what they are meant to provoke.
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

TEST_CASE("each planted defect is caught") {
  CHECK(IsCaught(PlantedDefect::kMixedSnapshot));
  CHECK(IsCaught(PlantedDefect::kFalseCoverage));
  CHECK(IsCaught(PlantedDefect::kFalseNotRun));
  CHECK(IsCaught(PlantedDefect::kFalseMayHaveRun));
  CHECK(IsCaught(PlantedDefect::kRepeatsAll));
  CHECK(IsCaught(PlantedDefect::kNoCancels));
  CHECK(IsCaught(PlantedDefect::kIgnoresDrains));
  CHECK(IsCaught(PlantedDefect::kOverspends));
  CHECK(IsCaught(PlantedDefect::kLateDeadline));
  CHECK(IsCaught(PlantedDefect::kTwoAnswers));
}

}  // namespace juniperway::routing::testing
