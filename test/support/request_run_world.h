// A request's run over shards of several back ends, driven by hand.
#pragma once

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/forwarding/request_run.h"

namespace juniperway::test {

using namespace forwarding;  // NOLINT(google-build-using-namespace)

inline constexpr int kShards = 4;
inline constexpr int kReplicas = 3;

inline std::string ShardName(int shard) { return "s" + std::to_string(shard); }

// Four shards of three back ends; ids are "s0-0" to "s3-2".
struct World {
  // @param slack of the budget for hedges and retries.
  explicit World(double slack = 1000, double ratio = 0.2)
      : pool({.zone = "z",
              .regions = {},
              .extra = {.ratio = ratio, .slack = slack, .routers = 1}}) {
    auto table = std::make_shared<routes::RouteTable>();
    routes::ScatterTarget scatter;
    for (int shard = 0; shard < kShards; ++shard) {
      table->services[ShardName(shard)].maximum_connections = 100;
      scatter.shards.push_back(ShardName(shard));
      for (int replica = 0; replica < kReplicas; ++replica) {
        const std::string id = ShardName(shard) + "-" + std::to_string(replica);
        view.discovered[id] = {.id = id,
                               .service = ShardName(shard),
                               .address = id,
                               .zone = "z",
                               .slots = 5,
                               .draining = false};
      }
    }
    scatter.top_k = 3;
    scatter.minimum_coverage = 0.7;
    view.route_table = table;
    pool.Update(view, 1, now);
    route.name = "r";
    route.repeatable = true;
    route.timeout = seconds(4);
    route.target = milliseconds(250);
    route.maximum_attempts = 2;
    route.destination = scatter;
  }

  void MakeSingle(bool repeatable) {
    route.repeatable = repeatable;
    route.destination = routes::SplitTarget{{{"s0", 1}}};
  }

  // @param suspected see RequestRun.
  RequestRun& Start(bool suspected = false) {
    run = std::make_unique<RequestRun>(route, "s0", now + seconds(10),
                                       RunOptions{}, pool, latency, suspected);
    run->Start(now);
    Take();
    return *run;
  }

  void Take() {
    for (const RunAction& action : run->TakeActions()) {
      if (const auto* send = std::get_if<SendAction>(&action)) {
        under_way[send->attempt] = *send;
        sent.push_back(*send);
      } else {
        under_way.erase(std::get<CancelAction>(action).attempt);
      }
    }
  }

  // The oldest attempt under way at a shard, 0 when there is none.
  AttemptId AttemptAt(const std::string& shard) const {
    for (const auto& [id, send] : under_way) {
      if (send.backend.starts_with(shard + "-")) {
        return id;
      }
    }
    return 0;
  }

  void End(AttemptId attempt, AttemptResult result,
           const std::string& record = "") {
    AttemptEnd end;
    end.result = result;
    end.answer.status = result == AttemptResult::kAnswered ? 200 : 500;
    end.answer.signature = "sig-" + under_way.at(attempt).backend;
    end.answer.body = record;
    under_way.erase(attempt);
    run->OnEnded(attempt, std::move(end), now);
    Take();
  }

  // Ends an attempt as that of a back end which ended while it ran it.
  void Lose(AttemptId attempt) {
    AttemptEnd end;
    end.result = AttemptResult::kBroken;
    end.connection_lost = true;
    under_way.erase(attempt);
    run->OnEnded(attempt, std::move(end), now);
    Take();
  }

  void Answer(const std::string& shard) {
    const AttemptId attempt = AttemptAt(shard);
    REQUIRE(attempt != 0);
    End(attempt, AttemptResult::kAnswered,
        std::string(16, static_cast<char>('a' + shard.back() - '0')));
  }

  // Lets time pass to the run's next deadline.
  void Wait() {
    now = std::max(now, run->NextDeadline());
    run->OnTime(now);
    Take();
  }

  session::FleetView view;
  BackendPool pool;
  RouteLatency latency;
  routes::Route route;
  std::unique_ptr<RequestRun> run;
  std::map<AttemptId, SendAction> under_way;
  std::vector<SendAction> sent;
  MonotonicTime now{seconds(100)};
};

}  // namespace juniperway::test
