// The resource API over a replicated state in memory: a leader that commits at
// once. Its leases follow a clock that the test moves.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "common/control/control_state.h"
#include "common/control/lease_table.h"
#include "common/control/resource_api.h"

namespace juniperway::test {

class ApiFixture {
 public:
  ApiFixture() { leases.Start(1, 0, {}, now_); }

  net::HttpResponse Call(const control::ApiCall& call) {
    net::HttpResponse answer;
    answer.status = 0;
    api.Handle(call, [&](net::HttpResponse response) {
      answer = std::move(response);
    });
    return answer;
  }

  // What is committed is in force from now on: no daemon is in the way.
  void PutInForce() {
    for (int i = 0; i < 3; ++i) {
      now_ += seconds(10);
      leases.Advance(state.revision(), now_);
    }
  }

  // Every resource as JSON, for comparison.
  nlohmann::json Resources() const;

  control::ControlState state;
  control::LeaseTable leases{control::LeaseTable::Options{}};
  rollout::RolloutJudge rollouts{rollout::ExposureLimit{}};
  WallTime wall_time{seconds(1'700'000'000)};
  // Members that were added and removed, as they came.
  std::vector<raft::Member> added;
  std::vector<raft::NodeId> removed;
  control::ResourceApi api{MakePorts()};

 private:
  control::ResourceApi::Ports MakePorts() {
    control::ResourceApi::Ports ports;
    ports.state = [this]() -> const control::ControlState& { return state; };
    ports.leases = [this]() -> const control::LeaseTable& { return leases; };
    ports.rollouts = [this]() -> const rollout::RolloutJudge& {
      return rollouts;
    };
    ports.exposure = {.share = 0.1, .slack = 50};
    ports.raft_status = [] { return raft::Status(); };
    ports.is_leading = [] { return true; };
    ports.submit = [this](control::Operations operations,
                          const control::CommandPipeline::Callback& callback) {
      Commit(std::move(operations), callback);
    };
    ports.add_member = [this](const raft::Member& member) -> Result<void> {
      added.push_back(member);
      return {};
    };
    ports.remove_member = [this](raft::NodeId id) -> Result<void> {
      removed.push_back(id);
      return {};
    };
    return ports;
  }

  void Commit(control::Operations operations,
              const control::CommandPipeline::Callback& callback) {
    protocol::CommandT command;
    command.wall_time_us = wall_time.time_since_epoch().count();
    command.operations = std::move(operations);
    // By way of its bytes, as through the log.
    auto applied = state.Apply(control::EncodeCommand(command));
    control::OperationResults results;
    for (auto& result : applied.results) {
      results.push_back(
          std::make_unique<protocol::OperationResultT>(std::move(result)));
    }
    callback(std::move(results));
  }

  MonotonicTime now_{seconds(1000)};
};

}  // namespace juniperway::test
