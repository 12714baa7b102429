// An order that a control node holds must not outlive its caller.
#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/control_group.h"
#include "support/event_loop.h"
#include "support/stand_in_leader.h"

namespace juniperway {
namespace {

using test::ControlGroup;
using test::kConditionLimit;
using test::RunUntil;
using test::StandInLeader;

constexpr raft::NodeId kFollower = 1;
constexpr raft::NodeId kLeader = 2;
constexpr raft::Term kTerm = 1;
constexpr Duration kPatience = milliseconds(200);
const std::string kEvacuation = "/v1/evacuations/z";

// One real control node, which follows a leader of the test's making once the
// test has called FollowLeader().
struct FollowerAndLeader {
  explicit FollowerAndLeader(Duration order_start_timeout = kConditionLimit)
      : group(context, 1,
              [order_start_timeout](control::ControlServerOptions& options) {
                options.initial_members = {};
                options.order_start_timeout = order_start_timeout;
              }),
        http(context, 0),
        leader(context, kLeader, "test") {}

  void FollowLeader() {
    REQUIRE(leader.Connect(kFollower, group.Address(0)));
    REQUIRE(leader.Lead(kTerm));
  }

  // `answer` is set when the answer arrives, or when `timeout` has passed and
  // the connection is closed.
  void Send(const std::string& method, const std::string& path,
            Duration timeout, std::optional<net::HttpClientResponse>& answer) {
    net::HttpClientRequest request;
    request.method = method;
    request.url = group.Url(0, path);
    request.timeout = timeout;
    http.Start(std::move(request),
               [&answer](const net::HttpClientResponse& response) {
                 answer = response;
               });
  }

  // Waits until the follower has asked for the newest order `count` times.
  // @return the call's number.
  std::uint64_t AwaitQuestion(std::size_t count) {
    std::vector<std::uint64_t> questions;
    REQUIRE(RunUntil(context, [&] {
      questions.clear();
      for (const auto& call : leader.calls()) {
        if (call.path == "/v1/orders") {
          questions.push_back(call.call_id);
        }
      }
      return questions.size() >= count;
    }));
    return questions.at(count - 1);
  }

  // Waits until the follower has passed on `count` orders with this path.
  const protocol::ForwardCallT& AwaitOrder(const std::string& path,
                                           std::size_t count = 1) {
    const protocol::ForwardCallT* order = nullptr;
    REQUIRE(RunUntil(context, [&] {
      std::size_t found = 0;
      for (const auto& call : leader.calls()) {
        if (call.path == path) {
          ++found;
          order = &call;
        }
      }
      return found >= count;
    }));
    return *order;
  }

  // Whether the leader has got a call with this method and path.
  bool HasCall(const std::string& method, const std::string& path) const {
    return std::ranges::any_of(leader.calls(), [&](const auto& call) {
      return call.method == method && call.path == path;
    });
  }

  asio::io_context context{1};
  ControlGroup group;
  net::HttpClient http;
  StandInLeader leader;
};

TEST_CASE("An order whose caller has left is not passed to the next leader") {
  std::string method = "DELETE";
  std::string path = kEvacuation;
  SUBCASE("end of an evacuation") {}
  SUBCASE("resources") {
    method = "POST";
    path = "/v1/apply";
  }
  SUBCASE("new member of the control group") {
    method = "POST";
    path = "/v1/members";
  }
  SUBCASE("removal of a member of the control group") {
    path = "/v1/members/9";
  }
  FollowerAndLeader nodes;
  std::optional<net::HttpClientResponse> unanswered;
  nodes.Send(method, path, kPatience, unanswered);
  REQUIRE(RunUntil(nodes.context, [&] { return unanswered.has_value(); }));
  CHECK(unanswered->status == 0);

  nodes.FollowLeader();
  std::optional<net::HttpClientResponse> later;
  nodes.Send("GET", "/v1/evacuations", kConditionLimit, later);
  REQUIRE(RunUntil(nodes.context,
                   [&] { return nodes.HasCall("GET", "/v1/evacuations"); }));
  CHECK_FALSE(nodes.HasCall(method, path));
}

TEST_CASE("An order whose caller leaves before the number comes is dropped") {
  FollowerAndLeader nodes;
  nodes.FollowLeader();
  std::optional<net::HttpClientResponse> unanswered;
  nodes.Send("DELETE", kEvacuation, kPatience, unanswered);
  const std::uint64_t question = nodes.AwaitQuestion(1);
  REQUIRE(RunUntil(nodes.context, [&] { return unanswered.has_value(); }));
  nodes.leader.AnswerCall(question, R"({"latest": 7})");

  // The fate of the first order is decided before a later one is passed on.
  std::optional<net::HttpClientResponse> later;
  nodes.Send("PUT", "/v1/evacuations/other", kConditionLimit, later);
  nodes.leader.AnswerCall(nodes.AwaitQuestion(2), R"({"latest": 7})");
  nodes.AwaitOrder("/v1/evacuations/other");
  CHECK_FALSE(nodes.HasCall("DELETE", kEvacuation));
}

TEST_CASE("An overtaken order is numbered anew while its caller waits") {
  FollowerAndLeader nodes;
  nodes.FollowLeader();
  std::optional<net::HttpClientResponse> answer;
  nodes.Send("PUT", kEvacuation, kConditionLimit, answer);
  nodes.leader.AnswerCall(nodes.AwaitQuestion(1), R"({"latest": 7})");
  const protocol::ForwardCallT first = nodes.AwaitOrder(kEvacuation);
  REQUIRE(first.parameters.size() == 1);
  CHECK(first.parameters.front()->key == "based_on");
  CHECK(first.parameters.front()->value == "7");

  protocol::ForwardCallReplyT refusal;
  refusal.call_id = first.call_id;
  refusal.status = 409;
  refusal.body = R"({"error": {"code": "conflict", "field": "based_on"}})";
  nodes.leader.Send(std::move(refusal));
  nodes.leader.AnswerCall(nodes.AwaitQuestion(2), R"({"latest": 8})");
  const protocol::ForwardCallT second = nodes.AwaitOrder(kEvacuation, 2);
  CHECK(second.change_id == first.change_id);
  CHECK(second.parameters.front()->value == "8");
  nodes.leader.AnswerCall(second.call_id, "done");
  REQUIRE(RunUntil(nodes.context, [&] { return answer.has_value(); }));
  CHECK(answer->status == 200);
  CHECK(answer->body == "done");
}

TEST_CASE("An order that cannot start in time is refused as not run") {
  FollowerAndLeader nodes(milliseconds(1));
  std::optional<net::HttpClientResponse> answer;
  nodes.Send("PUT", kEvacuation, kConditionLimit, answer);
  REQUIRE(RunUntil(nodes.context, [&] { return answer.has_value(); }));
  CHECK(answer->status == 503);
  CHECK(answer->body.find("not-run") != std::string::npos);
}

}  // namespace
}  // namespace juniperway
