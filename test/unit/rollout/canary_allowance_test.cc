// Which requests go to canaries, however many routers share them.
#include "common/rollout/canary_allowance.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace juniperway::rollout {
namespace {

// Requests of 10,000 that go to canaries, spread over this many routers.
std::size_t CanaryRequests(std::size_t routers, std::uint32_t permille) {
  std::mt19937_64 random(routers);
  std::vector<CanaryAllowance> allowances(routers);
  std::size_t sent = 0;
  for (int request = 0; request < 10'000; ++request) {
    CanaryAllowance& allowance = allowances[random() % routers];
    allowance.SetShare(permille);
    allowance.OnRequest(random());
    if (allowance.MaySend()) {
      allowance.OnSent();
      CHECK_FALSE(allowance.MaySend());
      ++sent;
    }
  }
  return sent;
}

TEST_CASE("canaries get their share, whatever the number of routers") {
  for (const std::size_t routers : {1U, 60U, 1'000U, 6'600U}) {
    CAPTURE(routers);
    // 750 on average, 26 of a standard deviation.
    const std::size_t sent = CanaryRequests(routers, 75);
    CHECK(sent > 620);
    CHECK(sent < 880);
  }
}

TEST_CASE("nothing and everything are exact") {
  CHECK(CanaryRequests(60, 0) == 0);
  CHECK(CanaryRequests(60, kWholePermille) == 10'000);
}

}  // namespace
}  // namespace juniperway::rollout
