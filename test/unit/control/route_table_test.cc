// Tests the route table and the discovery list in the replicated state.
#include <doctest/doctest.h>

#include <string>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

std::string Table(int version) {
  return R"({"version": )" + std::to_string(version) +
         R"(, "routes": [], "services": []})";
}

template <typename Operation>
void Apply(ControlState& state, Operation operation) {
  protocol::CommandT command;
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  const AppliedCommand applied = state.Apply(EncodeCommand(command));
  CHECK_FALSE(applied.results.front().error);
}

void Put(ControlState& state, int version, const std::string& content) {
  protocol::PutRouteTableT operation;
  operation.route_table = std::make_unique<protocol::RouteTableRecordT>();
  operation.route_table->version = static_cast<std::uint64_t>(version);
  operation.route_table->content = Compress(content);
  Apply(state, std::move(operation));
}

void AddDiscovered(ControlState& state, const std::string& id, bool draining) {
  protocol::UpdateDiscoveredT operation;
  session::DiscoveredBackend backend;
  backend.id = id;
  backend.service = "s";
  backend.draining = draining;
  operation.backends.push_back(
      std::make_unique<protocol::DiscoveredBackendRecordT>(
          session::EncodeDiscovered(backend)));
  Apply(state, std::move(operation));
}

void RemoveDiscovered(ControlState& state, const std::string& id) {
  protocol::UpdateDiscoveredT operation;
  operation.removed.push_back(id);
  Apply(state, std::move(operation));
}

session::FleetViewPointer ViewOf(const ControlState& state,
                                 const session::FleetViewPointer& base) {
  auto view = session::ApplyUpdate(*base, state.UpdateSince(base->revision));
  REQUIRE(view);
  return *view;
}

TEST_CASE("the highest version wins, and the first table of equal versions") {
  ControlState state;
  Put(state, 5, Table(5));
  const auto revision = state.revision();
  Put(state, 5, Table(5) + " ");
  Put(state, 4, Table(4));
  CHECK(state.revision() == revision);
  CHECK(Decompress(state.fleet().route_table.content).value() == Table(5));
  Put(state, 9, Table(9));
  CHECK(state.revision() == revision + 1);
  CHECK(state.fleet().route_table.version == 9);
}

TEST_CASE(
    "daemons get the route table and the discovery list, whole and as "
    "updates") {
  ControlState state;
  Put(state, 3, Table(3));
  AddDiscovered(state, "i-1", false);
  auto view = ViewOf(state, std::make_shared<session::FleetView>());
  REQUIRE(view->route_table);
  CHECK(view->route_table->version == 3);
  CHECK(view->discovered.find("i-1") != view->discovered.end());
  const auto table = view->route_table;
  AddDiscovered(state, "i-1", true);
  AddDiscovered(state, "i-2", false);
  view = ViewOf(state, view);
  CHECK(view->route_table == table);  // the update does not contain the table
  CHECK(view->discovered.find("i-1")->second.draining);
  CHECK(view->discovered.find("i-2") != view->discovered.end());
  RemoveDiscovered(state, "i-1");
  Put(state, 4, Table(4));
  view = ViewOf(state, view);
  CHECK(view->discovered.find("i-1") == view->discovered.end());
  CHECK(view->route_table->version == 4);
}

TEST_CASE("a poll that returns the same list does not change the revision") {
  ControlState state;
  AddDiscovered(state, "i-1", false);
  const auto revision = state.revision();
  AddDiscovered(state, "i-1", false);
  RemoveDiscovered(state, "i-9");
  CHECK(state.revision() == revision);
}

TEST_CASE("a snapshot contains the route table and the discovery list") {
  ControlState state;
  Put(state, 3, Table(3));
  AddDiscovered(state, "i-1", true);
  const auto restored = ControlState::DecodeSnapshot(state.EncodeSnapshot());
  REQUIRE(restored);
  CHECK(restored->fleet().route_table.content == Compress(Table(3)));
  CHECK(restored->fleet().discovered == state.fleet().discovered);
}

}  // namespace
}  // namespace juniperway::control
