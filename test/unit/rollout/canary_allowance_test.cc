// Tests the share of requests that goes to canaries, for any number of routers.
#include "common/rollout/canary_allowance.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace juniperway::rollout {
namespace {

// Returns how many of 10,000 requests, spread over the routers, go to canaries.
std::size_t CanaryRequests(std::size_t routers, std::uint32_t permille) {
  std::mt19937_64 random(routers);
  std::vector<CanaryAllowance> allowances(routers);
  std::size_t sent = 0;
  for (int request = 0; request < 10'000; ++request) {
    CanaryAllowance& allowance = allowances[random() % routers];
    allowance.SetShare(permille, permille);
    allowance.DrawRequest(random(), MonotonicTime{});
    if (allowance.MaySend()) {
      allowance.OnSent();
      CHECK_FALSE(allowance.MaySend());
      ++sent;
    }
  }
  return sent;
}

TEST_CASE("canaries get their share for any number of routers") {
  for (const std::size_t routers : {1U, 60U, 1'000U, 6'600U}) {
    CAPTURE(routers);
    // The mean is 750, the standard deviation 26.
    const std::size_t sent = CanaryRequests(routers, 75);
    CHECK(sent > 620);
    CHECK(sent < 880);
  }
}

TEST_CASE("shares of zero and of one are exact") {
  CHECK(CanaryRequests(60, 0) == 0);
  CHECK(CanaryRequests(60, kWholePermille) == 10'000);
}

// Returns how many of 1,000 requests of one router go to canaries at `now`.
std::size_t CanaryRequestsAt(CanaryAllowance allowance, MonotonicTime now) {
  std::size_t sent = 0;
  for (std::uint64_t random = 0; random < kWholePermille; ++random) {
    allowance.DrawRequest(random, now);
    sent += allowance.MaySend() ? 1 : 0;
  }
  return sent;
}

// Guards against canaries that keep a large share while no leader evaluates
// them.
TEST_CASE("a share above the base share ends with its lease") {
  const MonotonicTime end{seconds(10)};
  CanaryAllowance allowance;
  allowance.SetShare(300, 75);
  CHECK(CanaryRequestsAt(allowance, MonotonicTime{}) == 75);
  allowance.Renew(end);
  CHECK(CanaryRequestsAt(allowance, end - milliseconds(1)) == 300);
  CHECK(CanaryRequestsAt(allowance, end) == 75);
  // A heartbeat answer that arrives late does not shorten the lease.
  allowance.Renew(end - seconds(1));
  CHECK(CanaryRequestsAt(allowance, end - milliseconds(1)) == 300);
}

TEST_CASE("a share below the base share needs no renewal") {
  CanaryAllowance allowance;
  allowance.SetShare(0, 75);
  CHECK(CanaryRequestsAt(allowance, MonotonicTime{}) == 0);
}

}  // namespace
}  // namespace juniperway::rollout
