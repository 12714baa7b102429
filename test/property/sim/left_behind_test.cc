// Control machines that the group leaves behind: they miss messages of a change
// of the membership, are removed while they are cut off, or cannot write for a
// while. When the trouble is over, every machine must be in the group again and
// every daemon must use the newest state, whatever its machine believed.
//
// JUNIPERWAY_SIM_SEED=n runs only the seed n.
#include <doctest/doctest.h>

#include <string>

#include "property/sim/seeds.h"
#include "sim/control/control_sim.h"
#include "sim/control/quiet_log.h"

namespace juniperway::sim {
namespace {

constexpr std::uint64_t kSeeds = 300;
constexpr int kVoters = 5;
constexpr int kZones = 6;

// A daemon and a backend in each zone.
ControlSimOptions OptionsWith(int voters, int learners) {
  ControlSimOptions options;
  options.machines = voters;
  options.learners = learners;
  options.zones = kZones;
  options.daemons = kZones;
  options.backends = kZones;
  return options;
}

std::string RunSeed(ControlSimOptions options, std::uint64_t seed) {
  options.seed = seed;
  ControlSim sim(options);
  sim.Run();
  if (const auto& violation = sim.checker().violation()) {
    return std::string(ControlPromiseName(violation->promise)) + ": " +
           violation->detail;
  }
  return sim.unrecovered() ? "not recovered: " + *sim.unrecovered() : "";
}

void CheckAllSeeds(const ControlSimOptions& options, std::uint64_t seeds) {
  const QuietLog quiet;
  const auto failures = RunSeeds(
      seeds, [&](std::uint64_t seed) { return RunSeed(options, seed); });
  for (const auto& [seed, failure] : failures) {
    FAIL_CHECK("JUNIPERWAY_SIM_SEED=" << seed << ": " << failure);
  }
}

TEST_CASE("Three voters and a learner") {
  CheckAllSeeds(OptionsWith(3, 1), kSeeds);
}

TEST_CASE("Six machines, five of which vote") {
  CheckAllSeeds(OptionsWith(kVoters, 1), kSeeds);
}

TEST_CASE("24 machines, five of which vote") {
  CheckAllSeeds(OptionsWith(kVoters, 19), kSeeds / 10);
}

TEST_CASE("Daemons recover although one of the mechanisms is missing") {
  for (const ControlDefect missing :
       {ControlDefect::kServesWithFullDisk, ControlDefect::kGrantsToOutsiders,
        ControlDefect::kAwaitsNoUpdates}) {
    ControlSimOptions options = OptionsWith(kVoters, 1);
    options.defects = {missing};
    CheckAllSeeds(options, kSeeds / 3);
  }
}

}  // namespace
}  // namespace juniperway::sim
