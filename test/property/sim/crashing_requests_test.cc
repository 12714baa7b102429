// Requests that end the back ends which run them, over a whole fleet under
// virtual time: they reach hardly any back end once the fleet knows them, and
// ordinary requests that lost back ends beside them are not shut out.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "sim/forwarding/crash_sim.h"

namespace juniperway::sim {
namespace {

// The users' bound, later than 5 s after the third ended back end.
constexpr std::size_t kAllowedArrivals = 3;

struct Totals {
  std::size_t ended_backends = 0;
  std::size_t ordinary = 0;
  std::size_t served = 0;
  std::size_t quarantined = 0;
};

// A long run by hand: JUNIPERWAY_CRASH_SEEDS=1000.
std::uint64_t Seeds(std::uint64_t usual) {
  const char* wanted = std::getenv("JUNIPERWAY_CRASH_SEEDS");
  return wanted == nullptr ? usual : std::stoull(wanted);
}

void CheckFleet(int routers, std::uint64_t seeds) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CrashSimOptions options;
    options.seed = seed;
    options.routers = routers;
    const CrashSimResult result = RunCrashSim(options);
    CAPTURE(seed);
    CHECK(result.late_arrivals <= kAllowedArrivals);
    totals.ended_backends += result.ended_backends;
    totals.ordinary += result.ordinary;
    totals.served += result.ordinary_served;
    totals.quarantined += result.ordinary_quarantined;
  }
  MESSAGE(routers << " routers, " << seeds
                  << " seeds: " << totals.ended_backends << " back ends ended, "
                  << totals.served << " of " << totals.ordinary
                  << " ordinary requests served, " << totals.quarantined
                  << " quarantined");
  CHECK(totals.ended_backends > seeds * 10);
  CHECK(totals.quarantined * 10'000 <= totals.ordinary);
}

TEST_CASE("sixty routers know a request that ends back ends") {
  CheckFleet(60, Seeds(20));
}

TEST_CASE("three hundred routers know a request that ends back ends") {
  CheckFleet(300, Seeds(5));
}

TEST_CASE("without reports a request goes on ending back ends") {
  CrashSimOptions options;
  options.reports_lost = true;
  CHECK(RunCrashSim(options).late_arrivals > kAllowedArrivals);
}

}  // namespace
}  // namespace juniperway::sim
