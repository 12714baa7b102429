// Tests zone evacuations in the replicated state.
#include <doctest/doctest.h>

#include <string>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

protocol::OperationResultT ApplyOrder(
    ControlState& state, const std::string& change, const std::string& zone,
    bool evacuated, const flatbuffers::Optional<OrderNumber>& based_on = {}) {
  protocol::SetZoneEvacuationT operation;
  operation.change_id = change;
  operation.zone = zone;
  operation.evacuated = evacuated;
  protocol::CommandT command;
  command.wall_time_us = 5'000'000;
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  command.operations.front()->based_on = based_on;
  AppliedCommand applied = state.Apply(EncodeCommand(command));
  return std::move(applied.results.front());
}

protocol::OperationResultT Order(ControlState& state, const std::string& change,
                                 const std::string& zone, bool evacuated) {
  auto result = ApplyOrder(state, change, zone, evacuated);
  CHECK_FALSE(result.error);
  return result;
}

session::FleetViewPointer ViewOf(const ControlState& state,
                                 const session::FleetViewPointer& base) {
  auto view = session::ApplyUpdate(*base, state.UpdateSince(base->revision));
  REQUIRE(view);
  return *view;
}

TEST_CASE("an evacuation is started once and ended once") {
  ControlState state;
  CHECK(Order(state, "c1", "z", true).revision == 1);
  CHECK(Order(state, "c2", "z", true).revision == 1);
  CHECK(state.fleet().evacuations.at("z").change_id == "c1");
  CHECK(Order(state, "c3", "z", false).revision == 2);
  CHECK(Order(state, "c4", "z", false).revision == 2);
  CHECK(state.fleet().evacuations.empty());
}

TEST_CASE(
    "a second copy of an order that a later one reversed changes nothing") {
  ControlState state;
  Order(state, "c1", "z", true);
  Order(state, "c2", "z", false);
  const auto copy = Order(state, "c1", "z", true);
  CHECK(copy.resent);
  CHECK(copy.revision == 1);
  CHECK(state.fleet().evacuations.empty());
}

TEST_CASE("an order that a later one on its zone overtook is refused") {
  ControlState state;
  Order(state, "c1", "z", true);
  Order(state, "c2", "y", true);
  const OrderNumber based_on = 2;
  // Changes nothing, and is acknowledged all the same.
  Order(state, "c3", "z", true);
  const auto refused = ApplyOrder(state, "c4", "z", false, based_on);
  REQUIRE(refused.error);
  CHECK(refused.error->field == "based_on");
  CHECK(refused.error->message ==
        "the order on evacuation/z is based on order 2, and order 3 (change "
        "c3) came later");
  CHECK(state.fleet().evacuations.contains("z"));
  CHECK_FALSE(ApplyOrder(state, "c5", "y", false, based_on).error);
  // The refused order may be sent again, based on the later one.
  CHECK_FALSE(ApplyOrder(state, "c4", "z", false, 3).error);
  CHECK(state.fleet().evacuations.empty());
}

TEST_CASE("daemons get evacuations in full views and in updates") {
  ControlState state;
  Order(state, "c1", "y", true);
  auto view = ViewOf(state, std::make_shared<session::FleetView>());
  REQUIRE(view->evacuations.find("y") != view->evacuations.end());
  CHECK(view->evacuations.find("y")->second.change_id == "c1");
  Order(state, "c2", "z", true);
  Order(state, "c3", "y", false);
  view = ViewOf(state, view);
  CHECK(view->evacuations.find("y") == view->evacuations.end());
  CHECK(view->evacuations.find("z") != view->evacuations.end());
}

TEST_CASE("a snapshot contains the evacuations and their change ids") {
  ControlState state;
  Order(state, "c1", "y", true);
  Order(state, "c2", "z", true);
  Order(state, "c3", "y", false);
  auto restored = ControlState::DecodeSnapshot(state.EncodeSnapshot());
  REQUIRE(restored);
  CHECK(restored->fleet().evacuations == state.fleet().evacuations);
  Order(*restored, "c1", "y", true);
  CHECK_FALSE(restored->fleet().evacuations.contains("y"));
}

}  // namespace
}  // namespace juniperway::control
