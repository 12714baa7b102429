// Tests which backend BackendPool chooses for an attempt.
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

  BackendCriteria Need(const std::string& service,
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

TEST_CASE("the pool chooses the nearest backend while latencies are similar") {
  Pool pool;
  CHECK(pool.Choose() == "1");
  CHECK(pool.Choose({"1"}) == "2");
  CHECK(pool.Choose({"1", "2"}) == "3");
  CHECK(pool.Choose({"1", "2", "3"}) == "");
}

TEST_CASE("the pool avoids a slow backend and uses it again later") {
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

TEST_CASE("an unused backend has the typical latency of its service") {
  // Many times the latency that the pool assumes for a service without answers.
  constexpr Duration kTypicalLatency = milliseconds(220);
  Pool pool;
  for (int i = 0; i < 10; ++i) {
    pool.Run("1", kTypicalLatency);
  }
  CHECK(pool.Choose() == "1");
}

TEST_CASE("the pool replaces a backend that turns slow by an unused one") {
  Pool pool;
  for (int i = 0; i < 100; ++i) {
    pool.Run("1", milliseconds(28));
  }
  for (int i = 0; i < 3; ++i) {
    pool.Run("1", milliseconds(112));
  }
  CHECK(pool.Choose() == "2");
}

TEST_CASE("the pool avoids a paused backend before it answers") {
  Pool pool;
  pool.pool.OnSent("1", 77, pool.now);
  pool.now += milliseconds(150);
  CHECK(pool.Choose() == "2");
}

TEST_CASE("failures eject, and one attempt at a time tests for recovery") {
  Pool pool;
  pool.Run("1", milliseconds(5), AttemptResult::kIncompleteAnswer);
  CHECK(pool.Choose() == "2");
  pool.now += seconds(1);
  // The ejection has ended, but the pool prefers a backend that has not failed.
  CHECK(pool.Choose() == "2");
  pool.Run("2", milliseconds(5), AttemptResult::kIncompleteAnswer);
  CHECK(pool.Choose({"3"}) == "1");
  pool.pool.OnSent("1", 88, pool.now);
  CHECK(pool.Choose({"3"}) == "2");
  pool.pool.OnEnded("1", 88, AttemptResult::kAnswered,
                    pool.now + milliseconds(5));
  CHECK(pool.Choose({"3"}) == "1");
}

TEST_CASE("when all backends have failed, all are candidates") {
  Pool pool;
  for (const char* id : {"1", "2", "3"}) {
    pool.Run(id, milliseconds(1), AttemptResult::kUnsent);
  }
  CHECK(pool.Choose() == "1");
  CHECK(pool.Choose({"1"}) == "2");
}

TEST_CASE(
    "a backend that shed a request gets none during its backoff, even when all "
    "have shed") {
  Pool pool;
  for (const char* id : {"1", "2", "3"}) {
    pool.Run(id, milliseconds(1), AttemptResult::kShed);
  }
  CHECK(pool.Choose() == "");
  CHECK(pool.AvailabilityNow() == Availability::kBusy);
  pool.now += milliseconds(100);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a draining backend and a removed one get no new requests") {
  Pool pool;
  pool.view.discovered["1"].draining = true;
  pool.pool.Update(pool.view, 4, pool.now);
  CHECK(pool.Choose() == "2");
  pool.view.discovered.erase("2");
  pool.pool.Update(pool.view, 4, pool.now);
  CHECK(pool.Choose() == "3");
  CHECK(pool.pool.live_backends() == 1);
}

TEST_CASE("routers share the connections of a backend") {
  Pool pool;
  // A router uses its whole share only after many answers.
  for (int i = 0; i < 1000; ++i) {
    pool.Run("1", milliseconds(1));
  }
  pool.routers = 10;
  pool.pool.Update(pool.view, 10, pool.now);
  // A router's share is 0.9 x 40 connections / 10 routers.
  for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
    CHECK(pool.Choose({"2", "3"}) == "1");
    pool.pool.OnSent("1", attempt, pool.now);
  }
  CHECK(pool.Choose({"2", "3"}) == "");
}

TEST_CASE("a service is busy while a backend is expected to be usable soon") {
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
  SUBCASE("draining") {
    pool.view.discovered["1"].draining = true;
    pool.pool.Update(pool.view, pool.routers, pool.now);
    CHECK(pool.AvailabilityNow(others) == Availability::kNone);
  }
  SUBCASE("unknown") {
    CHECK(pool.pool.AvailabilityOf(pool.Need("other", {}), pool.now) ==
          Availability::kNone);
  }
}

TEST_CASE("a backend that refuses connections gets a backoff, then is down") {
  for (const auto result : {AttemptResult::kRefused, AttemptResult::kReset}) {
    Pool pool;
    pool.Run("1", milliseconds(1), result);
    CHECK(pool.Choose({"2", "3"}) == "");
    CHECK(pool.AvailabilityNow({"2", "3"}) == Availability::kBusy);
    // The backoff lasts less than 40 ms. An ejection, which other kinds of
    // failures cause, would last longer.
    pool.now += milliseconds(40);
    CHECK(pool.Choose({"2", "3"}) == "1");
    for (int i = 0; i < 4; ++i) {
      pool.Run("1", milliseconds(1), result);
    }
    CHECK(pool.AvailabilityNow({"2", "3"}) == Availability::kNone);
    pool.now += seconds(2);
    CHECK(pool.Choose({"2", "3"}) == "1");
    // Backends without failures are preferred until the failures have decayed.
    CHECK(pool.Choose() == "2");
    pool.now += seconds(60);
    CHECK(pool.Choose() == "1");
  }
}

TEST_CASE("the connections to a backend grow with its answers") {
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
  // A router's share is 0.9 x 40 connections / 4 routers.
  CHECK(before <= 9);
}

// Runs one request, and sends it to another backend after each shed attempt
// while the budget lasts.
// @param sheds whether this backend sheds this attempt.
// @return false when no backend answered.
template <typename Sheds>
bool RunRequest(Pool& pool, Sheds sheds) {
  pool.pool.OnFirstRequest("s", pool.now);
  std::vector<std::string> tried;
  while (tried.empty() || pool.pool.TryTakeExtraAttempt("s", pool.now)) {
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

// Measures the failed requests of a service while two of its three backends
// shed three of five requests. 64 routers share 110 requests per second, so
// each of them sends less than two per second, and most backoffs end before its
// next request.
TEST_CASE(
    "the pool prefers a distant backend to near ones that shed requests") {
  Pool pool;
  pool.routers = 64;
  pool.Add(Backend("1", "here"));
  std::mt19937_64 random(5);
  constexpr int kRequests = 100;
  int failed = 0;
  for (int i = 0; i < 2 * kRequests; ++i) {
    pool.now += milliseconds(560);
    const bool shedding = i >= kRequests;
    const bool answered = RunRequest(pool, [&](const std::string& backend) {
      return shedding && backend != "3" && random() % 5 < 3;
    });
    failed += answered ? 0 : 1;
  }
  // Without a cost for failures, 51 of 100 requests fail.
  CHECK(failed <= 3);
  // The pool uses the near backends again once the failures have decayed.
  pool.now += seconds(60);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("removed routers share the budget for one more window") {
  const auto extra_after = [](Duration passed) {
    Pool pool;
    pool.pool.Update(pool.view, 10, pool.now);
    pool.now += seconds(100);
    pool.pool.Update(pool.view, 1, pool.now);
    int taken = 0;
    while (pool.pool.TryTakeExtraAttempt("s", pool.now + passed)) {
      ++taken;
    }
    return taken;
  };
  // The slack of 10 is divided by 10 routers at first, and by 1 router after
  // the window.
  CHECK(extra_after(seconds(1)) == 0);
  CHECK(extra_after(seconds(11)) == 9);
}

// Returns the backend of this id, started at this second.
session::DiscoveredBackend Started(const std::string& id, int second) {
  session::DiscoveredBackend backend = Backend(id, "here");
  backend.start = WallTime(seconds(second));
  return backend;
}

TEST_CASE("a new process of a backend starts without observations") {
  // The failures of the old process, and an attempt that the old process never
  // ended, would otherwise keep requests from the new process for up to three
  // seconds.
  Pool pool;
  pool.Add(Started("1", 10));
  for (int i = 0; i < 5; ++i) {
    pool.Run("1", milliseconds(900), AttemptResult::kIncompleteAnswer);
  }
  pool.pool.OnSent("1", /*attempt=*/999, pool.now);
  CHECK(pool.Choose() == "2");
  pool.Add(Started("1", 60));
  CHECK(pool.Choose() == "1");

  // The attempt at the old process ends late and must not count against the new
  // one.
  pool.pool.OnEnded("1", /*attempt=*/999, AttemptResult::kIncompleteAnswer,
                    pool.now);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("an unknown or earlier start time is not a new process") {
  Pool pool;
  pool.Add(Started("1", 60));
  for (int i = 0; i < 5; ++i) {
    pool.Run("1", milliseconds(900), AttemptResult::kIncompleteAnswer);
  }
  pool.Add(Backend("1", "here"));
  CHECK(pool.Choose() == "2");
  pool.Add(Started("1", 10));
  CHECK(pool.Choose() == "2");
}

}  // namespace
}  // namespace juniperway::forwarding
