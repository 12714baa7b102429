// Tests which answers end a call that a control node has forwarded to the
// leader. Guards against an answer that belongs to another call: the node was
// restarted, or another node than the one that was asked answers, and the call
// numbers are the same. An operator would be told that a change is accepted
// that no node has.
#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <optional>

#include "common/session/claim_codec.h"
#include "support/control_group.h"
#include "support/event_loop.h"
#include "support/stand_in_leader.h"

namespace juniperway {
namespace {

using test::ControlGroup;
using test::RunUntil;
using test::StandInLeader;

constexpr raft::NodeId kFollower = 1;
constexpr raft::NodeId kLeader = 2;
constexpr raft::NodeId kOther = 3;
constexpr raft::Term kTerm = 1;

// One real control node, which follows a leader of the test's making.
struct FollowerAndLeader {
  FollowerAndLeader()
      : group(context, 1,
              [](control::ControlServerOptions& options) {
                options.initial_members = {};
              }),
        http(context, 0),
        leader(context, kLeader, "test") {
    FollowLeader();
  }

  void FollowLeader() {
    REQUIRE(leader.Connect(kFollower, group.Address(0)));
    REQUIRE(leader.Lead(kTerm));
  }

  void RestartFollower() {
    group.Crash(0);
    group.Restart(0);
    FollowLeader();
  }

  // Sends a change to the follower, of a kind that takes one forwarded call.
  // `answer` is set when the answer arrives.
  void SendChange(const std::string& name,
                  std::optional<net::HttpClientResponse>& answer) {
    net::HttpClientRequest request;
    request.method = "POST";
    request.url = group.Url(0, "/v1/route-table");
    request.body = test::ServiceJson(name, 0);
    http.Start(std::move(request),
               [&answer](const net::HttpClientResponse& response) {
                 answer = response;
               });
  }

  // Waits for the next call that the follower forwards. @return its number.
  std::uint64_t AwaitCall() {
    const std::size_t count = leader.calls().size() + 1;
    REQUIRE(RunUntil(context, [&] { return leader.calls().size() >= count; }));
    return leader.calls().back().call_id;
  }

  std::uint64_t AwaitOperations() {
    const std::size_t count = leader.operations().size() + 1;
    REQUIRE(
        RunUntil(context, [&] { return leader.operations().size() >= count; }));
    return leader.operations().back().call_id;
  }

  asio::io_context context{1};
  ControlGroup group;
  net::HttpClient http;
  StandInLeader leader;
};

// The leader's answer to a heartbeat.
protocol::ForwardHeartbeatsReplyT HeartbeatReply(
    const protocol::MemberHeartbeatT& heartbeat,
    protocol::HeartbeatOutcome outcome, resources::Revision in_force) {
  protocol::ForwardHeartbeatsReplyT reply;
  auto& item = reply.replies.emplace_back(
      std::make_unique<protocol::MemberHeartbeatReplyT>());
  item->daemon_id = heartbeat.daemon_id;
  item->incarnation = heartbeat.incarnation;
  item->reply = std::make_unique<protocol::HeartbeatReplyT>();
  item->reply->sequence = heartbeat.heartbeat->sequence;
  item->reply->outcome = outcome;
  item->reply->granted_us = Duration(test::kConditionLimit).count();
  item->reply->term = kTerm;
  item->reply->in_force_revision = in_force;
  return reply;
}

protocol::ForwardOperationsReplyT ClaimReply(
    std::uint64_t call_id, protocol::ClaimDecisionCode decision) {
  protocol::ForwardOperationsReplyT reply;
  reply.call_id = call_id;
  auto& result = reply.results.emplace_back(
      std::make_unique<protocol::OperationResultT>());
  result->claim = std::make_unique<protocol::ClaimResultT>();
  result->claim->decision = decision;
  return reply;
}

TEST_CASE("An answer to a call of the node's earlier process ends no call") {
  FollowerAndLeader nodes;
  std::optional<net::HttpClientResponse> lost;
  nodes.SendChange("first", lost);
  const std::uint64_t first = nodes.AwaitCall();
  nodes.RestartFollower();
  std::optional<net::HttpClientResponse> answer;
  nodes.SendChange("second", answer);
  const std::uint64_t second = nodes.AwaitCall();
  nodes.leader.AnswerCall(first, "first");
  nodes.leader.AnswerCall(second, "second");
  REQUIRE(RunUntil(nodes.context, [&] { return answer.has_value(); }));
  CHECK(answer->status == 200);
  CHECK(answer->body == "second");
}

TEST_CASE("A result for the node's earlier process ends no operation") {
  FollowerAndLeader nodes;
  const auto claim = [](session::ControlSessionClient& daemon,
                        std::optional<session::ClaimReply>& answer) {
    daemon.Start();
    daemon.Claim({"service", "request"}, ReadWallClock() + seconds(60),
                 test::kConditionLimit,
                 [&answer](const Result<session::ClaimReply>& result) {
                   if (result) {
                     answer = *result;
                   }
                 });
  };
  auto former = nodes.group.MakeClient("former", "zone");
  std::optional<session::ClaimReply> lost;
  claim(*former, lost);
  const std::uint64_t first = nodes.AwaitOperations();
  former.reset();
  nodes.RestartFollower();
  auto daemon = nodes.group.MakeClient("daemon", "zone");
  std::optional<session::ClaimReply> answer;
  claim(*daemon, answer);
  const std::uint64_t second = nodes.AwaitOperations();
  nodes.leader.Send(ClaimReply(first, protocol::ClaimDecisionCode::kGranted));
  nodes.leader.Send(
      ClaimReply(second, protocol::ClaimDecisionCode::kAlreadyClaimed));
  REQUIRE(RunUntil(nodes.context, [&] { return answer.has_value(); }));
  CHECK(answer->decision == session::ClaimDecision::kAlreadyClaimed);
}

TEST_CASE("An answer of a node that was not asked ends no call") {
  FollowerAndLeader nodes;
  std::optional<net::HttpClientResponse> answer;
  nodes.SendChange("change", answer);
  const std::uint64_t call = nodes.AwaitCall();
  StandInLeader other(nodes.context, kOther, "test");
  REQUIRE(other.Connect(kFollower, nodes.group.Address(0)));
  other.AnswerCall(call, "other");
  // The heartbeat follows the answer on the same connection, and a leader of an
  // older term still gets a reply: the node has read both.
  REQUIRE(other.Lead(kTerm - 1));
  nodes.leader.AnswerCall(call, "leader");
  REQUIRE(RunUntil(nodes.context, [&] { return answer.has_value(); }));
  CHECK(answer->body == "leader");
}

TEST_CASE("A lease for a daemon's earlier process is not the next one's") {
  constexpr resources::Revision kInForce = 5;
  FollowerAndLeader nodes;
  const auto await_heartbeat = [&nodes] {
    const std::size_t count = nodes.leader.heartbeats().size() + 1;
    REQUIRE(RunUntil(nodes.context, [&] {
      return nodes.leader.heartbeats().size() >= count;
    }));
    return nodes.leader.heartbeats().back();
  };
  auto daemon = nodes.group.MakeClient("daemon", "zone");
  daemon->Start();
  const protocol::MemberHeartbeatT former = await_heartbeat();
  daemon.reset();
  nodes.RestartFollower();
  daemon = nodes.group.MakeClient("daemon", "zone");
  daemon->Start();
  const protocol::MemberHeartbeatT latter = await_heartbeat();
  REQUIRE(latter.heartbeat->sequence == former.heartbeat->sequence);
  nodes.leader.Send(
      HeartbeatReply(former, protocol::HeartbeatOutcome::kGranted, 0));
  nodes.leader.Send(
      HeartbeatReply(latter, protocol::HeartbeatOutcome::kBehind, kInForce));
  REQUIRE(RunUntil(nodes.context,
                   [&] { return daemon->InForceRevision() == kInForce; }));
  CHECK_FALSE(daemon->HasLease(ReadMonotonicClock()));
}

}  // namespace
}  // namespace juniperway
