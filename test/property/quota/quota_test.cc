// Tests that a fleet of routers never exceeds its tenants' limits, whatever
// fails, and refuses few requests within a limit. For longer runs set
// JUNIPERWAY_QUOTA_SEEDS=1000 JUNIPERWAY_QUOTA_ROUTERS=300.
#include <doctest/doctest.h>

#include <cstdlib>

#include "property/quota/quota_world.h"

namespace juniperway::test {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

TEST_CASE("no tenant gets more than its limit, whatever fails") {
  const std::uint64_t seeds = FromEnvironment("JUNIPERWAY_QUOTA_SEEDS", 20);
  const std::size_t routers = FromEnvironment("JUNIPERWAY_QUOTA_ROUTERS", 60);
  QuotaReport total;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const QuotaReport report =
        QuotaWorld({.seed = seed, .routers = routers}).Run();
    CHECK(report.maximum_use <= 1);
    total.maximum_use = std::max(total.maximum_use, report.maximum_use);
    total.requests += report.requests;
    total.admitted += report.admitted;
    total.within += report.within;
    total.refused_within += report.refused_within;
    total.leaders += report.leaders;
    total.heartbeats += report.heartbeats;
  }
  MESSAGE("requests " << total.requests << ", admitted " << total.admitted
                      << ", within limits " << total.within
                      << ", short of these " << total.refused_within
                      << ", leaders " << total.leaders << ", heartbeats "
                      << total.heartbeats << ", worst use "
                      << total.maximum_use);
  CHECK(total.leaders > seeds);
}

// Returns the share of the requests within a limit that were not admitted, over
// all seeds.
double RefusedShare(QuotaFault fault) {
  const std::uint64_t seeds = FromEnvironment("JUNIPERWAY_QUOTA_SEEDS", 20);
  std::size_t within = 0;
  std::size_t refused_within = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const QuotaReport report = QuotaWorld({.seed = seed, .fault = fault}).Run();
    CHECK(report.maximum_use <= 1);
    within += report.within;
    refused_within += report.refused_within;
  }
  MESSAGE("within limits " << within << ", short of these " << refused_within);
  return static_cast<double>(refused_within) / static_cast<double>(within);
}

TEST_CASE("without faults few requests within a limit are refused") {
  CHECK(RefusedShare(QuotaFault::kNone) < 0.005);
}

TEST_CASE("after a leader crash few requests within a limit are refused") {
  CHECK(RefusedShare(QuotaFault::kLeaderCrash) < 0.05);
}

TEST_CASE("with partitioned routers few requests within a limit are refused") {
  CHECK(RefusedShare(QuotaFault::kRoutersPartitioned) < 0.1);
}

// Uses few routers and large tenants, so that each router has enough demand for
// leases of its own, and the slack is small compared with the limits.
// @return the first seed that shows the defect; 0 if no seed does.
std::uint64_t FindDefect(QuotaDefect defect) {
  constexpr std::uint64_t kSeeds = 6;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const QuotaOptions options{.seed = seed,
                               .routers = 12,
                               .length = seconds(36),
                               .tenants = 3,
                               .largest_rate = 150,
                               .defect = defect,
                               .fault = QuotaFault::kOverloadAndPartition};
    if (QuotaWorld(options).Run().maximum_use > 1) {
      return seed;
    }
  }
  return 0;
}

TEST_CASE("the test detects planted defects") {
  CHECK(FindDefect(QuotaDefect::kNone) == 0);
  CHECK(FindDefect(QuotaDefect::kLeaderIgnoresLeases) > 0);
  CHECK(FindDefect(QuotaDefect::kLeasesDoNotExpire) > 0);
  CHECK(FindDefect(QuotaDefect::kEarlyLeaseReuse) > 0);
}

}  // namespace
}  // namespace juniperway::test
