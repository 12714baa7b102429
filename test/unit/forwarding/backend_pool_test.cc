// Which back end gets the next request.
#include "common/forwarding/backend_pool.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>

namespace juniperway::forwarding {
namespace {

session::DiscoveredBackend Backend(const std::string& id,
                                   const std::string& zone) {
  return {.id = id,
          .service = "s",
          .address = "10.0.0.1:" + id,
          .zone = zone,
          .slots = 5,
          .draining = false};
}

struct Pool {
  Pool()
      : pool({.zone = "here",
              .regions = {{"here", "r"}, {"near", "r"}},
              .extra = {.ratio = 0.2, .slack = 10}}) {
    auto table = std::make_shared<routes::RouteTable>();
    table->services["s"].maximum_connections = 40;
    view.route_table = table;
    Add(Backend("1", "here"));
    Add(Backend("2", "near"));
    Add(Backend("3", "far"));
  }

  void Add(const session::DiscoveredBackend& backend) {
    view.discovered[backend.id] = backend;
    pool.Update(view, routers, now);
  }

  BackendNeed Need(const std::string& service,
                   const std::vector<std::string>& tried) const {
    return {.service = service, .home_regions = home_regions, .tried = tried};
  }

  std::string Choose(const std::vector<std::string>& excluded = {}) {
    const auto* backend = pool.Choose(Need("s", excluded), now);
    return backend == nullptr ? "" : backend->info.id;
  }

  Availability AvailabilityNow(const std::vector<std::string>& excluded = {}) {
    return pool.AvailabilityOf(Need("s", excluded), now);
  }

  void Run(const std::string& id, Duration latency,
           AttemptResult result = AttemptResult::kAnswered) {
    pool.OnSent(id, ++attempt, now);
    pool.OnEnded(id, attempt, result, now + latency);
    now += latency;
  }

  routes::HomeRegions home_regions;
  session::FleetView view;
  BackendPool pool;
  std::size_t routers = 4;
  AttemptId attempt = 0;
  MonotonicTime now{seconds(100)};
};

TEST_CASE("the nearest back end is taken while it answers as well") {
  Pool pool;
  CHECK(pool.Choose() == "1");
  CHECK(pool.Choose({"1"}) == "2");
  CHECK(pool.Choose({"1", "2"}) == "3");
  CHECK(pool.Choose({"1", "2", "3"}) == "");
}

TEST_CASE("a slow back end is left and tried again later") {
  Pool pool;
  for (int i = 0; i < 10; ++i) {
    pool.Run("1", milliseconds(20));
  }
  for (int i = 0; i < 10; ++i) {
    pool.Run("1", milliseconds(200));
  }
  CHECK(pool.Choose() == "2");
  pool.now += seconds(20);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a back end not yet asked is taken for one of its service") {
  // Many times the latency that is assumed of a service without answers.
  constexpr Duration kUsual = milliseconds(220);
  Pool pool;
  for (int i = 0; i < 10; ++i) {
    pool.Run("1", kUsual);
  }
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a back end that turns slow is left for one not yet asked") {
  Pool pool;
  for (int i = 0; i < 100; ++i) {
    pool.Run("1", milliseconds(28));
  }
  for (int i = 0; i < 3; ++i) {
    pool.Run("1", milliseconds(112));
  }
  CHECK(pool.Choose() == "2");
}

TEST_CASE("a back end that stands still is left before it answers") {
  Pool pool;
  pool.pool.OnSent("1", 77, pool.now);
  pool.now += milliseconds(150);
  CHECK(pool.Choose() == "2");
}

TEST_CASE("failures eject, and one attempt shows whether it is well again") {
  Pool pool;
  pool.Run("1", milliseconds(5), AttemptResult::kBroken);
  CHECK(pool.Choose() == "2");
  pool.now += seconds(1);
  // It is not ejected any more, but one that has not failed goes first.
  CHECK(pool.Choose() == "2");
  pool.Run("2", milliseconds(5), AttemptResult::kBroken);
  CHECK(pool.Choose({"3"}) == "1");
  pool.pool.OnSent("1", 88, pool.now);
  CHECK(pool.Choose({"3"}) == "2");
  pool.pool.OnEnded("1", 88, AttemptResult::kAnswered,
                    pool.now + milliseconds(5));
  CHECK(pool.Choose({"3"}) == "1");
}

TEST_CASE("where every back end failed, all are tried") {
  Pool pool;
  for (const char* id : {"1", "2", "3"}) {
    pool.Run(id, milliseconds(1), AttemptResult::kUnsent);
  }
  CHECK(pool.Choose() == "1");
  CHECK(pool.Choose({"1"}) == "2");
}

TEST_CASE(
    "a back end that shed a request is left alone, whatever the others do") {
  Pool pool;
  for (const char* id : {"1", "2", "3"}) {
    pool.Run(id, milliseconds(1), AttemptResult::kShed);
  }
  CHECK(pool.Choose() == "");
  CHECK(pool.AvailabilityNow() == Availability::kBusy);
  pool.now += milliseconds(100);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a draining back end and one that left get nothing more") {
  Pool pool;
  pool.view.discovered["1"].draining = true;
  pool.pool.Update(pool.view, 4, pool.now);
  CHECK(pool.Choose() == "2");
  pool.view.discovered.erase("2");
  pool.pool.Update(pool.view, 4, pool.now);
  CHECK(pool.Choose() == "3");
  CHECK(pool.pool.live_backends() == 1);
}

TEST_CASE("routers share a back end's connections") {
  Pool pool;
  // As many as its share allows are used only once it has answered often.
  for (int i = 0; i < 1000; ++i) {
    pool.Run("1", milliseconds(1));
  }
  pool.routers = 10;
  pool.pool.Update(pool.view, 10, pool.now);
  // 0.9 x 40 connections among 10 routers.
  for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
    CHECK(pool.Choose({"2", "3"}) == "1");
    pool.pool.OnSent("1", attempt, pool.now);
  }
  CHECK(pool.Choose({"2", "3"}) == "");
}

TEST_CASE("a service is busy while its back ends are expected back soon") {
  Pool pool;
  const std::vector<std::string> others = {"2", "3"};
  CHECK(pool.AvailabilityNow(others) == Availability::kUsable);
  CHECK(pool.AvailabilityNow({"1", "2", "3"}) == Availability::kNone);
  SUBCASE("in use") {
    pool.pool.OnSent("1", 88, pool.now);
    CHECK(pool.AvailabilityNow(others) == Availability::kBusy);
    pool.pool.OnEnded("1", 88, AttemptResult::kAnswered,
                      pool.now + milliseconds(5));
    CHECK(pool.AvailabilityNow(others) == Availability::kUsable);
  }
  SUBCASE("in use by an attempt that gets no answer") {
    pool.pool.OnSent("1", 88, pool.now);
    pool.now += seconds(1);
    CHECK(pool.AvailabilityNow(others) == Availability::kNone);
  }
  SUBCASE("leaving") {
    pool.view.discovered["1"].draining = true;
    pool.pool.Update(pool.view, pool.routers, pool.now);
    CHECK(pool.AvailabilityNow(others) == Availability::kNone);
  }
  SUBCASE("unknown") {
    CHECK(pool.pool.AvailabilityOf(pool.Need("other", {}), pool.now) ==
          Availability::kNone);
  }
}

TEST_CASE("a back end that refuses connections pauses, then counts as down") {
  for (const auto result : {AttemptResult::kRefused, AttemptResult::kReset}) {
    Pool pool;
    pool.Run("1", milliseconds(1), result);
    CHECK(pool.Choose({"2", "3"}) == "");
    CHECK(pool.AvailabilityNow({"2", "3"}) == Availability::kBusy);
    // Much earlier than after a failure of another kind.
    pool.now += milliseconds(40);
    CHECK(pool.Choose({"2", "3"}) == "1");
    for (int i = 0; i < 4; ++i) {
      pool.Run("1", milliseconds(1), result);
    }
    CHECK(pool.AvailabilityNow({"2", "3"}) == Availability::kNone);
    pool.now += seconds(2);
    CHECK(pool.Choose({"2", "3"}) == "1");
    // Others go first until that is forgotten.
    CHECK(pool.Choose() == "2");
    pool.now += seconds(60);
    CHECK(pool.Choose() == "1");
  }
}

TEST_CASE("connections to one back end grow with its answers") {
  Pool pool;
  pool.pool.OnSent("1", 88, pool.now);
  CHECK(pool.Choose({"2", "3"}) == "");
  pool.pool.OnEnded("1", 88, AttemptResult::kAnswered, pool.now);
  for (int i = 0; i < 40; ++i) {
    pool.Run("1", milliseconds(5));
  }
  const auto open = [&pool] {
    std::size_t sent = 0;
    while (pool.Choose({"2", "3"}) == "1") {
      pool.pool.OnSent("1", ++pool.attempt, pool.now);
      ++sent;
    }
    return sent;
  };
  const std::size_t before = open();
  CHECK(before > 2);
  // 0.9 of 40 connections for four routers.
  CHECK(before <= 9);
}

// One request: asks another back end while one sheds and the budget lasts.
// @param sheds whether this back end sheds this time.
// @return false when nobody answered.
template <typename Sheds>
bool Ask(Pool& pool, Sheds sheds) {
  pool.pool.OnFirstRequest("s", pool.now);
  std::vector<std::string> tried;
  while (tried.empty() || pool.pool.TakeExtra("s", pool.now)) {
    const std::string chosen = pool.Choose(tried);
    if (chosen.empty()) {
      return false;
    }
    if (!sheds(chosen)) {
      pool.Run(chosen, milliseconds(11));
      return true;
    }
    pool.Run(chosen, milliseconds(1), AttemptResult::kShed);
    tried.push_back(chosen);
  }
  return false;
}

// What callers get of a service while two of its three back ends shed three of
// five requests: 64 routers share 110 requests a second, so that each asks it
// less than twice a second, as seldom as pauses are long.
TEST_CASE("what sheds is left for one far away while the budget is short") {
  Pool pool;
  pool.routers = 64;
  pool.Add(Backend("1", "here"));
  std::mt19937_64 random(5);
  constexpr int kRequests = 100;
  int failed = 0;
  for (int i = 0; i < 2 * kRequests; ++i) {
    pool.now += milliseconds(560);
    const bool shedding = i >= kRequests;
    const bool answered = Ask(pool, [&](const std::string& backend) {
      return shedding && backend != "3" && random() % 5 < 3;
    });
    failed += answered ? 0 : 1;
  }
  // 51 of 100 where failures cost nothing.
  CHECK(failed <= 3);
  // The near ones are tried again once that may have changed.
  pool.now += seconds(60);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("routers that are gone share the budget for a window more") {
  const auto extra_after = [](Duration passed) {
    Pool pool;
    pool.pool.Update(pool.view, 10, pool.now);
    pool.now += seconds(100);
    pool.pool.Update(pool.view, 1, pool.now);
    int taken = 0;
    while (pool.pool.TakeExtra("s", pool.now + passed)) {
      ++taken;
    }
    return taken;
  };
  // Slack 10 of 10 routers, then of 1.
  CHECK(extra_after(seconds(1)) == 0);
  CHECK(extra_after(seconds(11)) == 9);
}

// The back end of this id, started at this second.
session::DiscoveredBackend Started(const std::string& id, int second) {
  session::DiscoveredBackend backend = Backend(id, "here");
  backend.start = WallTime(seconds(second));
  return backend;
}

TEST_CASE("what was seen of a back end ends with its process") {
  // The failures of the process before, and an attempt that it never ended,
  // would keep the new one without work for up to three seconds.
  Pool pool;
  pool.Add(Started("1", 10));
  for (int i = 0; i < 5; ++i) {
    pool.Run("1", milliseconds(900), AttemptResult::kBroken);
  }
  pool.pool.OnSent("1", /*attempt=*/999, pool.now);
  CHECK(pool.Choose() == "2");
  pool.Add(Started("1", 60));
  CHECK(pool.Choose() == "1");

  // The end of the old attempt comes late, and says nothing about the new
  // process.
  pool.pool.OnEnded("1", /*attempt=*/999, AttemptResult::kBroken, pool.now);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a start that is not known or goes back is no new process") {
  Pool pool;
  pool.Add(Started("1", 60));
  for (int i = 0; i < 5; ++i) {
    pool.Run("1", milliseconds(900), AttemptResult::kBroken);
  }
  pool.Add(Backend("1", "here"));
  CHECK(pool.Choose() == "2");
  pool.Add(Started("1", 10));
  CHECK(pool.Choose() == "2");
}

}  // namespace
}  // namespace juniperway::forwarding
