// Tests rollouts in the replicated state and in the views of daemons.
#include <doctest/doctest.h>

#include <string>

#include "common/control/control_state.h"
#include "common/rollout/rollout_plan.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

using rollout::RolloutPhase;
using rollout::RolloutState;

template <typename Operation>
protocol::OperationResultT Apply(ControlState& state, Operation operation,
                                 std::int64_t second = 5) {
  protocol::CommandT command;
  command.wall_time_us = Duration(seconds(second)).count();
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  return std::move(state.Apply(EncodeCommand(command)).results.front());
}

protocol::OperationResultT List(ControlState& state, const std::string& id,
                                const std::string& version) {
  protocol::UpdateDiscoveredT update;
  update.backends.push_back(
      std::make_unique<protocol::DiscoveredBackendRecordT>(
          session::EncodeDiscovered({.id = id,
                                     .service = "s",
                                     .address = "10.0.0.1:1",
                                     .zone = "z",
                                     .version = version})));
  return Apply(state, std::move(update));
}

protocol::OperationResultT Order(ControlState& state, const std::string& change,
                                 const std::string& version,
                                 std::int64_t second = 5) {
  protocol::StartRolloutT order;
  order.change_id = change;
  order.digest = std::hash<std::string>()(version);
  order.service = "s";
  order.target_version = version;
  order.duration_us = Duration(seconds(12)).count();
  order.share_permille = 50;
  return Apply(state, std::move(order), second);
}

void Advance(ControlState& state, RolloutState to, RolloutPhase phase,
             std::uint32_t share) {
  protocol::AdvanceRolloutT step;
  step.service = "s";
  step.number = state.fleet().rollouts.at("s").number;
  step.state = static_cast<std::uint8_t>(to);
  step.phase = static_cast<std::uint8_t>(phase);
  step.share_permille = share;
  Apply(state, std::move(step));
}

session::FleetViewPointer ViewOf(const ControlState& state,
                                 const session::FleetViewPointer& base) {
  auto view = session::ApplyUpdate(*base, state.UpdateSince(base->revision));
  REQUIRE(view);
  return *view;
}

session::FleetViewPointer ViewOf(const ControlState& state) {
  return ViewOf(state, std::make_shared<session::FleetView>());
}

session::DiscoveredBackend Find(const session::FleetViewPointer& view,
                                const std::string& id) {
  const auto found = view->discovered.find(id);
  REQUIRE(found != view->discovered.end());
  return found->second;
}

TEST_CASE("without a rollout daemons get no versions") {
  ControlState state;
  List(state, "a", "v1");
  CHECK(state.fleet().discovered.at("a").version == "v1");
  CHECK(Find(ViewOf(state), "a").version.empty());
}

TEST_CASE("backends of the target version are canaries, also later ones") {
  ControlState state;
  List(state, "a", "v1");
  const auto before = ViewOf(state);
  CHECK_FALSE(Order(state, "c1", "v2").error);
  List(state, "b", "v2");
  for (const auto& view : {ViewOf(state), ViewOf(state, before)}) {
    CHECK_FALSE(Find(view, "a").canary);
    CHECK(Find(view, "a").version == "v1");
    CHECK(Find(view, "b").canary);
    CHECK_FALSE(Find(view, "b").draining);
    REQUIRE(view->rollouts.find("s") != view->rollouts.end());
    CHECK(view->rollouts.find("s")->second.share_permille == 50);
  }
}

TEST_CASE(
    "backends of a version that is rolled back drain, also in an older view") {
  ControlState state;
  List(state, "a", "v1");
  Order(state, "c1", "v2");
  List(state, "b", "v2");
  const auto before = ViewOf(state);
  Advance(state, RolloutState::kRolledBack, RolloutPhase::kObserving, 0);
  List(state, "c", "v2");
  for (const auto& view : {ViewOf(state), ViewOf(state, before)}) {
    CHECK_FALSE(Find(view, "a").draining);
    CHECK(Find(view, "b").draining);
    CHECK(Find(view, "c").draining);
    CHECK_FALSE(Find(view, "b").canary);
    CHECK(view->rollouts.find("s") == view->rollouts.end());
  }
}

TEST_CASE(
    "backends of replaced versions drain, and those of later versions do not") {
  ControlState state;
  List(state, "a", "v1");
  Order(state, "c1", "v2");
  List(state, "b", "v2");
  Advance(state, RolloutState::kRunning, RolloutPhase::kReplacing, 1000);
  CHECK(Find(ViewOf(state), "a").draining);
  CHECK(Find(ViewOf(state), "b").canary);
  Advance(state, RolloutState::kComplete, RolloutPhase::kReplacing, 1000);
  List(state, "d", "v3");
  const auto view = ViewOf(state);
  CHECK_FALSE(Find(view, "b").canary);
  CHECK(Find(view, "a").draining);
  CHECK_FALSE(Find(view, "b").draining);
  CHECK_FALSE(Find(view, "d").draining);
}

TEST_CASE("a resent order changes nothing, and another one is refused") {
  ControlState state;
  List(state, "a", "v1");
  const auto first = Order(state, "c1", "v2");
  CHECK(Order(state, "c1", "v2").resent);
  CHECK_FALSE(Order(state, "c2", "v2").error);
  CHECK(state.fleet().rollouts.at("s").change_id == "c1");
  const auto other = Order(state, "c3", "v3");
  REQUIRE(other.error);
  CHECK(other.error->code == static_cast<std::uint8_t>(ErrorCode::kConflict));
  // A resent order also has no effect after the rollout has ended, while a
  // resend may still arrive.
  Advance(state, RolloutState::kRolledBack, RolloutPhase::kObserving, 0);
  CHECK_FALSE(Order(state, "c4", "v2", 20).error);
  CHECK(state.fleet().rollouts.at("s").state == RolloutState::kRolledBack);
  CHECK_FALSE(Order(state, "c5", "v2", 60).error);
  CHECK(state.fleet().rollouts.at("s").running());
}

TEST_CASE("a rollout to the only listed version is complete at once") {
  ControlState state;
  List(state, "a", "v2");
  Order(state, "c1", "v2");
  CHECK(state.fleet().rollouts.at("s").state == RolloutState::kComplete);
  CHECK_FALSE(Find(ViewOf(state), "a").canary);
  CHECK_FALSE(Find(ViewOf(state), "a").draining);
}

TEST_CASE("a step for another rollout number changes nothing") {
  ControlState state;
  List(state, "a", "v1");
  Order(state, "c1", "v2");
  protocol::AdvanceRolloutT step;
  step.service = "s";
  step.number = state.fleet().rollouts.at("s").number + 1;
  step.state = static_cast<std::uint8_t>(RolloutState::kComplete);
  Apply(state, std::move(step));
  CHECK(state.fleet().rollouts.at("s").running());
}

TEST_CASE("a snapshot contains rollouts and versions") {
  ControlState state;
  List(state, "a", "v1");
  Order(state, "c1", "v2");
  Advance(state, RolloutState::kRunning, RolloutPhase::kWidening, 300);
  const auto restored = ControlState::DecodeSnapshot(state.EncodeSnapshot());
  REQUIRE(restored);
  CHECK(restored->fleet().rollouts == state.fleet().rollouts);
  CHECK(restored->fleet().discovered == state.fleet().discovered);
}

TEST_CASE("daemons see neither a removed rollout nor versions") {
  ControlState state;
  List(state, "a", "v1");
  Order(state, "c1", "v2");
  List(state, "b", "v2");
  Advance(state, RolloutState::kRolledBack, RolloutPhase::kObserving, 0);
  const auto before = ViewOf(state);
  protocol::RemoveRolloutT removal;
  removal.change_id = "c2";
  removal.service = "s";
  Apply(state, std::move(removal));
  const auto view = ViewOf(state, before);
  CHECK_FALSE(Find(view, "b").draining);
  CHECK(Find(view, "b").version.empty());
}

}  // namespace
}  // namespace juniperway::control
