// Runs three control servers over TCP: every server serves a change that one of
// them accepted, and the change comes in force when the daemons confirm it
// through their sessions.
#include "common/control/control_server.h"

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "support/control_group.h"
#include "support/event_loop.h"

namespace juniperway {
namespace {

using test::ControlGroup;
using test::RunUntil;
using test::ServiceJson;

constexpr int kOk = 200;

// Polls the control node at `position` until the change is in force.
bool WaitInForce(ControlGroup& group, std::size_t position,
                 const std::string& change_id) {
  constexpr int kMaximumCalls = 20000;
  for (int call = 0; call < kMaximumCalls; ++call) {
    const auto change = group.GetJson(position, "/v1/changes/" + change_id);
    if (change.is_object() && change["state"] == "in_force") {
      return true;
    }
  }
  return false;
}

TEST_CASE("A change accepted by one control node is read at the others") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  const std::size_t leader = group.WaitForLeader(0);
  REQUIRE(leader < group.size());
  const std::size_t follower = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;

  const auto applied = group.Call(follower, "POST", "/v1/apply",
                                  ServiceJson("search", 0), "change-1");
  REQUIRE(applied.status == kOk);
  const auto accepted = nlohmann::json::parse(applied.body);
  CHECK(accepted["state"] == "accepted");
  for (const std::size_t position : {leader, follower, other}) {
    const auto read = group.GetJson(position, "/v1/resources/Service/search");
    REQUIRE(read.is_object());
    CHECK(read["version"] == accepted["revision"]);
  }

  const auto resent = group.Call(other, "POST", "/v1/apply",
                                 ServiceJson("search", 0), "change-1");
  CHECK(resent.status == kOk);
  CHECK(nlohmann::json::parse(resent.body)["revision"] == accepted["revision"]);
  const auto second = group.Call(other, "POST", "/v1/apply",
                                 ServiceJson("search", 0), "change-2");
  CHECK(second.status == 409);
  CHECK(nlohmann::json::parse(second.body)["current"]["version"] ==
        accepted["revision"]);
}

TEST_CASE("A daemon joins, gets lease and view, and a change comes in force") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  REQUIRE(group.WaitForLeader(0) < group.size());
  auto client = group.MakeClient("gateway-1", "zone-1");
  client->SetViewListener([&client](const session::FleetViewPointer& view) {
    client->ReportReleased(view->revision);
  });
  client->Start();
  REQUIRE(RunUntil(context, [&client] {
    return client->HasLease(ReadMonotonicClock()) &&
           client->View()->members.contains("gateway-1");
  }));
  REQUIRE(group.Call(1, "POST", "/v1/apply", ServiceJson("search", 0), "c-1")
              .status == kOk);
  REQUIRE(WaitInForce(group, 2, "c-1"));
  CHECK(client->View()->services.contains("search"));
  const auto change = group.GetJson(0, "/v1/changes/c-1");
  CHECK(change["daemons"] == 1);
  CHECK(change["confirmed"] == 1);
  CHECK(RunUntil(context, [&client] {
    return client->InForceRevision() == client->View()->revision &&
           client->ZoneReleasedRevision() == client->View()->revision;
  }));
}

TEST_CASE("A daemon opens its session to the control node of its zone") {
  asio::io_context context(1);
  ControlGroup group(context, 3, [](control::ControlServerOptions& options) {
    options.place = {"zone-" + std::to_string(options.node_id), "region"};
  });
  REQUIRE(group.WaitForLeader(0) < group.size());
  std::vector<std::unique_ptr<session::ControlSessionClient>> clients;
  for (std::size_t zone = 1; zone <= group.size(); ++zone) {
    const std::string name = std::to_string(zone);
    clients.push_back(group.MakeClient("gateway-" + name, "zone-" + name));
    clients.back()->Start();
  }
  const auto all_in_own_zone = [&] {
    for (std::size_t position = 0; position < group.size(); ++position) {
      const auto& client = *clients[position];
      if (client.ControlAddress() != group.Address(position) ||
          !client.HasLease(ReadMonotonicClock())) {
        return false;
      }
    }
    return true;
  };
  REQUIRE(RunUntil(context, all_in_own_zone));
  // The daemon connects to another control node when the control node in its
  // own zone crashes, and returns after the restart.
  group.Crash(1);
  REQUIRE(RunUntil(context, [&] {
    return !clients[1]->ControlAddress().empty() &&
           clients[1]->ControlAddress() != group.Address(1) &&
           clients[1]->HasLease(ReadMonotonicClock());
  }));
  group.Restart(1);
  CHECK(RunUntil(context, all_in_own_zone));
}

}  // namespace
}  // namespace juniperway
