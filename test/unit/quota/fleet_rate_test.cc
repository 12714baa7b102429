// Tests the grants of FleetRate with few and with many requests, and under a
// new leader.
#include "common/quota/fleet_rate.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace juniperway::quota {
namespace {

// The limit is 10 requests a second and a burst of 10. In five seconds the
// tolerance allows 10 % and 20 requests more.
constexpr RateLimit kLimit{.per_second = 10, .burst = 10};
constexpr RateTolerance kTolerance{
    .window = seconds(5), .overage = 0.1, .slack = 20};
constexpr double kDrift = 0.01;

struct Rate {
  FleetRate rate{kLimit, kTolerance, kDrift, MonotonicTime(seconds(100))};
  MonotonicTime now{seconds(100)};
  std::uint64_t number = 0;
  std::map<std::string, std::uint64_t> held_grants;

  RateGrant RequestGrant(const std::string& router, double demand,
                         std::uint32_t waiting = 0,
                         const UnknownHolders& unknown = {}) {
    const RateRequest request{.key = "t",
                              .held_grant = held_grants[router],
                              .demand = demand,
                              .queued_requests = waiting};
    RateGrant grant = rate.Grant(router, request, ++number, unknown, now);
    held_grants[router] = grant.number;
    return grant;
  }
};

TEST_CASE("a router is leased its demand and a margin") {
  Rate rate;
  const RateGrant grant = rate.RequestGrant("a", 2);
  CHECK(grant.rate == doctest::Approx(2 * FleetRate::kRateMargin));
  CHECK(grant.reserved_tokens == doctest::Approx(2));
  CHECK(grant.lease == kRateLeaseDuration);
}

TEST_CASE("the sum of the leased rates never exceeds the routers' share") {
  Rate rate;
  for (int round = 0; round < 3; ++round) {
    for (int router = 0; router < 40; ++router) {
      rate.RequestGrant("r" + std::to_string(router), 1.0);
      CHECK(rate.rate.LeasedRate() <=
            FleetRate::kRoutersShare * kLimit.per_second + 1e-9);
      // Routers may have a third of the tokens in reserve, whose maximum is 0.1
      // x (10 x 5 + 10) + 20 - 2 x 2.5 - 2 = 19.
      CHECK(rate.rate.ReservedTokens() <= 19.0 / 3 + 1e-9);
    }
    rate.now += milliseconds(1000);
  }
}

TEST_CASE("under too much demand routers share by their demand") {
  Rate rate;
  for (int round = 0; round < 20; ++round) {
    rate.RequestGrant("hot", 30);
    rate.RequestGrant("cold", 10);
    rate.now += milliseconds(1000);
  }
  const double hot = rate.RequestGrant("hot", 30).rate;
  const double cold = rate.RequestGrant("cold", 10).rate;
  CHECK(hot == doctest::Approx(3 * cold));
  CHECK(hot + cold == doctest::Approx(2.5));
}

TEST_CASE("queued requests get the tokens of the bucket") {
  Rate rate;
  rate.now += seconds(20);
  // The full bucket holds the burst and the remainder of the tolerance.
  const RateGrant grant = rate.RequestGrant("a", 0, 1000);
  CHECK(grant.tokens == 29);
  CHECK(grant.wait > Duration(0));
  CHECK(grant.wait <= milliseconds(100));
  rate.now += seconds(1);
  CHECK(rate.RequestGrant("b", 0, 1000).tokens == 10);
}

TEST_CASE("tokens come in at the rate of the limit, leases included") {
  Rate rate;
  rate.RequestGrant("a", 4);  // leased 2.5 a second
  rate.RequestGrant("b", 0, 1000);
  std::uint32_t tokens = 0;
  for (int second = 0; second < 4; ++second) {
    rate.now += seconds(1);
    rate.RequestGrant("a", 4);
    tokens += rate.RequestGrant("b", 0, 1000).tokens;
  }
  CHECK(tokens >= 29);
  CHECK(tokens <= 30);
}

TEST_CASE("a lease counts until its router has confirmed the next one") {
  Rate rate;
  const RateGrant first = rate.RequestGrant("a", 6);
  // The answer with the smaller lease may be lost, so both leases count.
  rate.held_grants["a"] = first.number;
  rate.RequestGrant("a", 1);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(first.rate));
  rate.RequestGrant("a", 1);
  CHECK(rate.rate.LeasedRate() < first.rate);
}

TEST_CASE("an unresponsive router's lease counts until it has expired") {
  Rate rate;
  rate.RequestGrant("a", 6);
  rate.now += kRateLeaseDuration;
  rate.RequestGrant("b", 0);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(2.5));
  rate.now += milliseconds(60);  // 1 % of drift
  rate.RequestGrant("b", 0);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(0));
}

TEST_CASE("tokens that a router returned are granted again, once") {
  Rate rate;
  rate.now += seconds(20);
  CHECK(rate.RequestGrant("a", 0, 1000).tokens == 29);
  RateRequest request{.key = "t", .returned = 100};
  // Tokens returned before the router's first report to this leader are not
  // granted again.
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.RequestGrant("a", 0, 1000).tokens == 0);
  request.returned = 107;
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.RequestGrant("a", 0, 1000).tokens == 7);
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.RequestGrant("a", 0, 1000).tokens == 0);
}

TEST_CASE("a router with little demand has no reserve, a pool always has one") {
  Rate rate;
  CHECK(rate.RequestGrant("a", 0.4).reserved_tokens == 0);
  CHECK(rate.RequestGrant("a", 0.4).rate == 0);
  const RateRequest request{.key = "t", .is_pool = true, .demand = 0.4};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, {}, rate.now);
  CHECK(grant.reserved_tokens == doctest::Approx(2.4));
  CHECK(grant.rate == doctest::Approx(0.5));
}

TEST_CASE("a removed holder has no lease") {
  Rate rate;
  rate.RequestGrant("a", 6);
  rate.rate.RemoveHolder("a");
  CHECK(rate.rate.LeasedRate() == 0);
}

// Holders unknown to a new leader to which one pool and some routers have not
// reported.
constexpr UnknownHolders kUnknown{.pools = 1, .routers = true};

TEST_CASE("a new leader renews reported leases and grants no others") {
  Rate rate;
  const RateRequest reported{.key = "t",
                             .held_grant = 77,
                             .held_rate = 2,
                             .held_reserved_tokens = 3,
                             .held_remaining = seconds(3),
                             .demand = 4};
  const RateGrant grant =
      rate.rate.Grant("a", reported, ++rate.number, kUnknown, rate.now);
  CHECK(grant.rate == doctest::Approx(2));
  CHECK(grant.reserved_tokens == doctest::Approx(3));
  // Routers that have not reported may hold the rest of the routers' share.
  const RateGrant other = rate.RequestGrant("b", 4, 0, kUnknown);
  CHECK(other.rate == 0);
  CHECK(other.reserved_tokens == 0);
  // Tokens come in at the rate less 2.5 for routers and 5 / 3 that the unknown
  // pool may hold.
  rate.now += seconds(2);
  CHECK(rate.RequestGrant("b", 4, 100, kUnknown).tokens == 11);
  // Once all have reported, the router gets the remainder of 2.5.
  CHECK(rate.RequestGrant("b", 4).rate == doctest::Approx(0.5));
}

TEST_CASE("a pool that has not reported does not delay grants to others") {
  Rate rate;
  const UnknownHolders one_pool{.pools = 1};
  const RateRequest request{.key = "t", .is_pool = true, .demand = 1};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, one_pool, rate.now);
  CHECK(grant.rate == doctest::Approx(FleetRate::kRateMargin));
  CHECK(grant.reserved_tokens == doctest::Approx(3));
}

TEST_CASE("one pool gets at most kOnePoolShare of the amount for pools") {
  Rate rate;
  const RateRequest request{.key = "t", .is_pool = true, .demand = 100};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, {}, rate.now);
  CHECK(grant.rate == doctest::Approx(5.0 / 3));
  CHECK(grant.reserved_tokens == doctest::Approx(19 * 2.0 / 9));
}

TEST_CASE("without tolerance there are no reserves") {
  FleetRate rate(kLimit, {.window = seconds(5)}, kDrift,
                 MonotonicTime(seconds(100)));
  const RateRequest request{.key = "t", .demand = 2, .queued_requests = 3};
  const MonotonicTime later(seconds(110));
  const RateGrant grant = rate.Grant("a", request, 1, {}, later);
  CHECK(grant.reserved_tokens == 0);
  CHECK(grant.tokens == 3);
}

}  // namespace
}  // namespace juniperway::quota
