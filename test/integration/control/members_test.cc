// Tests membership changes: a control node joins and becomes a voter when it
// has caught up, the leader is removed or shut down gracefully, and an
// unresponsive daemon is removed. Also tests watches and backups, which every
// control node serves.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "common/storage/log_store.h"
#include "support/control_group.h"
#include "support/event_loop.h"

namespace juniperway {
namespace {

using test::ControlGroup;
using test::RunUntil;
using test::ServiceJson;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kMaximumCalls = 20000;

// Polls the status of the control node at `position` until `condition` holds.
template <typename Condition>
bool WaitForStatus(ControlGroup& group, std::size_t position,
                   Condition condition) {
  for (int call = 0; call < kMaximumCalls; ++call) {
    const auto status = group.GetJson(position, "/v1/status");
    if (status.is_object() && status["leader_reachable"] == true &&
        condition(status)) {
      return true;
    }
  }
  return false;
}

void Apply(ControlGroup& group, std::size_t position, const std::string& name) {
  REQUIRE(group
              .Call(position, "POST", "/v1/apply", ServiceJson(name, 0),
                    "id-" + name)
              .status == kOk);
}

TEST_CASE("A node joins as a learner, becomes a voter; a leader is removed") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  REQUIRE(group.WaitForLeader(0) < 3);
  Apply(group, 0, "before");
  const std::size_t joining = group.StartUnjoined();
  const auto body = nlohmann::json{{"node_id", joining + 1},
                                   {"address", group.Address(joining)}}
                        .dump();
  CHECK(group.Call(0, "POST", "/v1/members", body).status == kAccepted);
  // The same request again, as after a lost answer, succeeds.
  CHECK(group.Call(1, "POST", "/v1/members", body).status == kAccepted);
  CHECK(WaitForStatus(group, 0, [](const nlohmann::json& status) {
    return status["voters"] == 4 && status["repaired"] == true;
  }));
  CHECK(group.GetJson(joining, "/v1/resources/Service/before").is_object());

  const std::size_t leader = group.WaitForLeader(joining);
  const auto removed =
      group.Call(joining, "DELETE", fmt::format("/v1/members/{}", leader + 1));
  CHECK(removed.status == kAccepted);
  const std::size_t remaining = (leader + 1) % 4;
  CHECK(WaitForStatus(group, remaining, [leader](const nlohmann::json& status) {
    return status["voters"] == 3 && status["leader"] != leader + 1;
  }));
  group.Crash(leader);
  Apply(group, remaining, "after");
}

TEST_CASE("A late removal does not remove a member that was added again") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  const std::size_t leader = group.WaitForLeader(0);
  REQUIRE(leader < 3);
  const std::size_t joining = group.StartUnjoined();
  const raft::NodeId id = joining + 1;
  const auto add =
      nlohmann::json{{"node_id", id}, {"address", group.Address(joining)}}
          .dump();
  const auto has_voters = [&group, leader](std::size_t voters) {
    return WaitForStatus(group, leader, [voters](const nlohmann::json& status) {
      return status["voters"] == voters && status["repaired"] == true;
    });
  };
  const std::string remove = fmt::format("/v1/members/{}", id);
  REQUIRE(group.Call(leader, "POST", "/v1/members", add).status == kAccepted);
  REQUIRE(has_voters(4));
  const auto held = group.GetJson(leader, "/v1/status")["commit"];
  REQUIRE(group.Call(leader, "DELETE", remove).status == kAccepted);
  REQUIRE(has_voters(3));
  REQUIRE(group.Call(leader, "POST", "/v1/members", add).status == kAccepted);
  REQUIRE(has_voters(4));
  // Committed after the change of members, which is then not pending any more.
  Apply(group, leader, "committed");

  const auto late = group.Call(
      leader, "DELETE", fmt::format("{}?based_on={}", remove, held.dump()));
  CHECK(late.status == kConflict);
  CHECK(nlohmann::json::parse(late.body)["error"]["field"] == "based_on");
  CHECK(group.GetJson(leader, "/v1/status")["voters"] == 4);
}

TEST_CASE("A node that joins late gets a snapshot in parts") {
  asio::io_context context(1);
  ControlGroup group(context, 3, [](control::ControlServerOptions& options) {
    options.compaction_entries = 20;
    options.kept_entries = 0;
    options.snapshot_part_bytes = 256;
  });
  REQUIRE(group.WaitForLeader(0) < 3);
  constexpr int kServices = 50;
  for (int service = 0; service < kServices; ++service) {
    Apply(group, 0, fmt::format("service-{}", service));
  }
  const std::size_t joining = group.StartUnjoined();
  const auto body = nlohmann::json{{"node_id", joining + 1},
                                   {"address", group.Address(joining)}}
                        .dump();
  REQUIRE(group.Call(0, "POST", "/v1/members", body).status == kAccepted);
  CHECK(WaitForStatus(group, 0, [](const nlohmann::json& status) {
    return status["voters"] == 4 && status["repaired"] == true;
  }));
  const auto all = group.GetJson(joining, "/v1/resources/Service?local=true");
  CHECK(all["items"].size() == kServices);
  // The node has no history before the snapshot, which shows that it did not
  // get the changes as log entries.
  CHECK(group.Call(joining, "GET", "/v1/watch?from=1&timeout_ms=0").status ==
        410);
}

TEST_CASE("A leader that shuts down gracefully transfers leadership first") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  const std::size_t leader = group.WaitForLeader(0);
  REQUIRE(leader < 3);
  bool stopped = false;
  group.server(leader)->Stop(seconds(30), [&stopped] { stopped = true; });
  REQUIRE(RunUntil(context, [&stopped] { return stopped; }));
  const std::size_t other = (leader + 1) % 3;
  const auto status = group.GetJson(other, "/v1/status");
  // The next leader is known as soon as the old one has closed, without an
  // election timeout.
  REQUIRE(status.is_object());
  CHECK(status["leader_reachable"] == true);
  CHECK(status["leader"] != leader + 1);
  Apply(group, other, "after");
}

TEST_CASE("An unresponsive daemon is removed; its next start joins again") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  REQUIRE(group.WaitForLeader(0) < 3);
  auto crashed = group.MakeClient("silent", "zone-1");
  auto other = group.MakeClient("other", "zone-1");
  crashed->Start();
  other->Start();
  const auto has_both_members = [&other] {
    return other->View()->members.size() == 2;
  };
  REQUIRE(RunUntil(context, has_both_members));
  crashed.reset();
  REQUIRE(RunUntil(context,
                   [&other] { return other->View()->members.size() == 1; }));
  crashed = group.MakeClient("silent", "zone-1");
  crashed->Start();
  CHECK(RunUntil(context, has_both_members));
}

TEST_CASE("A watch waits for changes and answers 410 when history is gone") {
  asio::io_context context(1);
  ControlGroup group(context, 3);
  REQUIRE(group.WaitForLeader(0) < 3);
  Apply(group, 0, "first");
  std::optional<net::HttpClientResponse> watched;
  net::HttpClient http(context, 0);
  net::HttpClientRequest request;
  request.url = group.Url(1, "/v1/watch?from=1&timeout_ms=60000");
  request.timeout = seconds(60);
  http.Start(request, [&watched](net::HttpClientResponse response) {
    watched = std::move(response);
  });
  Apply(group, 2, "second");
  REQUIRE(RunUntil(context, [&watched] { return watched.has_value(); }));
  REQUIRE(watched->status == kOk);
  const auto change = nlohmann::json::parse(watched->body);
  CHECK(change["revision"] == 2);
  REQUIRE(change["items"].size() == 1);
  CHECK(change["items"][0]["type"] == "put");
  CHECK(change["items"][0]["resource"]["name"] == "second");

  REQUIRE(group
              .Call(0, "DELETE", "/v1/resources/Service/second?version=2", {},
                    "id-delete")
              .status == kOk);
  const auto deleted = nlohmann::json::parse(
      group.Call(0, "GET", "/v1/watch?from=2&timeout_ms=60000").body);
  CHECK(deleted["items"][0]["type"] == "delete");
  CHECK(deleted["items"][0]["resource"]["name"] == "second");
  const auto unchanged = group.Call(0, "GET", "/v1/watch?from=3&timeout_ms=0");
  CHECK(nlohmann::json::parse(unchanged.body)["items"].empty());
  CHECK(group.Call(0, "GET", "/v1/watch?from=99&timeout_ms=0").status == 410);
}

TEST_CASE("A backup opens as a store that holds the state") {
  asio::io_context context(1);
  ControlGroup group(context, 1);
  REQUIRE(group.WaitForLeader(0) == 0);
  Apply(group, 0, "kept");
  const auto backup = group.Call(0, "GET", "/v1/backup");
  REQUIRE(backup.status == kOk);
  const auto folder = group.folder() / "restored";
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "consensus.db", std::ios::binary) << backup.body;
  auto store = storage::OpenSqliteLogStore(
      {.folder = folder, .cluster = "test", .node = 1, .create = false});
  REQUIRE(store.has_value());
  const auto state = (*store)->Load();
  REQUIRE(state.has_value());
  CHECK(state->snapshot.configuration.voters.size() == 1);
  CHECK(state->entries.size() >= 2);
}

}  // namespace
}  // namespace juniperway
