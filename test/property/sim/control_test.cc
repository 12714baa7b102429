// What control promises, across many seeds: control machines crash, freeze and
// are cut off, daemons come and go, operators race and send changes again.
//
// JUNIPERWAY_SIM_SEED=n runs only the seed n.
#include <doctest/doctest.h>

#include <map>
#include <mutex>
#include <string>

#include "property/sim/seeds.h"
#include "sim/control/control_sim.h"
#include "sim/control/quiet_log.h"

namespace juniperway::sim {
namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr std::size_t kPromises = 10;

struct Totals {
  std::mutex mutex;
  std::map<ControlPromise, std::uint64_t> checks;
  std::uint64_t runs = 0;
  std::uint64_t faults = 0;
  std::uint64_t accepted = 0;
  std::uint64_t granted = 0;
  std::uint64_t terms = 0;
};

std::string Describe(const ControlSim& sim) {
  if (const auto& violation = sim.checker().violation()) {
    return std::string(ControlPromiseName(violation->promise)) + ": " +
           violation->detail;
  }
  return sim.unrecovered() ? "not recovered: " + *sim.unrecovered() : "";
}

// @return what failed, or nothing.
std::string RunSeed(ControlSimOptions options, std::uint64_t seed,
                    Totals& totals) {
  options.seed = seed;
  ControlSim sim(options);
  sim.Run();
  const std::lock_guard lock(totals.mutex);
  for (const auto& [promise, count] : sim.checker().checks()) {
    totals.checks[promise] += count;
  }
  ++totals.runs;
  totals.faults += sim.faults();
  totals.accepted += sim.checker().accepted();
  totals.granted += sim.checker().granted();
  totals.terms += sim.terms();
  return Describe(sim);
}

void CheckAllSeeds(const ControlSimOptions& options, std::uint64_t seeds) {
  const QuietLog quiet;
  Totals totals;
  const auto failures = RunSeeds(seeds, [&](std::uint64_t seed) {
    return RunSeed(options, seed, totals);
  });
  for (const auto& [seed, failure] : failures) {
    FAIL_CHECK("JUNIPERWAY_SIM_SEED=" << seed << ": " << failure);
  }
  MESSAGE(totals.runs << " runs, " << totals.faults << " faults, "
                      << totals.terms << " terms, " << totals.accepted
                      << " accepted changes, " << totals.granted
                      << " granted claims");
  for (const auto& [promise, count] : totals.checks) {
    MESSAGE(ControlPromiseName(promise) << ": " << count << " checks");
  }
  CHECK(totals.checks.size() == kPromises);
  // On average, and over all faults: enough happened to test them.
  CHECK(totals.accepted > totals.runs * 10);
  CHECK(totals.granted > totals.runs * 5);
  CHECK(totals.terms > totals.runs * 2);
}

TEST_CASE("The same seed gives the same run") {
  const QuietLog quiet;
  ControlSimOptions options;
  options.seed = 1;
  ControlSim first(options);
  first.Run();
  ControlSim second(options);
  second.Run();
  CHECK(first.checker().checks() == second.checker().checks());
  CHECK(first.faults() == second.faults());
}

TEST_CASE("Three control machines and four daemons keep every promise") {
  CheckAllSeeds({}, kSeeds);
}

TEST_CASE("Five control machines and six daemons of one zone") {
  ControlSimOptions options;
  options.machines = 5;
  options.daemons = 6;
  options.zones = 1;
  options.fault_interval = milliseconds(300);
  CheckAllSeeds(options, kSeeds / 2);
}

}  // namespace
}  // namespace juniperway::sim
