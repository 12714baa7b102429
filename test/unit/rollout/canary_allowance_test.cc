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
    allowance.SetShare(permille, permille);
    allowance.OnRequest(random(), MonotonicTime{});
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

// Of 1,000 requests of one router at this time.
std::size_t CanaryRequestsAt(CanaryAllowance allowance, MonotonicTime now) {
  std::size_t sent = 0;
  for (std::uint64_t random = 0; random < kWholePermille; ++random) {
    allowance.OnRequest(random, now);
    sent += allowance.MaySend() ? 1 : 0;
  }
  return sent;
}

// Guards against canaries that keep all requests while nobody judges them.
TEST_CASE("a share above the base share lasts while a leader renews it") {
  const MonotonicTime end{seconds(10)};
  CanaryAllowance allowance;
  allowance.SetShare(300, 75);
  CHECK(CanaryRequestsAt(allowance, MonotonicTime{}) == 75);
  allowance.Renew(end);
  CHECK(CanaryRequestsAt(allowance, end - milliseconds(1)) == 300);
  CHECK(CanaryRequestsAt(allowance, end) == 75);
  // An answer that comes late does not shorten the lease.
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
