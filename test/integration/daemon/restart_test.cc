// Daemons that are started again: nothing they had is taken back, and a data
// folder that is not theirs is an error.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/resources/resource.h"
#include "integration/daemon/fleet_fixture.h"
#include "lab/fleet/child_process.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

constexpr Duration kLimit = seconds(60);
const std::string kGateway = "a-gateway-1";

// One more change of the service.
resources::Revision Change(lab::Fleet& fleet, int number) {
  auto service = fleet.control().Read({resources::Kind::kService, kService});
  REQUIRE(service.has_value());
  std::get<resources::Service>(service->specification).queue_limit =
      100 + number;
  const auto change = fleet.control().Apply(
      {*service}, fmt::format("change-{}", number), kLimit);
  REQUIRE(change.has_value());
  return change->revision;
}

// The gateway's revision; nothing while it has no view.
std::optional<resources::Revision> RevisionOf(lab::Fleet& fleet) {
  const auto view = fleet.GetFromGateway(kGateway, "/v1/view");
  if (!view) {
    return std::nullopt;
  }
  return view->at("revision").get<resources::Revision>();
}

// Waits for a view; none may be below `floor`.
void AwaitRevision(lab::Fleet& fleet, resources::Revision floor) {
  std::optional<resources::Revision> revision;
  REQUIRE(lab::WaitFor(kLimit, [&] {
    revision = RevisionOf(fleet);
    return revision.has_value();
  }));
  CHECK(*revision >= floor);
}

std::string ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

// Runs juniperwayd with these settings until it ends.
struct Outcome {
  std::optional<int> status;
  std::string errors;
};

Outcome RunDaemon(const TemporaryFolder& folder, const std::string& settings) {
  const auto file = folder.path() / "daemon.toml";
  const auto log = folder.path() / "daemon.log";
  std::filesystem::remove(log);
  std::ofstream(file) << settings;
  auto process = lab::ChildProcess::Start(
      std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
      {"--settings", file.string()}, log.string());
  REQUIRE(process.has_value());
  Outcome outcome;
  outcome.status = process->Wait(kLimit);
  outcome.errors = ReadFile(log);
  return outcome;
}

std::string GatewaySettings(const TemporaryFolder& folder,
                            const std::string& name) {
  return fmt::format(
      "name = \"{}\"\ncluster = \"test\"\nzone = \"a\"\n"
      "roles = [\"gateway\"]\ndata_folder = \"{}\"\n"
      "control_peers = [\"127.0.0.1:9\"]\n[gateway]\n"
      "http_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n",
      name, (folder.path() / "data").string());
}

std::string ControlSettings(const TemporaryFolder& folder, int node,
                            bool bootstrap) {
  return fmt::format(
      "name = \"control-1\"\ncluster = \"test\"\nzone = \"a\"\n"
      "roles = [\"control\"]\ndata_folder = \"{}\"\n[control]\n"
      "node_id = {}\nbootstrap = {}\n"
      "http_listen = \"127.0.0.1:0\"\npeer_listen = \"127.0.0.1:0\"\n",
      (folder.path() / "data").string(), node, bootstrap);
}

// Starts juniperwayd, awaits `ready` and ends it by SIGTERM.
void StartOnce(const TemporaryFolder& folder, const std::string& settings) {
  const auto file = folder.path() / "first.toml";
  std::ofstream(file) << settings;
  auto process = lab::ChildProcess::Start(
      std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
      {"--settings", file.string()}, (folder.path() / "first.log").string());
  REQUIRE(process.has_value());
  REQUIRE(process->WaitUntilReady(kLimit).has_value());
  process->Signal(SIGTERM);
  CHECK(process->Wait(kLimit) == 0);
}

void CheckFails(const TemporaryFolder& folder, const std::string& settings,
                const std::string& file, const std::string& reason) {
  const Outcome outcome = RunDaemon(folder, settings);
  CAPTURE(outcome.errors);
  CHECK(outcome.status == 1);
  CHECK(outcome.errors.find((folder.path() / file).string()) !=
        std::string::npos);
  CHECK(outcome.errors.find(reason) != std::string::npos);
}

}  // namespace

TEST_CASE("A restarted gateway takes no revision below the one it had") {
  TestFleet test({.gateways = 1, .backends = 2});
  lab::Fleet& fleet = *test.fleet;
  resources::Revision had = 0;
  for (int number = 0; number < 20; ++number) {
    had = Change(fleet, number);
  }
  REQUIRE(lab::WaitFor(kLimit, [&] { return RevisionOf(fleet) >= had; }));

  SUBCASE("after SIGKILL") {
    fleet.Kill(kGateway);
    REQUIRE(fleet.Restart(kGateway));
    AwaitRevision(fleet, had);
    REQUIRE(lab::WaitFor(kLimit,
                         [&] { return test.Query(kGateway).status == 200; }));
    test.CheckWholeAnswer(kGateway);
  }
  SUBCASE("after SIGTERM") {
    const auto stop = fleet.Stop(kGateway, kLimit);
    REQUIRE(stop.has_value());
    CHECK(stop->exit_status == 0);
    REQUIRE(fleet.Restart(kGateway));
    AwaitRevision(fleet, had);
  }
  SUBCASE("also when control has lost its data") {
    fleet.Kill(kGateway);
    fleet.Kill("control-1");
    REQUIRE(fleet.LoseDisk("control-1"));
    REQUIRE(fleet.Restart("control-1"));
    REQUIRE(fleet.Restart(kGateway));
    // The new store begins at revision 1 and is far below.
    REQUIRE(lab::WaitFor(kLimit, [&] {
      const auto reply = fleet.control().GetAnywhere("/v1/status");
      return reply.status == 200 && !reply.body.at("leader").is_null();
    }));
    REQUIRE(fleet.control().Apply(
        {lab::MakeServiceResource(fleet.layout().services.front())}, "again",
        kLimit));
    for (int number = 0; number < 40; ++number) {
      const resources::Revision now = Change(fleet, 1000 + number);
      const auto revision = RevisionOf(fleet);
      CAPTURE(now);
      if (now < had) {
        // No view, and no answer from one: not even that a service is unknown.
        CHECK_FALSE(revision.has_value());
        CHECK(test.Query(kGateway).status == 503);
      } else if (revision) {
        CHECK(*revision >= had);
      }
    }
    AwaitRevision(fleet, had);
  }
}

TEST_CASE("A gateway refuses a data folder that is damaged or another's") {
  const TemporaryFolder folder;
  const std::string file = "data/gateway/session.json";
  StartOnce(folder, GatewaySettings(folder, "one"));
  CheckFails(folder, GatewaySettings(folder, "two"), file,
             "belongs to another");
  std::ofstream(folder.path() / file) << "{";
  CheckFails(folder, GatewaySettings(folder, "one"), file, "is damaged");
}

TEST_CASE("A control machine refuses a data folder that is not its own") {
  const TemporaryFolder folder;
  const std::string file = "data/control";
  CheckFails(folder, ControlSettings(folder, 1, false), file, "bootstrap");
  StartOnce(folder, ControlSettings(folder, 1, true));
  CheckFails(folder, ControlSettings(folder, 2, true), file,
             "belongs to node 1");
  for (const auto& entry :
       std::filesystem::directory_iterator(folder.path() / file)) {
    std::ofstream(entry.path()) << "no database";
  }
  CheckFails(folder, ControlSettings(folder, 1, true), file, "");
}

TEST_CASE("A data folder that another process uses is refused") {
  const TemporaryFolder folder;
  const auto settings = folder.path() / "running.toml";
  std::ofstream(settings) << GatewaySettings(folder, "one");
  auto running = lab::ChildProcess::Start(
      std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
      {"--settings", settings.string()},
      (folder.path() / "running.log").string());
  REQUIRE(running.has_value());
  REQUIRE(running->WaitUntilReady(kLimit).has_value());
  CheckFails(folder, GatewaySettings(folder, "one"), "data/gateway",
             "in use by another process");
}

TEST_CASE("Wrong settings end the daemon with status 2 and name the place") {
  const TemporaryFolder folder;
  const Outcome outcome =
      RunDaemon(folder, GatewaySettings(folder, "one") + "peer_lisen = 1\n");
  CHECK(outcome.status == 2);
  CHECK(outcome.errors.find("daemon.toml:10: gateway.peer_lisen") !=
        std::string::npos);
}

}  // namespace juniperway::test
