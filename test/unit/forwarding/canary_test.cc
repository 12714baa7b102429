// Tests which requests go to the canaries of a rollout, and how the pool counts
// their outcomes.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "common/forwarding/request_run.h"

namespace juniperway::forwarding {
namespace {

struct Fleet {
  Fleet() {
    table->services["s"].maximum_connections = 10'000;
    view.route_table = table;
    session::Member self;
    self.daemon_id = "self";
    self.router = true;
    view.members["self"] = self;
    for (const std::string id : {"old-1", "old-2", "new-1"}) {
      const bool canary = id == "new-1";
      view.discovered[id] = {.id = id,
                             .service = "s",
                             .address = id,
                             .zone = "z",
                             .slots = 1000,
                             .version = canary ? "v2" : "v1",
                             .canary = canary};
    }
    view.rollouts["s"] = {
        .number = 7, .share_permille = 100, .base_share_permille = 100};
    route.name = "r";
    route.repeatable = true;
    route.timeout = seconds(4);
    route.target = milliseconds(250);
    route.maximum_attempts = 2;
    routes::SplitTarget split;
    split.weighted_services.push_back({.service = "s", .weight = 1});
    route.destination = split;
    Update();
  }

  void Update() { pool.Update(view, 1, now); }

  // Runs requests one after the other. Canaries answer with `canary_result`,
  // other backends answer successfully. Checks that only first attempts go to
  // canaries.
  // @return how many first attempts went to canaries.
  int RunRequests(int requests,
                  AttemptResult canary_result = AttemptResult::kAnswered) {
    int canaries = 0;
    for (int i = 0; i < requests; ++i) {
      RequestRun run(route, "s", now + seconds(4), RunOptions{}, pool, latency);
      run.Start(now);
      bool first = true;
      while (!run.outcome()) {
        const auto actions = run.TakeActions();
        REQUIRE_FALSE(actions.empty());
        const auto send = std::get<SendAction>(actions.front());
        if (first) {
          canaries += send.canary ? 1 : 0;
        } else {
          CHECK_FALSE(send.canary);
        }
        first = false;
        now += milliseconds(10);
        AttemptEnd end;
        end.result = send.canary ? canary_result : AttemptResult::kAnswered;
        run.OnEnded(send.attempt, end, now);
      }
    }
    return canaries;
  }

  session::FleetView view;
  std::shared_ptr<routes::RouteTable> table =
      std::make_shared<routes::RouteTable>();
  BackendPool pool{{.router = "self",
                    .zone = "z",
                    .regions = {{"z", "r"}},
                    .extra = {.ratio = 10, .slack = 1000}}};
  routes::Route route;
  RouteLatency latency;
  MonotonicTime now{seconds(100)};
};

TEST_CASE("canaries get their share of first attempts and no more") {
  Fleet fleet;
  const int canaries = fleet.RunRequests(1000);
  // The number of requests to canaries has a mean of 100 and a standard
  // deviation of 9.5.
  CHECK(canaries > 60);
  CHECK(canaries < 140);
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  fleet.pool.OnSharesRenewed({7}, MonotonicTime::max());
  CHECK(fleet.RunRequests(100) == 100);
}

// Guards against canaries that keep a larger share while no leader evaluates
// them.
TEST_CASE("a share that the leader does not renew falls to the base share") {
  Fleet fleet;
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  CHECK(fleet.pool.IsShareExpired("s", fleet.now));
  CHECK(fleet.RunRequests(1000) < 140);
  // A renewal for another rollout does not count.
  fleet.pool.OnSharesRenewed({6}, MonotonicTime::max());
  CHECK(fleet.pool.IsShareExpired("s", fleet.now));
  fleet.pool.OnSharesRenewed({7}, fleet.now + seconds(1));
  CHECK_FALSE(fleet.pool.IsShareExpired("s", fleet.now));
  CHECK(fleet.RunRequests(50) == 50);
  fleet.now += seconds(1);
  CHECK(fleet.pool.IsShareExpired("s", fleet.now));
  CHECK(fleet.RunRequests(1000) < 140);
}

TEST_CASE("a renewal does not apply to the next rollout") {
  Fleet fleet;
  fleet.pool.OnSharesRenewed({7}, MonotonicTime::max());
  fleet.view.rollouts["s"].number = 8;
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  CHECK(fleet.pool.IsShareExpired("s", fleet.now));
}

TEST_CASE("attempts in flight at retired backends are counted") {
  Fleet fleet;
  fleet.pool.OnSent("old-1", 1, fleet.now);
  fleet.pool.OnSent("old-2", 2, fleet.now);
  CHECK(fleet.pool.retired_in_flight() == 0);
  fleet.view.discovered["old-1"].draining = true;
  fleet.view.discovered.erase("old-2");
  fleet.Update();
  CHECK(fleet.pool.retired_in_flight() == 2);
  fleet.pool.OnEnded("old-2", 2, AttemptResult::kAnswered, fleet.now);
  CHECK(fleet.pool.retired_in_flight() == 1);
  fleet.view.discovered["old-1"].draining = false;
  fleet.Update();
  CHECK(fleet.pool.retired_in_flight() == 0);
  fleet.pool.OnEnded("old-1", 1, AttemptResult::kAnswered, fleet.now);
  CHECK(fleet.pool.retired_in_flight() == 0);
}

TEST_CASE("a failed attempt at a canary is counted and retried elsewhere") {
  Fleet fleet;
  const int canaries = fleet.RunRequests(100, AttemptResult::kFailed);
  CHECK(canaries > 0);
  std::uint32_t failed = 0;
  std::uint32_t baseline = 0;
  for (const auto& report : fleet.pool.answer_tally().MakeReport()) {
    CHECK(report.rollout == 7);
    CHECK(report.group.route == "r");
    failed += report.group.canary ? report.counts.failed : 0;
    baseline += report.group.canary ? 0 : report.counts.total();
  }
  CHECK(failed == static_cast<std::uint32_t>(canaries));
  CHECK(baseline == 100);
}

TEST_CASE("with a share of zero no request goes to canaries") {
  Fleet fleet;
  fleet.view.discovered["old-1"].draining = true;
  fleet.view.discovered["old-2"].draining = true;
  fleet.view.rollouts["s"].share_permille = 0;
  fleet.Update();
  RequestRun run(fleet.route, "s", fleet.now + seconds(4), RunOptions{},
                 fleet.pool, fleet.latency);
  run.Start(fleet.now);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kNotRun);
}

TEST_CASE("after a rollout its version is treated like the others") {
  Fleet fleet;
  fleet.view.rollouts = {};
  fleet.view.discovered["new-1"].canary = false;
  fleet.view.discovered["old-1"].draining = true;
  fleet.view.discovered["old-2"].draining = true;
  fleet.Update();
  CHECK(fleet.RunRequests(20) == 0);
  CHECK(fleet.pool.answer_tally().MakeReport().empty());
}

}  // namespace
}  // namespace juniperway::forwarding
