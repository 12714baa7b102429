// A router's side of a leased rate.
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
          .stock = stock,
          .lease = kRateLease,
          .tokens = tokens,
          .wait = Duration(0)};
}

// A router that was granted 2 tokens a second and a stock of 2, which is full.
RateLeases Leased() {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  CHECK(leases.OnGrant(Grant(1, 2, 2, 2), 1, kStart, kStart) == 0);
  return leases;
}

TEST_CASE("nothing is let through without a grant") {
  RateLeases leases;
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("the stock is used, and grows with the leased rate") {
  RateLeases leases = Leased();
  CHECK(leases.TryTake("t", kStart));
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart + milliseconds(490)));
  CHECK(leases.TryTake("t", kStart + milliseconds(510)));
}

TEST_CASE("a lease ends by itself, its stock with it") {
  RateLeases leases = Leased();
  CHECK_FALSE(leases.TryTake("t", kStart + kRateLease));
  // Also while the router was cut off for long, or suspended.
  CHECK_FALSE(leases.TryTake("t", kStart + seconds(60)));
}

TEST_CASE(
    "an answer that comes late is not taken in, and its tokens returned") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetWaiting("t", 1);
  const MonotonicTime late = kStart + kLongestGrantAge + milliseconds(1);
  CHECK(leases.OnGrant(Grant(1, 2, 2, 2), 1, kStart, late) == 0);
  CHECK_FALSE(leases.TryTake("t", late + milliseconds(600)));
  CHECK(leases.MakeReport(late).requests.front().returned == 2);
}

TEST_CASE("tokens are asked for once, until their answer is overdue") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetWaiting("t", 1);
  const RateRequest first = leases.MakeReport(kStart).requests.front();
  CHECK(first.waiting == 1);
  CHECK(first.room == 1);
  leases.SetWaiting("t", 3);
  const MonotonicTime soon = kStart + milliseconds(10);
  const RateRequest second = leases.MakeReport(soon).requests.front();
  CHECK(second.waiting == 2);
  CHECK(second.room == 0);
  const MonotonicTime late = soon + kLongestGrantAge + milliseconds(1);
  CHECK(leases.MakeReport(late).requests.front().waiting == 3);
}

TEST_CASE("what grows beyond a full stock is returned") {
  RateLeases leases = Leased();
  const RateReport report = leases.MakeReport(kStart + seconds(1));
  CHECK(report.requests.front().returned == doctest::Approx(2));
}

TEST_CASE("what waits gets its tokens first, the rest fills the stock") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetWaiting("t", 3);
  CHECK(leases.OnGrant(Grant(1, 2, 1, 9), 1, kStart, kStart) == 3);
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("an older grant and one of an earlier leader change nothing") {
  RateLeases leases = Leased();
  CHECK(leases.OnGrant(Grant(9, 1, 1, 0), 3, kStart, kStart) == 0);
  leases.SetWaiting("t", 5);
  CHECK(leases.OnGrant(Grant(8, 50, 50, 5), 3, kStart, kStart) == 0);
  CHECK(leases.OnGrant(Grant(99, 50, 50, 5), 2, kStart, kStart) == 0);
  CHECK(leases.Describe("t", kStart).grant == 9);
}

TEST_CASE("a token that was not used is kept for another, within the stock") {
  RateLeases leases = Leased();
  CHECK(leases.TryTake("t", kStart));
  leases.GiveBack("t", kStart);
  leases.GiveBack("t", kStart);
  CHECK(leases.TryTake("t", kStart));
  CHECK(leases.TryTake("t", kStart));
  CHECK_FALSE(leases.TryTake("t", kStart));
}

TEST_CASE("a report tells demand and what is held") {
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
  CHECK(request.held_left == kRateLease - milliseconds(100));
  CHECK(request.demand == doctest::Approx(2).epsilon(0.03));
  CHECK(request.room == 1);
}

TEST_CASE("a key without demand is given back and forgotten") {
  RateLeases leases = Leased();
  const MonotonicTime later = kStart + seconds(15);
  // Still held when it is asked about, so it is named with no demand.
  CHECK(leases.OnGrant(Grant(2, 2, 2, 0), 1, later, later) == 0);
  const RateReport report = leases.MakeReport(later);
  REQUIRE(report.requests.size() == 1);
  CHECK(report.requests.front().demand == 0);
  CHECK(leases.OnGrant(Grant(3, 0, 0, 0), 1, later, later) == 0);
  CHECK(leases.MakeReport(later).requests.empty());
}

TEST_CASE("a report is bounded, what waits goes first") {
  RateLeases leases;
  for (int i = 0; i < 200; ++i) {
    for (int request = 0; request < 4; ++request) {
      leases.OnDemand("t" + std::to_string(i), kStart);
    }
  }
  leases.SetWaiting("t150", 1);
  RateReport report = leases.MakeReport(kStart);
  CHECK(report.requests.size() == HolderOptions().maximum_requests);
  CHECK(report.requests.front().key == "t150");
  // What is left out holds no lease.
  CHECK(report.complete);
}

TEST_CASE("tokens of a pool leave the lease as it is") {
  RateLeases leases = Leased();
  leases.SetWaiting("t", 2);
  leases.TryTake("t", kStart);
  leases.TryTake("t", kStart);
  RateGrant tokens = Grant(0, 0, 0, 2);
  CHECK(leases.OnGrant(tokens, kAnyTerm, kStart, kStart) == 2);
  CHECK(leases.Describe("t", kStart).grant == 1);
  // Late ones are not used.
  leases.SetWaiting("t", 2);
  const MonotonicTime late = kStart + kLongestGrantAge + milliseconds(1);
  CHECK(leases.OnGrant(tokens, kAnyTerm, kStart, late) == 0);
}

TEST_CASE("a key that needs no lease is not reported") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  CHECK(leases.MakeReport(kStart).requests.empty());
  leases.SetWaiting("t", 1);
  CHECK(leases.MakeReport(kStart).requests.size() == 1);
  RateLeases pool(kPoolOptions);
  pool.OnDemand("t", kStart);
  REQUIRE(pool.MakeReport(kStart).requests.size() == 1);
  CHECK(pool.MakeReport(kStart).requests.front().is_pool);
}

TEST_CASE("that the limit is used up is known until it is not any more") {
  RateLeases leases;
  leases.OnDemand("t", kStart);
  leases.SetWaiting("t", 1);
  RateGrant grant = Grant(1, 0, 0, 0);
  grant.wait = milliseconds(300);
  CHECK(leases.OnGrant(grant, 1, kStart, kStart) == 0);
  CHECK(leases.ExhaustedUntil("t") == kStart + milliseconds(300));
}

}  // namespace
}  // namespace juniperway::quota
