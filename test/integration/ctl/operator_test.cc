// An operator's changes through juniperwayctl against a real fleet: in force,
// raced, drained, backed up, and restored into a new control machine.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/run.h"
#include "integration/daemon/fleet_fixture.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/settings_file.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

constexpr seconds kLimit{60};
constexpr std::uint64_t kRestoredNode = 9;

// juniperwayctl against some control machines.
class Operator {
 public:
  explicit Operator(std::string servers) : servers_(std::move(servers)) {}

  // Runs a command in this process. @return its exit code.
  int Run(const std::vector<std::string>& words,
          const std::string& input = "") {
    const std::vector<std::string> arguments = Complete(words);
    std::vector<const char*> argv = {"juniperwayctl"};
    for (const std::string& argument : arguments) {
      argv.push_back(argument.c_str());
    }
    asio::io_context context(1);
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream error;
    const int code = ctl::Run(static_cast<int>(argv.size()), argv.data(),
                              servers_, context, {in, out, error});
    out_ = out.str();
    error_ = error.str();
    INFO(error_);
    CHECK(code != 2);
    return code;
  }

  // As a process of its own.
  lab::ChildProcess Start(const std::vector<std::string>& words,
                          const std::string& log) const {
    std::vector<std::string> arguments = Complete(words);
    arguments.insert(arguments.end(), {"--server", servers_});
    auto process = lab::ChildProcess::Start(
        JUNIPERWAY_BINARY_FOLDER "/juniperwayctl", arguments, log);
    REQUIRE(process.has_value());
    return *std::move(process);
  }

  json Get(const std::string& kind) {
    REQUIRE(Run({"get", kind}) == 0);
    return json::parse(out_);
  }

  // Every resource as an operator wrote it, with its version.
  json Everything() {
    json all = json::array();
    for (const char* kind : {"services", "backends", "snapshots", "machines"}) {
      const json list = Get(kind);
      for (json item : list["items"]) {
        item.erase("status");
        all.push_back(std::move(item));
      }
    }
    return all;
  }

  const std::string& out() const { return out_; }
  const std::string& error() const { return error_; }

 private:
  static std::vector<std::string> Complete(std::vector<std::string> words) {
    if (words[0] != "restore") {
      words.insert(words.end(), {"--timeout", "60"});
    }
    words.insert(words.end(), {"-o", "json"});
    return words;
  }

  std::string servers_;
  std::string out_;
  std::string error_;
};

std::string ServersOf(lab::Fleet& fleet) {
  std::string servers;
  for (const std::string& address : fleet.control().addresses()) {
    servers += (servers.empty() ? "" : ",") + address;
  }
  return servers;
}

// A control machine that starts from what `data_folder` holds.
struct RestoredControl {
  explicit RestoredControl(const std::filesystem::path& folder) {
    lab::DaemonSettings settings;
    settings.name = "restored";
    settings.cluster = "test";
    settings.zone = "a";
    settings.region = "region";
    settings.data_folder = folder / "restored";
    settings.address = "127.0.0.1";
    settings.control = {"127.0.0.1:1"};
    settings.control_role = true;
    settings.node_id = kRestoredNode;
    settings.control_peer_advertise = "127.0.0.1:1";
    const std::string file = folder / "restored.toml";
    REQUIRE(lab::WriteSettings(settings, file).has_value());
    auto started =
        lab::ChildProcess::Start(JUNIPERWAY_BINARY_FOLDER "/juniperwayd",
                                 {"--settings", file}, folder / "restored.log");
    REQUIRE(started.has_value());
    process = *std::move(started);
    const auto listeners = process->WaitUntilReady(kLimit);
    REQUIRE(listeners.has_value());
    address = listeners->at("control.http");
  }

  std::optional<lab::ChildProcess> process;
  std::string address;
};

// Two processes write the first back end at the version that both read.
void RaceAtEqualVersion(Operator& op, const std::filesystem::path& folder) {
  json backend = op.Get("backends")["items"][0];
  std::vector<lab::ChildProcess> racers;
  for (const int slots : {3, 4}) {
    backend["spec"]["slots"] = slots;
    const std::string file = folder / fmt::format("slots-{}.json", slots);
    std::ofstream(file) << backend;
    racers.push_back(op.Start({"apply", "-f", file}, file + ".log"));
  }
  std::multiset<int> codes;
  for (lab::ChildProcess& racer : racers) {
    codes.insert(racer.Wait(kLimit).value_or(-1));
  }
  CHECK(codes == std::multiset<int>{0, 3});
}

}  // namespace

TEST_CASE("an operator's changes take effect, race safely and are restored") {
  TestFleet test(FleetShape{.control_machines = 3, .gateways = 1});
  const std::filesystem::path& folder = test.folder.path();
  Operator op(ServersOf(*test.fleet));

  const std::string machine =
      R"({"kind": "Machine", "name": "m-1", "spec": {"zone": "a"}})";
  CHECK(op.Run({"apply", "-f", "-", "--change-id", "m", "--wait"}, machine) ==
        0);
  CHECK(json::parse(op.out())["state"] == "in_force");
  CHECK(op.Run({"wait", "m"}) == 0);
  RaceAtEqualVersion(op, folder);

  const json backend = op.Get("backends")["items"][1];
  const std::string name = backend["name"];
  CHECK(op.Run({"drain", name, "--wait"}) == 0);
  CHECK(op.Run({"get", "backend", name}) == 0);
  CHECK(json::parse(op.out())["status"]["draining"] == true);

  const std::string backup = folder / "backup.db";
  REQUIRE(op.Run({"backup", backup}) == 0);
  const json before = op.Everything();
  CHECK(before.size() >= 7);
  REQUIRE(op.Run({"restore", backup, "--data-folder", folder / "restored",
                  "--node-id", std::to_string(kRestoredNode), "--address",
                  "127.0.0.1:1"}) == 0);
  const std::uint64_t revision = json::parse(op.out())["revision"];

  const RestoredControl restored(folder);
  Operator other(restored.address);
  CHECK(other.Everything() == before);
  CHECK(other.Run({"undrain", name, "--wait"}) == 0);
  CHECK(json::parse(other.out())["revision"] > revision);
  // The fleet that the backup came from goes on by itself.
  CHECK(op.Everything() == before);
}

}  // namespace juniperway::test
