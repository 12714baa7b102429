// A RequestRun over shards with several backends, which a test drives step by
// step. The test owns the World and its clock.
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

// Four shards with three backends each, whose ids are "s0-0" to "s3-2". Route
// "r" is a scatter over all shards.
struct World {
  // @param slack, ratio limits of the retry budget, which allows ratio x
  //   requests + slack extra attempts.
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

  // Replaces the scatter by a route to the service "s0".
  void MakeSingle(bool repeatable) {
    route.repeatable = repeatable;
    route.destination = routes::SplitTarget{{{"s0", 1}}};
  }

  // Starts a run and takes its first actions.
  // @param suspected see RequestRun.
  RequestRun& Start(bool suspected = false) {
    run = std::make_unique<RequestRun>(route, "s0", now + seconds(10),
                                       RunOptions{}, pool, latency, suspected);
    run->Start(now);
    Take();
    return *run;
  }

  // Records the run's pending actions in `sent` and `in_flight`.
  void Take() {
    for (const RunAction& action : run->TakeActions()) {
      if (const auto* send = std::get_if<SendAction>(&action)) {
        in_flight[send->attempt] = *send;
        sent.push_back(*send);
      } else {
        in_flight.erase(std::get<CancelAction>(action).attempt);
      }
    }
  }

  // @return the oldest attempt in flight at a shard; 0 when there is none.
  AttemptId AttemptAt(const std::string& shard) const {
    for (const auto& [id, send] : in_flight) {
      if (send.backend.starts_with(shard + "-")) {
        return id;
      }
    }
    return 0;
  }

  // Ends an attempt with this result.
  void End(AttemptId attempt, AttemptResult result,
           const std::string& record = "") {
    AttemptEnd end;
    end.result = result;
    end.answer.status = result == AttemptResult::kAnswered ? 200 : 500;
    end.answer.signature = "sig-" + in_flight.at(attempt).backend;
    end.answer.body = record;
    in_flight.erase(attempt);
    run->OnEnded(attempt, std::move(end), now);
    Take();
  }

  // Ends an attempt as if its backend had crashed while it ran the request.
  void Lose(AttemptId attempt) {
    AttemptEnd end;
    end.result = AttemptResult::kIncompleteAnswer;
    end.connection_lost = true;
    in_flight.erase(attempt);
    run->OnEnded(attempt, std::move(end), now);
    Take();
  }

  // Ends the shard's oldest attempt in flight with a successful answer.
  void Answer(const std::string& shard) {
    const AttemptId attempt = AttemptAt(shard);
    REQUIRE(attempt != 0);
    End(attempt, AttemptResult::kAnswered,
        std::string(16, static_cast<char>('a' + shard.back() - '0')));
  }

  // Advances the clock to the run's next deadline and calls OnDeadline.
  void Wait() {
    now = std::max(now, run->NextDeadline());
    run->OnDeadline(now);
    Take();
  }

  session::FleetView view;
  BackendPool pool;
  RouteLatency latency;
  routes::Route route;
  std::unique_ptr<RequestRun> run;
  // Attempts in flight.
  std::map<AttemptId, SendAction> in_flight;
  // All attempts, in the order of sending.
  std::vector<SendAction> sent;
  MonotonicTime now{seconds(100)};
};

}  // namespace juniperway::test
