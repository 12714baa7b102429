// The leader's account of one limit: what routers get when there is enough,
// when there is too little, and under a new leader.
#include "common/quota/fleet_rate.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace juniperway::quota {
namespace {

// 10 requests a second, 10 at once; in five seconds 10 % and 20 more.
constexpr RateLimit kLimit{.per_second = 10, .burst = 10};
constexpr RateTolerance kTolerance{
    .window = seconds(5), .overage = 0.1, .slack = 20};
constexpr double kDrift = 0.01;

struct Rate {
  FleetRate rate{kLimit, kTolerance, kDrift, MonotonicTime(seconds(100))};
  MonotonicTime now{seconds(100)};
  std::uint64_t number = 0;
  std::map<std::string, std::uint64_t> held;

  RateGrant Ask(const std::string& router, double demand,
                std::uint32_t waiting = 0, const UnknownHolders& unknown = {}) {
    const RateRequest request{.key = "t",
                              .held_grant = held[router],
                              .demand = demand,
                              .waiting = waiting};
    RateGrant grant = rate.Grant(router, request, ++number, unknown, now);
    held[router] = grant.number;
    return grant;
  }
};

TEST_CASE("a router is leased its demand and a margin") {
  Rate rate;
  const RateGrant grant = rate.Ask("a", 2);
  CHECK(grant.rate == doctest::Approx(2 * FleetRate::kRateMargin));
  CHECK(grant.stock == doctest::Approx(2));
  CHECK(grant.lease == kRateLease);
}

TEST_CASE("what is leased never sums up to more than its share") {
  Rate rate;
  for (int round = 0; round < 3; ++round) {
    for (int router = 0; router < 40; ++router) {
      rate.Ask("r" + std::to_string(router), 1.0);
      CHECK(rate.rate.LeasedRate() <=
            FleetRate::kRoutersShare * kLimit.per_second + 1e-9);
      // A third of 0.1 x (10 x 5 + 10) + 20 - 2 x 2.5 - 2.
      CHECK(rate.rate.StockedTokens() <= 19.0 / 3 + 1e-9);
    }
    rate.now += milliseconds(1000);
  }
}

TEST_CASE("under too much demand routers share by their demand") {
  Rate rate;
  for (int round = 0; round < 20; ++round) {
    rate.Ask("hot", 30);
    rate.Ask("cold", 10);
    rate.now += milliseconds(1000);
  }
  const double hot = rate.Ask("hot", 30).rate;
  const double cold = rate.Ask("cold", 10).rate;
  CHECK(hot == doctest::Approx(3 * cold));
  CHECK(hot + cold == doctest::Approx(2.5));
}

TEST_CASE("requests that wait get tokens while there are some") {
  Rate rate;
  rate.now += seconds(20);
  // The burst and what the tolerance leaves: full buckets after a quiet time.
  const RateGrant grant = rate.Ask("a", 0, 1000);
  CHECK(grant.tokens == 29);
  CHECK(grant.wait > Duration(0));
  CHECK(grant.wait <= milliseconds(100));
  rate.now += seconds(1);
  CHECK(rate.Ask("b", 0, 1000).tokens == 10);
}

TEST_CASE("tokens that wait come as fast as the limit, leases included") {
  Rate rate;
  rate.Ask("a", 4);  // leased 2.5 a second
  rate.Ask("b", 0, 1000);
  std::uint32_t tokens = 0;
  for (int second = 0; second < 4; ++second) {
    rate.now += seconds(1);
    rate.Ask("a", 4);
    tokens += rate.Ask("b", 0, 1000).tokens;
  }
  CHECK(tokens >= 29);
  CHECK(tokens <= 30);
}

TEST_CASE("a lease counts until its router has confirmed the next one") {
  Rate rate;
  const RateGrant first = rate.Ask("a", 6);
  // The answer with the smaller lease may be lost: both count.
  rate.held["a"] = first.number;
  rate.Ask("a", 1);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(first.rate));
  rate.Ask("a", 1);
  CHECK(rate.rate.LeasedRate() < first.rate);
}

TEST_CASE("a silent router's lease counts until it has ended for certain") {
  Rate rate;
  rate.Ask("a", 6);
  rate.now += kRateLease;
  rate.Ask("b", 0);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(2.5));
  rate.now += milliseconds(60);  // 1 % of drift
  rate.Ask("b", 0);
  CHECK(rate.rate.LeasedRate() == doctest::Approx(0));
}

TEST_CASE("tokens that a router did not use are handed out anew, once") {
  Rate rate;
  rate.now += seconds(20);
  CHECK(rate.Ask("a", 0, 1000).tokens == 29);
  RateRequest request{.key = "t", .returned = 100};
  // What was returned before this leader heard of the router is not known.
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.Ask("a", 0, 1000).tokens == 0);
  request.returned = 107;
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.Ask("a", 0, 1000).tokens == 7);
  rate.rate.Grant("b", request, ++rate.number, {}, rate.now);
  CHECK(rate.Ask("a", 0, 1000).tokens == 0);
}

TEST_CASE("a router with little demand holds nothing, a pool always some") {
  Rate rate;
  CHECK(rate.Ask("a", 0.4).stock == 0);
  CHECK(rate.Ask("a", 0.4).rate == 0);
  const RateRequest request{.key = "t", .is_pool = true, .demand = 0.4};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, {}, rate.now);
  CHECK(grant.stock == doctest::Approx(2.4));
  CHECK(grant.rate == doctest::Approx(0.5));
}

TEST_CASE("a process that is gone holds nothing") {
  Rate rate;
  rate.Ask("a", 6);
  rate.rate.Forget("a");
  CHECK(rate.rate.LeasedRate() == 0);
}

// Of a new leader: a third of the pools and some routers have not reported.
constexpr UnknownHolders kUnknown{.pools = 1, .routers = true};

TEST_CASE("a new leader goes on with leases that are reported, and no other") {
  Rate rate;
  const RateRequest held{.key = "t",
                         .held_grant = 77,
                         .held_rate = 2,
                         .held_stock = 3,
                         .held_left = seconds(3),
                         .demand = 4};
  const RateGrant grant =
      rate.rate.Grant("a", held, ++rate.number, kUnknown, rate.now);
  CHECK(grant.rate == doctest::Approx(2));
  CHECK(grant.stock == doctest::Approx(3));
  // Others may hold the rest of what earlier leaders leased to routers.
  const RateGrant other = rate.Ask("b", 4, 0, kUnknown);
  CHECK(other.rate == 0);
  CHECK(other.stock == 0);
  // Tokens come in besides what is leased, 2.5 to routers, or may be, 5 / 3 to
  // the pool that is not known.
  rate.now += seconds(2);
  CHECK(rate.Ask("b", 4, 100, kUnknown).tokens == 11);
  // Once all have reported: what is left of 2.5.
  CHECK(rate.Ask("b", 4).rate == doctest::Approx(0.5));
}

TEST_CASE("a pool that has not reported does not hold up the others") {
  Rate rate;
  const UnknownHolders one_pool{.pools = 1};
  const RateRequest request{.key = "t", .is_pool = true, .demand = 1};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, one_pool, rate.now);
  CHECK(grant.rate == doctest::Approx(FleetRate::kRateMargin));
  CHECK(grant.stock == doctest::Approx(3));
}

TEST_CASE("one pool gets no more than its share of what pools may have") {
  Rate rate;
  const RateRequest request{.key = "t", .is_pool = true, .demand = 100};
  const RateGrant grant =
      rate.rate.Grant("pool", request, ++rate.number, {}, rate.now);
  CHECK(grant.rate == doctest::Approx(5.0 / 3));
  CHECK(grant.stock == doctest::Approx(19 * 2.0 / 9));
}

TEST_CASE("without tolerance there are no stocks, and each request asks") {
  FleetRate rate(kLimit, {.window = seconds(5)}, kDrift,
                 MonotonicTime(seconds(100)));
  const RateRequest request{.key = "t", .demand = 2, .waiting = 3};
  const MonotonicTime later(seconds(110));
  const RateGrant grant = rate.Grant("a", request, 1, {}, later);
  CHECK(grant.stock == 0);
  CHECK(grant.tokens == 3);
}

}  // namespace
}  // namespace juniperway::quota
