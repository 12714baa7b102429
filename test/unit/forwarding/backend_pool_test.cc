// Which back end gets the next request.
#include "common/forwarding/backend_pool.h"

#include <doctest/doctest.h>

#include <memory>

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
              .extra = {}}) {
    auto table = std::make_shared<routes::RouteTable>();
    table->services["s"].maximum_connections = 40;
    view.route_table = table;
    Add(Backend("1", "here"));
    Add(Backend("2", "near"));
    Add(Backend("3", "far"));
  }

  void Add(const session::DiscoveredBackend& backend) {
    view.discovered[backend.id] = backend;
    pool.Update(view, routers);
  }

  std::string Choose(const std::vector<std::string>& excluded = {}) {
    const auto* backend = pool.Choose("s", excluded, now);
    return backend == nullptr ? "" : backend->info.id;
  }

  void Run(const std::string& id, Duration latency,
           AttemptResult result = AttemptResult::kAnswered) {
    pool.OnSent(id, ++attempt, now);
    pool.OnEnded(id, attempt, result, now + latency);
    now += latency;
  }

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
  CHECK(pool.Choose() == "1");
  pool.pool.OnSent("1", 88, pool.now);
  CHECK(pool.Choose() == "2");
  pool.pool.OnEnded("1", 88, AttemptResult::kAnswered,
                    pool.now + milliseconds(5));
  CHECK(pool.Choose() == "1");
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
  CHECK_FALSE(pool.pool.HasUsable("s", pool.now));
  pool.now += milliseconds(100);
  CHECK(pool.Choose() == "1");
}

TEST_CASE("a draining back end and one that left get nothing more") {
  Pool pool;
  pool.view.discovered["1"].draining = true;
  pool.pool.Update(pool.view, 4);
  CHECK(pool.Choose() == "2");
  pool.view.discovered.erase("2");
  pool.pool.Update(pool.view, 4);
  CHECK(pool.Choose() == "3");
  CHECK(pool.pool.live_backends() == 1);
}

TEST_CASE("routers share a back end's connections") {
  Pool pool;
  pool.routers = 10;
  pool.pool.Update(pool.view, 10);
  // 0.9 x 40 connections among 10 routers.
  for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
    CHECK(pool.Choose({"2", "3"}) == "1");
    pool.pool.OnSent("1", attempt, pool.now);
  }
  CHECK(pool.Choose({"2", "3"}) == "");
}

}  // namespace
}  // namespace juniperway::forwarding
