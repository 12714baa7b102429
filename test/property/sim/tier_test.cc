// What the whole tier promises, across many seeds: queries while owners change,
// back ends drain, index versions change and control has its faults. And each
// mechanism that can be taken away is missed.
//
// JUNIPERWAY_SIM_SEED=n runs only the seed n.
#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

#include "property/sim/seeds.h"
#include "sim/control/quiet_log.h"
#include "sim/tier/tier_sim.h"

namespace juniperway::sim {
namespace {

constexpr std::uint64_t kSeeds = 200;
constexpr std::uint64_t kDefectSeeds = 60;
// An owner that opens too many connections must meet a back end that is full at
// that moment: 7 of 480 seeds, whichever machine sessions go to.
constexpr std::uint64_t kRareDefectSeeds = 480;
constexpr std::size_t kPromises = 6;

TEST_CASE("Queries keep every promise while the fleet changes") {
  const QuietLog quiet;
  std::mutex mutex;
  std::map<TierPromise, std::uint64_t> checks;
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t versions = 0;
  const auto failures = RunSeeds(kSeeds, [&](std::uint64_t seed) {
    TierSimOptions options;
    options.seed = seed;
    TierSim sim(options);
    sim.Run();
    const std::lock_guard lock(mutex);
    for (const auto& [promise, count] : sim.checker().checks()) {
      checks[promise] += count;
    }
    whole += sim.checker().whole();
    partial += sim.checker().partial();
    refused += sim.checker().refused();
    versions += sim.versions();
    return sim.Failure().value_or("");
  });
  for (const auto& [seed, failure] : failures) {
    FAIL_CHECK("JUNIPERWAY_SIM_SEED=" << seed << ": " << failure);
  }
  MESSAGE(whole << " whole answers, " << partial << " partial, " << refused
                << " refused, " << versions << " index versions");
  for (const auto& [promise, count] : checks) {
    MESSAGE(TierPromiseName(promise) << ": " << count << " checks");
  }
  CHECK(checks.size() == kPromises);
  CHECK(whole > partial);
  CHECK(partial > 0);
  CHECK(refused > 0);
}

std::optional<TierPromise> FindViolation(TierDefect defect,
                                         std::uint64_t seeds = kDefectSeeds) {
  const QuietLog quiet;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    TierSimOptions options;
    options.seed = seed;
    options.defect = defect;
    TierSim sim(options);
    sim.Run();
    if (const auto& violation = sim.checker().violation()) {
      MESSAGE("seed " << seed << ": " << TierPromiseName(violation->promise)
                      << ": " << violation->detail);
      return violation->promise;
    }
  }
  return std::nullopt;
}

TEST_CASE("Planted defects of the tier are found") {
  CHECK(FindViolation(TierDefect::kSkipsClaim) == TierPromise::kAtMostOnce);
  CHECK(FindViolation(TierDefect::kRepeatsAll) == TierPromise::kAtMostOnce);
  CHECK(FindViolation(TierDefect::kIgnoresDrain) == TierPromise::kDrainKept);
  CHECK(FindViolation(TierDefect::kSaysNotRun) == TierPromise::kNotRunTrue);
  CHECK(FindViolation(TierDefect::kMixesSnapshots) ==
        TierPromise::kOneSnapshot);
  CHECK(FindViolation(TierDefect::kOpensWhileWaiting, kRareDefectSeeds) ==
        TierPromise::kSlotsKept);
}

}  // namespace
}  // namespace juniperway::sim
