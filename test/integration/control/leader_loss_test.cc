// Runs a control group whose leader is killed, paused or loses its quorum.
// Guards against losing an accepted change, against applying a change twice
// when a client resends it, and against a control node that serves old state or
// grants leases after a pause or without a quorum.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/net/http_client.h"
#include "integration/daemon/fleet_fixture.h"
#include "lab/wait.h"
#include "support/event_loop.h"

namespace juniperway::test {
namespace {

constexpr Duration kWaitTimeout = seconds(60);
constexpr int kOk = 200;
const std::string kGateway = "a-gateway-1";

resources::Resource MakeService(const std::string& name,
                                resources::Revision version) {
  resources::Resource resource;
  resource.id = {resources::Kind::kService, name};
  resource.version = version;
  resource.specification = resources::Service{};
  return resource;
}

// Returns the index of a control node in ControlAddresses(): 1 for "control-2".
std::size_t PositionOf(const std::string& node) {
  return std::stoul(node.substr(node.find('-') + 1)) - 1;
}

std::string PathOf(const std::string& service) {
  return "/v1/resources/Service/" + service;
}

// Whether a read of an accepted resource may get this status. 503 and 504 are
// allowed; 404 would mean that the node served a state from before the change.
bool IsCurrentOrUnavailable(int status) {
  return status == kOk || status == 503 || status == 504;
}

// Reads that a paused control node handles first when it continues: they are
// sent during the pause, over connections that were opened before it.
class QueuedReads {
 public:
  explicit QueuedReads(std::string address)
      : address_(std::move(address)), client_(context_, 0) {
    Send("/v1/status");
    REQUIRE(Finish().size() == kReads);
  }

  void Send(const std::string& path) {
    statuses_.clear();
    for (std::size_t read = 0; read < kReads; ++read) {
      net::HttpClientRequest request;
      request.url = "http://" + address_ + path;
      request.timeout = kWaitTimeout;
      client_.Start(std::move(request),
                    [this](const net::HttpClientResponse& response) {
                      statuses_.push_back(response.status);
                    });
    }
    // Gives the client time to send the requests; it does not report when it
    // has sent them.
    RunUntil(
        context_, [] { return false; }, milliseconds(100));
  }

  std::vector<int> Finish() {
    REQUIRE(RunUntil(
        context_, [this] { return statuses_.size() == kReads; }, kWaitTimeout));
    return statuses_;
  }

 private:
  static constexpr std::size_t kReads = 20;
  std::string address_;
  asio::io_context context_{1};
  net::HttpClient client_;
  std::vector<int> statuses_;
};

struct ControlFleet : TestFleet {
  ControlFleet() : TestFleet({.control_machines = 3, .gateways = 1}) {}

  std::string WaitForLeader() {
    std::optional<std::string> leader;
    REQUIRE(lab::WaitFor(kWaitTimeout, [&] {
      leader = fleet->LeaderName();
      return leader.has_value();
    }));
    return *leader;
  }

  // Applies a new service and records the accepted revision.
  void ApplyAndRecord(const std::string& name) {
    const auto change = fleet->control().Apply({MakeService(name, 0)},
                                               "id-" + name, kWaitTimeout);
    REQUIRE(change.has_value());
    accepted[name] = change->revision;
  }

  void WaitInForce(const std::string& name) {
    REQUIRE(lab::WaitFor(kWaitTimeout, [&] {
      const auto change =
          fleet->control().GetAnywhere("/v1/changes/id-" + name);
      return change.status == kOk && change.body["state"] == "in_force";
    }));
  }

  // The next leader's first answer must not report the change as not in force.
  void CheckStillInForce(const std::string& name) {
    lab::ControlReply change;
    REQUIRE(lab::WaitFor(kWaitTimeout, [&] {
      change = fleet->control().GetAnywhere("/v1/changes/id-" + name);
      return change.status == kOk;
    }));
    CHECK(change.body["state"] == "in_force");
  }

  void CheckNothingLost() {
    for (const auto& item : accepted) {
      const std::string& name = item.first;
      const resources::Revision revision = item.second;
      CAPTURE(name);
      const auto read = fleet->control().GetAnywhere(PathOf(name));
      REQUIRE(read.status == kOk);
      CHECK(read.body["version"] == revision);
      const auto resent = fleet->control().Apply({MakeService(name, 0)},
                                                 "id-" + name, kWaitTimeout);
      REQUIRE(resent.has_value());
      CHECK(resent->revision == revision);
    }
  }

  std::map<std::string, resources::Revision> accepted;
};

TEST_CASE("A crash of the leader loses no accepted change") {
  ControlFleet test;
  for (int round = 0; round < 2; ++round) {
    const std::string leader = test.WaitForLeader();
    const std::string before = fmt::format("before-{}", round);
    test.ApplyAndRecord(before);
    test.WaitInForce(before);
    // One change is in flight when the leader is killed; the client sends it
    // again.
    const std::string interrupted = fmt::format("torn-{}", round);
    const auto first = test.fleet->control().ApplyOnce(
        PositionOf(leader), {MakeService(interrupted, 0)}, "id-" + interrupted,
        microseconds(1500));
    test.fleet->Kill(leader);
    test.CheckStillInForce(before);
    test.ApplyAndRecord(interrupted);
    if (first.status == kOk) {
      CHECK(first.body["revision"] == test.accepted[interrupted]);
    }
    test.ApplyAndRecord(fmt::format("after-{}", round));
    test.CheckNothingLost();
    REQUIRE(test.fleet->Restart(leader).has_value());
    // The restarted node catches up from its store and from the other members.
    REQUIRE(lab::WaitFor(kWaitTimeout, [&] {
      const auto read = test.fleet->control().Get(
          PositionOf(leader), PathOf(interrupted) + "?local=true");
      return read.status == kOk;
    }));
  }
  const auto repaired = [&test] {
    const auto status = test.fleet->control().GetAnywhere("/v1/status");
    return status.status == kOk && status.body["repaired"] == true;
  };
  CHECK(lab::WaitFor(kWaitTimeout, repaired));
}

TEST_CASE("A leader that was paused serves no old state afterwards") {
  ControlFleet test;
  const std::string old_leader = test.WaitForLeader();
  const std::size_t position = PositionOf(old_leader);
  test.ApplyAndRecord("search-2");
  QueuedReads reads(test.fleet->ControlAddresses()[position]);
  test.fleet->Freeze(old_leader);
  reads.Send(PathOf("while-frozen-4"));
  for (int change = 0; change < 5; ++change) {
    test.ApplyAndRecord(fmt::format("while-frozen-{}", change));
  }
  test.fleet->Thaw(old_leader);
  for (const int status : reads.Finish()) {
    CHECK(IsCurrentOrUnavailable(status));
  }
  int answers = 0;
  for (int call = 0; call < 200; ++call) {
    const auto read =
        test.fleet->control().Get(position, PathOf("while-frozen-4"));
    CHECK(IsCurrentOrUnavailable(read.status));
    answers += read.status == kOk ? 1 : 0;
  }
  CHECK(answers > 0);
  test.CheckNothingLost();
}

TEST_CASE("A control node without a quorum grants and accepts nothing") {
  ControlFleet test;
  const std::string leader = test.WaitForLeader();
  REQUIRE(test.Query(kGateway).status == kOk);
  std::vector<std::string> others;
  for (const char* node : {"control-1", "control-2", "control-3"}) {
    if (node != leader) {
      others.emplace_back(node);
      test.fleet->Freeze(node);
    }
  }
  // The gateway may answer until its lease expires.
  REQUIRE(lab::WaitFor(kWaitTimeout,
                       [&] { return test.Query(kGateway).status != kOk; }));
  const auto refused = test.Query(kGateway);
  CHECK(refused.status == 503);
  CHECK(nlohmann::json::parse(refused.body)["execution"] == "not-run");
  const auto status =
      test.fleet->control().Get(PositionOf(leader), "/v1/status");
  REQUIRE(status.status == kOk);
  CHECK(status.body["leader_reachable"] == false);
  CHECK(status.body["repaired"] == false);
  const auto apply = test.fleet->control().ApplyOnce(
      PositionOf(leader), {MakeService("lonely", 0)}, "id-lonely", seconds(10));
  CHECK(apply.status >= 503);
  for (const std::string& node : others) {
    test.fleet->Thaw(node);
  }
  test.ApplyAndRecord("lonely");
  CHECK(lab::WaitFor(kWaitTimeout,
                     [&] { return test.Query(kGateway).status == kOk; }));
  test.CheckNothingLost();
}

}  // namespace
}  // namespace juniperway::test
