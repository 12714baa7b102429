// A control node that the group has left behind: it was removed without
// noticing, or its disk is full. Guards against daemons that stay with such a
// node, which goes on renewing their leases, and use an old configuration.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/net/address.h"
#include "support/control_group.h"
#include "support/event_loop.h"
#include "support/stand_in_leader.h"

namespace juniperway {
namespace {

using test::ControlGroup;
using test::RunUntil;
using test::ServiceJson;
using test::StandInLeader;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr std::size_t kVoters = 3;

// Three voters and a learner, each in a zone of its own, that repair their
// group, and a daemon in the learner's zone.
struct GroupWithLearner {
  GroupWithLearner()
      : group(context, kVoters, [](control::ControlServerOptions& options) {
          options.place = {Zone(options.node_id - 1), "region"};
          options.peer_advertise = net::FormatEndpoint(options.peer_listen);
          // Replaced once the addresses are known.
          options.seeds = {"127.0.0.1:1"};
          options.wanted_voters = kVoters;
        }) {
    leader = group.WaitForLeader(0);
    REQUIRE(leader < kVoters);
    learner = group.StartUnjoined();
    std::vector<std::string> seeds;
    for (std::size_t voter = 0; voter < kVoters; ++voter) {
      seeds.push_back(
          net::FormatEndpoint(group.server(voter)->http_endpoint()));
    }
    group.server(learner)->SetSeeds(seeds);
    REQUIRE(RunUntilMember());
    daemon = group.MakeClient("daemon", Zone(learner));
    daemon->Start();
    REQUIRE(RunUntil(context, [this] {
      return daemon->HasLease(ReadMonotonicClock()) &&
             daemon->ControlAddress() == group.Address(learner);
    }));
  }

  static std::string Zone(std::size_t position) {
    return fmt::format("zone-{}", position);
  }

  // Whether the leader has the learner in the group and hears it.
  bool IsMember() {
    const auto status = group.GetJson(leader, "/v1/status");
    return status.is_object() &&
           std::ranges::any_of(
               status["members"], [this](const nlohmann::json& member) {
                 return member["id"] == learner + 1 && member["active"] == true;
               });
  }

  bool RunUntilMember() {
    const MonotonicTime end = ReadMonotonicClock() + test::kConditionLimit;
    while (!IsMember()) {
      if (ReadMonotonicClock() > end) {
        return false;
      }
    }
    return true;
  }

  // Makes a change that the leader accepts. @return its revision.
  resources::Revision Change(const std::string& name) {
    REQUIRE(group
                .Call(leader, "POST", "/v1/apply", ServiceJson(name, 0),
                      "id-" + name)
                .status == kOk);
    return group.GetJson(leader, "/v1/status")["revision"];
  }

  bool DaemonTakes(resources::Revision revision) {
    return RunUntil(context, [this, revision] {
      return daemon->View()->revision >= revision;
    });
  }

  asio::io_context context{1};
  ControlGroup group;
  std::size_t leader = 0;
  std::size_t learner = 0;
  std::unique_ptr<session::ControlSessionClient> daemon;
};

TEST_CASE("A daemon leaves a control node whose disk is full") {
  GroupWithLearner nodes;
  nodes.group.SetDiskFull(nodes.learner, true);
  const resources::Revision revision = nodes.Change("while-full");
  CHECK(nodes.DaemonTakes(revision));
  CHECK(nodes.daemon->HasLease(ReadMonotonicClock()));
  nodes.group.SetDiskFull(nodes.learner, false);
  // The node still belongs to the group and is of use again.
  CHECK(nodes.RunUntilMember());
}

TEST_CASE("A learner that missed its removal joins the group again") {
  GroupWithLearner nodes;
  nodes.group.SetDiskFull(nodes.learner, true);
  // The learner takes part in nothing from this entry on.
  const resources::Revision missed = nodes.Change("missed");
  REQUIRE(nodes.DaemonTakes(missed));
  REQUIRE(nodes.group
              .Call(nodes.leader, "DELETE",
                    fmt::format("/v1/members/{}", nodes.learner + 1))
              .status == kAccepted);
  REQUIRE_FALSE(nodes.IsMember());
  nodes.group.SetDiskFull(nodes.learner, false);
  CHECK(nodes.RunUntilMember());
  CHECK(RunUntil(nodes.context, [&nodes] {
    return nodes.daemon->ControlAddress() == nodes.group.Address(nodes.learner);
  }));
  CHECK(nodes.DaemonTakes(nodes.Change("joined-again")));
}

TEST_CASE("A node that waits for its membership forgets a silent leader") {
  constexpr raft::NodeId kLeader = 2;
  asio::io_context context(1);
  ControlGroup group(context, 1, [](control::ControlServerOptions& options) {
    options.initial_members = {};
  });
  StandInLeader leader(context, kLeader, "test");
  REQUIRE(leader.Connect(1, group.Address(0)));
  REQUIRE(leader.Lead(1));
  CHECK(group.GetJson(0, "/v1/status")["leader"] == kLeader);
  leader.StopLeading();
  const MonotonicTime end = ReadMonotonicClock() + test::kConditionLimit;
  bool forgotten = false;
  while (!forgotten && ReadMonotonicClock() < end) {
    const auto status = group.GetJson(0, "/v1/status");
    forgotten = status.is_object() && status["leader"] == raft::kNoNode;
  }
  CHECK(forgotten);
}

TEST_CASE("A leader grants no lease through a node outside the group") {
  constexpr raft::NodeId kOutsider = 9;
  asio::io_context context(1);
  ControlGroup group(context, 1);
  REQUIRE(group.WaitForLeader(0) == 0);
  auto daemon = group.MakeClient("daemon", "zone");
  daemon->Start();
  REQUIRE(RunUntil(
      context, [&daemon] { return daemon->HasLease(ReadMonotonicClock()); }));
  const nlohmann::json status = group.GetJson(0, "/v1/status");
  StandInLeader outsider(context, kOutsider, "test");
  REQUIRE(outsider.Connect(1, group.Address(0)));
  protocol::ForwardHeartbeatsT forwarded;
  auto& item = forwarded.heartbeats.emplace_back(
      std::make_unique<protocol::MemberHeartbeatT>());
  item->daemon_id = "daemon";
  item->incarnation = daemon->incarnation();
  item->heartbeat = std::make_unique<protocol::HeartbeatT>();
  item->heartbeat->sequence = 1;
  item->heartbeat->term = status["term"];
  item->heartbeat->holds_lease = true;
  outsider.Send(std::move(forwarded));
  REQUIRE(RunUntil(
      context, [&outsider] { return !outsider.heartbeat_replies().empty(); }));
  const protocol::HeartbeatReplyT& reply = outsider.heartbeat_replies().front();
  CHECK(reply.outcome == protocol::HeartbeatOutcome::kNoLeader);
  CHECK(reply.granted_us == 0);
}

}  // namespace
}  // namespace juniperway
