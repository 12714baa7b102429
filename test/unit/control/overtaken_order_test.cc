// A late order on a rollout, a crashing request or a resource must not undo a
// later one.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

constexpr std::uint64_t kFingerprint = 7;

template <typename Operation>
protocol::OperationResultT Apply(
    ControlState& state, Operation operation,
    const flatbuffers::Optional<OrderNumber>& based_on = {}) {
  protocol::CommandT command;
  command.wall_time_us = 1;
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  command.operations.front()->based_on = based_on;
  return std::move(state.Apply(EncodeCommand(command)).results.front());
}

protocol::StartRolloutT Start(const std::string& change) {
  protocol::StartRolloutT order;
  order.change_id = change;
  order.service = "s";
  order.target_version = "v2";
  order.duration_us = Duration(seconds(12)).count();
  return order;
}

protocol::RemoveRolloutT Remove(const std::string& change) {
  protocol::RemoveRolloutT order;
  order.change_id = change;
  order.service = "s";
  return order;
}

protocol::JudgeCrashesT Release(const std::string& change) {
  protocol::JudgeCrashesT order;
  order.change_id = change;
  order.release = {kFingerprint};
  return order;
}

resources::ResourceId ServiceId(const std::string& name) {
  return {resources::Kind::kService, name};
}

// @param version the version that the change is based on; 0 creates.
protocol::ApplyResourcesT Write(const std::string& change,
                                const std::string& name,
                                resources::Revision version) {
  resources::Resource resource;
  resource.id = ServiceId(name);
  resource.version = version;
  resource.specification = resources::Service{};
  protocol::ApplyResourcesT operation;
  operation.change_id = change;
  operation.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource(resource)));
  return operation;
}

protocol::DeleteResourceT Delete(const std::string& change,
                                 const std::string& name,
                                 resources::Revision version) {
  protocol::DeleteResourceT operation;
  operation.change_id = change;
  operation.key = std::make_unique<protocol::ResourceKeyT>(
      session::EncodeResourceId(ServiceId(name)));
  operation.version = version;
  return operation;
}

void CheckOvertaken(const protocol::OperationResultT& result) {
  REQUIRE(result.error);
  CHECK(result.error->field == "based_on");
}

TEST_CASE("a late start does not bring back a rollout that was removed") {
  ControlState state;
  const OrderNumber based_on = state.orders().latest();
  CHECK_FALSE(Apply(state, Start("c1"), based_on).error);
  CHECK_FALSE(Apply(state, Remove("c2"), state.orders().latest()).error);
  CheckOvertaken(Apply(state, Start("c3"), based_on));
  CHECK(state.fleet().rollouts.empty());
}

TEST_CASE("a late removal does not end a rollout that was started anew") {
  ControlState state;
  CHECK_FALSE(Apply(state, Start("c1")).error);
  const OrderNumber based_on = state.orders().latest();
  CHECK_FALSE(Apply(state, Remove("c2"), based_on).error);
  CHECK_FALSE(Apply(state, Start("c3"), state.orders().latest()).error);
  CheckOvertaken(Apply(state, Remove("c4"), based_on));
  CHECK(state.fleet().rollouts.contains("s"));
}

TEST_CASE("a late release does not end a later quarantine") {
  ControlState state;
  const OrderNumber based_on = state.orders().latest();
  protocol::ReportCrashT report;
  report.fingerprint = kFingerprint;
  report.ended_backends = {"a"};
  Apply(state, std::move(report));
  protocol::JudgeCrashesT judgement;
  judgement.quarantine = {kFingerprint};
  Apply(state, std::move(judgement));
  CheckOvertaken(Apply(state, Release("c1"), based_on));
  CHECK(state.fleet().crashes.at({kFingerprint}).quarantined);
  CHECK_FALSE(Apply(state, Release("c2"), state.orders().latest()).error);
  CHECK(state.fleet().crashes.empty());
}

TEST_CASE("a late creation does not bring back a resource that was removed") {
  ControlState state;
  const OrderNumber based_on = state.orders().latest();
  const auto created = Apply(state, Write("c1", "s", 0), based_on);
  CHECK_FALSE(created.error);
  CHECK_FALSE(Apply(state, Delete("c2", "s", created.revision)).error);
  CheckOvertaken(Apply(state, Write("c3", "s", 0), based_on));
  CHECK(state.fleet().Find(ServiceId("s")) == nullptr);
  // The same change, once its caller was told of the removal.
  CHECK_FALSE(Apply(state, Write("c3", "s", 0), state.orders().latest()).error);
}

TEST_CASE("a removal overtakes no change of a resource that exists") {
  ControlState state;
  const auto kept = Apply(state, Write("c1", "kept", 0));
  const auto removed = Apply(state, Write("c2", "removed", 0));
  const OrderNumber based_on = state.orders().latest();
  CHECK_FALSE(Apply(state, Delete("c3", "removed", removed.revision)).error);
  CHECK_FALSE(Apply(state, Write("c4", "kept", kept.revision), based_on).error);
}

TEST_CASE("a refused order leaves the table of orders as it is") {
  ControlState state;
  CHECK_FALSE(Apply(state, Start("c1")).error);
  const OrderNumber latest = state.orders().latest();
  protocol::StartRolloutT other = Start("c2");
  other.target_version = "v3";
  CHECK(Apply(state, std::move(other), latest).error);
  CHECK(state.orders().latest() == latest);
}

TEST_CASE("a snapshot contains the numbers of orders") {
  ControlState state;
  CHECK_FALSE(Apply(state, Start("c1")).error);
  auto restored = ControlState::DecodeSnapshot(state.EncodeSnapshot());
  REQUIRE(restored);
  CheckOvertaken(Apply(*restored, Remove("c2"), 0));
}

}  // namespace
}  // namespace juniperway::control
