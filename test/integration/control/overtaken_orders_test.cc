// An order that a control node holds must not outlive its caller.
#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <optional>

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
constexpr raft::Term kTerm = 1;
constexpr Duration kPatience = milliseconds(200);
const std::string kEvacuation = "/v1/evacuations/z";

// One real control node, which follows a leader of the test's making once the
// test has called FollowLeader().
struct FollowerAndLeader {
  FollowerAndLeader()
      : group(context, 1,
              [](control::ControlServerOptions& options) {
                options.initial_members = {};
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
  FollowerAndLeader nodes;
  std::optional<net::HttpClientResponse> unanswered;
  nodes.Send("DELETE", kEvacuation, kPatience, unanswered);
  REQUIRE(RunUntil(nodes.context, [&] { return unanswered.has_value(); }));
  CHECK(unanswered->status == 0);

  nodes.FollowLeader();
  std::optional<net::HttpClientResponse> later;
  nodes.Send("GET", "/v1/evacuations", test::kConditionLimit, later);
  REQUIRE(RunUntil(nodes.context,
                   [&] { return nodes.HasCall("GET", "/v1/evacuations"); }));
  CHECK_FALSE(nodes.HasCall("DELETE", kEvacuation));
}

}  // namespace
}  // namespace juniperway
