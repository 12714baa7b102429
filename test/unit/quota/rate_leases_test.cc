// Tests RateLeases of a router and of a pool.
#include "common/quota/rate_leases.h"

#include <doctest/doctest.h>

namespace juniperway::quota {
namespace {

constexpr MonotonicTime kStart{seconds(100)};

RateGrant Grant(std::uint64_t number, double rate, double stock,
                std::uint32_t tokens) {
  return {.key = "t",
          .number = number,
          .rate = rate,
          .reserved_tokens = stock,
          .lease = kRateLeaseDuration,
          .tokens = tokens,
          .wait = Duration(0)};
}

// Returns the leases of a router with 2 tokens a second and a full reserve of
// 2.
RateLeases Leased() {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  CHECK(leases.OnGrant(Grant(1, 2, 2, 2), 1, kStart, kStart) == 0);
  return leases;
}

TEST_CASE("without a grant there are no tokens") {
  RateLeases leases;
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("the reserve is used, and grows at the leased rate") {
  RateLeases leases = Leased();
  CHECK(leases.TryTake("t", kStart));
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart + milliseconds(490)));
  CHECK(leases.TryTake("t", kStart + milliseconds(510)));
}

TEST_CASE("a lease expires together with its reserve") {
  RateLeases leases = Leased();
  CHECK_FALSE(leases.TryTake("t", kStart + kRateLeaseDuration));
  // A router that was partitioned or paused for long has no tokens either.
  CHECK_FALSE(leases.TryTake("t", kStart + seconds(60)));
}

TEST_CASE(
    "a late answer is ignored, and its tokens are returned to the leader") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetQueued("t", 1);
  const MonotonicTime late = kStart + kMaximumGrantAge + milliseconds(1);
  CHECK(leases.OnGrant(Grant(1, 2, 2, 2), 1, kStart, late) == 0);
  CHECK_FALSE(leases.TryTake("t", late + milliseconds(600)));
  CHECK(leases.MakeReport(late).requests.front().returned == 2);
}

TEST_CASE("tokens are requested once, until their answer is overdue") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetQueued("t", 1);
  const RateRequest first = leases.MakeReport(kStart).requests.front();
  CHECK(first.queued_requests == 1);
  CHECK(first.missing_reserve == 1);
  leases.SetQueued("t", 3);
  const MonotonicTime soon = kStart + milliseconds(10);
  const RateRequest second = leases.MakeReport(soon).requests.front();
  CHECK(second.queued_requests == 2);
  CHECK(second.missing_reserve == 0);
  const MonotonicTime late = soon + kMaximumGrantAge + milliseconds(1);
  CHECK(leases.MakeReport(late).requests.front().queued_requests == 3);
}

TEST_CASE("tokens beyond a full reserve are returned") {
  RateLeases leases = Leased();
  const RateReport report = leases.MakeReport(kStart + seconds(1));
  CHECK(report.requests.front().returned == doctest::Approx(2));
}

TEST_CASE("queued requests get tokens first, the rest fills the reserve") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetQueued("t", 3);
  CHECK(leases.OnGrant(Grant(1, 2, 1, 9), 1, kStart, kStart) == 3);
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("an older grant and one of an earlier leader change nothing") {
  RateLeases leases = Leased();
  CHECK(leases.OnGrant(Grant(9, 1, 1, 0), 3, kStart, kStart) == 0);
  leases.SetQueued("t", 5);
  CHECK(leases.OnGrant(Grant(8, 50, 50, 5), 3, kStart, kStart) == 0);
  CHECK(leases.OnGrant(Grant(99, 50, 50, 5), 2, kStart, kStart) == 0);
  CHECK(leases.GetLeaseState("t", kStart).grant == 9);
}

TEST_CASE("a released token is kept for another request, within the reserve") {
  RateLeases leases = Leased();
  CHECK(leases.TryTake("t", kStart));
  leases.ReleaseToken("t", kStart);
  leases.ReleaseToken("t", kStart);
  CHECK(leases.TryTake("t", kStart));
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("a report has the demand and the lease") {
  RateLeases leases = Leased();
  for (int i = 0; i < 9; ++i) {
    leases.OnDemand("t", kStart);
  }
  leases.TryTake("t", kStart);
  leases.TryTake("t", kStart);
  const MonotonicTime now = kStart + milliseconds(100);
  const RateReport report = leases.MakeReport(now);
  REQUIRE(report.requests.size() == 1);
  CHECK(report.complete);
  const RateRequest& request = report.requests.front();
  CHECK(request.held_grant == 1);
  CHECK(request.held_rate == 2);
  CHECK(request.held_remaining == kRateLeaseDuration - milliseconds(100));
  CHECK(request.demand == doctest::Approx(2).epsilon(0.03));
  CHECK(request.missing_reserve == 1);
}

TEST_CASE("a key without demand is released and removed") {
  RateLeases leases = Leased();
  const MonotonicTime later = kStart + seconds(15);
  // This grant renews the lease, so the next report still contains the key,
  // with a demand of zero.
  CHECK(leases.OnGrant(Grant(2, 2, 2, 0), 1, later, later) == 0);
  const RateReport report = leases.MakeReport(later);
  REQUIRE(report.requests.size() == 1);
  CHECK(report.requests.front().demand == 0);
  CHECK(leases.OnGrant(Grant(3, 0, 0, 0), 1, later, later) == 0);
  CHECK(leases.MakeReport(later).requests.empty());
}

TEST_CASE("a report is bounded, and keys with queued requests come first") {
  RateLeases leases;
  for (int i = 0; i < 200; ++i) {
    for (int request = 0; request < 4; ++request) {
      leases.OnDemand("t" + std::to_string(i), kStart);
    }
  }
  leases.SetQueued("t150", 1);
  RateReport report = leases.MakeReport(kStart);
  CHECK(report.requests.size() == HolderOptions().maximum_requests);
  CHECK(report.requests.front().key == "t150");
  // The keys that the report leaves out have no lease, so the report contains
  // all leases.
  CHECK(report.complete);
}

TEST_CASE("tokens of a pool do not change the lease") {
  RateLeases leases = Leased();
  leases.SetQueued("t", 2);
  leases.TryTake("t", kStart);
  leases.TryTake("t", kStart);
  RateGrant tokens = Grant(0, 0, 0, 2);
  CHECK(leases.OnGrant(tokens, kPoolGrantTerm, kStart, kStart) == 2);
  CHECK(leases.GetLeaseState("t", kStart).grant == 1);
  // Late tokens are not used.
  leases.SetQueued("t", 2);
  const MonotonicTime late = kStart + kMaximumGrantAge + milliseconds(1);
  CHECK(leases.OnGrant(tokens, kPoolGrantTerm, kStart, late) == 0);
}

TEST_CASE("a key that needs no lease is not reported") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  CHECK(leases.MakeReport(kStart).requests.empty());
  leases.SetQueued("t", 1);
  CHECK(leases.MakeReport(kStart).requests.size() == 1);
  RateLeases pool(kPoolOptions);
  pool.OnDemand("t", kStart);
  REQUIRE(pool.MakeReport(kStart).requests.size() == 1);
  CHECK(pool.MakeReport(kStart).requests.front().is_pool);
}

TEST_CASE("the announced wait is known as the time without tokens") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetQueued("t", 1);
  RateGrant grant = Grant(1, 0, 0, 0);
  grant.wait = milliseconds(300);
  CHECK(leases.OnGrant(grant, 1, kStart, kStart) == 0);
  CHECK(leases.ExhaustedUntil("t") == kStart + milliseconds(300));
}

}  // namespace
}  // namespace juniperway::quota
