// Which requests go to canaries of a roll-out, and what is counted of them.
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
    split.parts.push_back({.service = "s", .weight = 1});
    route.destination = split;
    Update();
  }

  void Update() { pool.Update(view, 1, now); }

  // Sends requests one after the other, each answered with `result` by whom it
  // went to first. @return how many went to the canary first.
  int Play(int requests,
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

TEST_CASE("canaries get their share and no more") {
  Fleet fleet;
  const int canaries = fleet.Play(1000);
  // 100 on average, 9.5 of a standard deviation.
  CHECK(canaries > 60);
  CHECK(canaries < 140);
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  fleet.pool.OnSharesRenewed({7}, MonotonicTime::max());
  CHECK(fleet.Play(100) == 100);
}

// Guards against canaries that keep a larger share while no leader judges them.
TEST_CASE("a share that no leader renews falls back to the base share") {
  Fleet fleet;
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  CHECK(fleet.pool.IsShareLapsed("s", fleet.now));
  CHECK(fleet.Play(1000) < 140);
  // Of another roll-out.
  fleet.pool.OnSharesRenewed({6}, MonotonicTime::max());
  CHECK(fleet.pool.IsShareLapsed("s", fleet.now));
  fleet.pool.OnSharesRenewed({7}, fleet.now + seconds(1));
  CHECK_FALSE(fleet.pool.IsShareLapsed("s", fleet.now));
  CHECK(fleet.Play(50) == 50);
  fleet.now += seconds(1);
  CHECK(fleet.pool.IsShareLapsed("s", fleet.now));
  CHECK(fleet.Play(1000) < 140);
}

TEST_CASE("a renewal is not carried over to the next roll-out") {
  Fleet fleet;
  fleet.pool.OnSharesRenewed({7}, MonotonicTime::max());
  fleet.view.rollouts["s"].number = 8;
  fleet.view.rollouts["s"].share_permille = 1000;
  fleet.Update();
  CHECK(fleet.pool.IsShareLapsed("s", fleet.now));
}

TEST_CASE("work at back ends that get nothing more is counted") {
  Fleet fleet;
  fleet.pool.OnSent("old-1", 1, fleet.now);
  fleet.pool.OnSent("old-2", 2, fleet.now);
  CHECK(fleet.pool.retired_under_way() == 0);
  fleet.view.discovered["old-1"].draining = true;
  fleet.view.discovered.erase("old-2");
  fleet.Update();
  CHECK(fleet.pool.retired_under_way() == 2);
  fleet.pool.OnEnded("old-2", 2, AttemptResult::kAnswered, fleet.now);
  CHECK(fleet.pool.retired_under_way() == 1);
  fleet.view.discovered["old-1"].draining = false;
  fleet.Update();
  CHECK(fleet.pool.retired_under_way() == 0);
  fleet.pool.OnEnded("old-1", 1, AttemptResult::kAnswered, fleet.now);
  CHECK(fleet.pool.retired_under_way() == 0);
}

TEST_CASE("what a canary failed is retried elsewhere, and counted") {
  Fleet fleet;
  const int canaries = fleet.Play(100, AttemptResult::kFailed);
  CHECK(canaries > 0);
  std::uint32_t failed = 0;
  std::uint32_t others = 0;
  for (const auto& report : fleet.pool.answer_tally().MakeReport()) {
    CHECK(report.rollout == 7);
    CHECK(report.group.route == "r");
    failed += report.group.canary ? report.counts.failed : 0;
    others += report.group.canary ? 0 : report.counts.total();
  }
  CHECK(failed == static_cast<std::uint32_t>(canaries));
  CHECK(others == 100);
}

TEST_CASE("requests that wait for no old back end do not go to canaries") {
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

TEST_CASE("once a roll-out is over its version is one like the others") {
  Fleet fleet;
  fleet.view.rollouts = {};
  fleet.view.discovered["new-1"].canary = false;
  fleet.view.discovered["old-1"].draining = true;
  fleet.view.discovered["old-2"].draining = true;
  fleet.Update();
  CHECK(fleet.Play(20) == 0);
  CHECK(fleet.pool.answer_tally().MakeReport().empty());
}

}  // namespace
}  // namespace juniperway::forwarding
