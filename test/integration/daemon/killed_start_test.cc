// Tests starts of a control node that was killed while it made its data folder.
// Guards against a folder that no later start accepts: the process would end at
// once at each start, and the group would go on without a voter that everybody
// believes to be back.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/control/store_restore.h"
#include "lab/blocking_http.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/loopback.h"
#include "lab/wait.h"
#include "support/temporary_folder.h"

namespace juniperway::test {
namespace {

namespace fs = std::filesystem;

constexpr Duration kLimit = seconds(60);

std::string ReadFile(const fs::path& file) {
  std::ifstream stream(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

// Addresses of a group of control nodes that forms itself.
struct Network {
  explicit Network(int size) : nodes(size) {}

  std::string Host(int number) const {
    return fmt::format("{}.{}", prefix, number);
  }
  std::string Seeds() const {
    std::string seeds;
    for (int number = 1; number <= nodes; ++number) {
      seeds += fmt::format("{}\"{}:{}\"", number == 1 ? "" : ", ", Host(number),
                           http_port);
    }
    return seeds;
  }

  int nodes;
  std::string prefix = lab::OwnLoopbackNetwork();
  std::uint16_t http_port = lab::FreePort(Host(1));
  std::uint16_t peer_port = lab::FreePort(Host(1));
};

// One control node. The test deletes and writes files in its data folder, as an
// earlier process would have left them.
class ControlNode {
 public:
  explicit ControlNode(const Network& network = Network(1), int number = 1)
      : network_(network), host_(network.Host(number)) {}

  fs::path data() const { return folder_.path() / "data"; }
  fs::path control() const { return data() / "control"; }
  std::string PeerAddress() const {
    return fmt::format("{}:{}", host_, network_.peer_port);
  }
  std::string Url(const std::string& path) const {
    return fmt::format("http://{}:{}{}", host_, network_.http_port, path);
  }

  lab::ChildProcess Launch(bool bootstrap) {
    const fs::path file = folder_.path() / "settings.toml";
    std::ofstream(file) << fmt::format(
        "name = \"control\"\ncluster = \"test\"\nzone = \"z\"\n"
        "roles = [\"control\"]\ndata_folder = \"{0}\"\n"
        "control_seeds = [{1}]\ncontrol_peer_port = {4}\n"
        "[control]\nhttp_listen = \"{2}:{3}\"\npeer_listen = \"{2}:{4}\"\n"
        "bootstrap = {5}\nopen_api = true\nelection_timeout_ms = 500\n",
        data().string(), network_.Seeds(), host_, network_.http_port,
        network_.peer_port, bootstrap);
    auto process = lab::ChildProcess::Start(
        std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
        {"--settings", file.string()}, Log());
    REQUIRE(process);
    return std::move(*process);
  }

  // Starts the node and ends it once it is ready.
  void CheckStarts(bool bootstrap) {
    lab::ChildProcess process = Launch(bootstrap);
    const bool ready = process.WaitUntilReady(kLimit).has_value();
    CAPTURE(ReadFile(Log()));
    CHECK(ready);
    process.Kill();
  }

  // Starts the node and kills it as soon as the folder holds `name`, or the
  // store is open: some files last for moments only.
  void KillAtFile(const std::string& name, bool bootstrap) {
    lab::ChildProcess process = Launch(bootstrap);
    while (!fs::exists(control() / name) &&
           !fs::exists(control() / "consensus.db-wal") && process.running()) {
    }
    process.Kill();
  }

  std::string Log() const { return (folder_.path() / "log").string(); }

 private:
  TemporaryFolder folder_;
  Network network_;
  std::string host_;
};

// Starts the node with a number and no store.
void CheckStartsWithoutStore(ControlNode& node, bool bootstrap) {
  const std::string number = "281474976710657\n";
  std::ofstream(node.control() / "node_id") << number;
  node.CheckStarts(bootstrap);
  // The number was never used, or its store is lost: either way nobody may
  // count on it.
  CHECK(ReadFile(node.control() / "node_id") != number);
  node.CheckStarts(/*bootstrap=*/false);
}

TEST_CASE("A node killed before its store existed starts again") {
  for (const bool bootstrap : {false, true}) {
    CAPTURE(bootstrap);
    ControlNode node;
    fs::create_directories(node.control());
    CheckStartsWithoutStore(node, bootstrap);
  }
}

TEST_CASE("A node killed while it wrote its store starts again") {
  for (const bool bootstrap : {false, true}) {
    CAPTURE(bootstrap);
    ControlNode node;
    fs::create_directories(node.control());
    std::ofstream(node.control() / "consensus.db.new") << "part";
    std::ofstream(node.control() / "consensus.db.new-journal") << "part";
    CheckStartsWithoutStore(node, bootstrap);
  }
}

TEST_CASE("A node killed at any file of its first start starts again") {
  const std::vector<std::string> files{"",  // the folder itself
                                       "node_id.new",
                                       "node_id",
                                       "consensus.db.new",
                                       "consensus.db.new-journal",
                                       "consensus.db",
                                       "consensus.db-wal"};
  for (const bool bootstrap : {false, true}) {
    for (const std::string& file : files) {
      CAPTURE(bootstrap);
      CAPTURE(file);
      ControlNode node;
      // A kill may come late. Whatever it leaves has to do.
      node.KillAtFile(file, bootstrap);
      node.KillAtFile(file, /*bootstrap=*/false);
      node.CheckStarts(/*bootstrap=*/false);
    }
  }
}

// Waits until the node knows a group of three voters that bears a loss.
void CheckForms(const ControlNode& node) {
  lab::BlockingHttp http;
  nlohmann::json status;
  const bool formed = lab::WaitFor(kLimit, [&] {
    status = nlohmann::json::parse(http.Get(node.Url("/v1/status")).body,
                                   nullptr, /*allow_exceptions=*/false);
    return status.is_object() && status["leader_reachable"] == true &&
           status["repaired"] == true && status["voters"] == 3;
  });
  CAPTURE(status.dump());
  CAPTURE(ReadFile(node.Log()));
  CHECK(formed);
}

TEST_CASE("A group forms without a founder killed at its first start") {
  const Network network(3);
  std::vector<std::unique_ptr<ControlNode>> nodes;
  std::vector<lab::ChildProcess> processes;
  for (int number = 1; number <= 3; ++number) {
    nodes.push_back(std::make_unique<ControlNode>(network, number));
    // The kill came before the third one had written anything, and no later
    // start has bootstrap = true.
    processes.push_back(nodes.back()->Launch(/*bootstrap=*/number < 3));
  }
  CheckForms(*nodes[2]);
}

TEST_CASE("Founders that are all killed at their first start form the group") {
  const Network network(3);
  std::vector<std::unique_ptr<ControlNode>> nodes;
  for (int number = 1; number <= 3; ++number) {
    nodes.push_back(std::make_unique<ControlNode>(network, number));
    nodes.back()->KillAtFile("node_id", /*bootstrap=*/true);
  }
  std::vector<lab::ChildProcess> processes;
  processes.reserve(nodes.size());
  for (const auto& node : nodes) {
    processes.push_back(node->Launch(/*bootstrap=*/false));
  }
  CheckForms(*nodes.front());
}

TEST_CASE("A restored store starts where the group forms itself") {
  const TemporaryFolder folder;
  ControlNode former;
  lab::ChildProcess process = former.Launch(/*bootstrap=*/true);
  REQUIRE(process.WaitUntilReady(kLimit));
  lab::BlockingHttp http;
  const auto backup = http.Get(former.Url("/v1/backup"));
  REQUIRE(backup.status == 200);
  ControlNode node;
  control::RestoreOptions options;
  options.backup = folder.Write("backup.db", backup.body);
  options.data_folder = node.data();
  options.member = {7, node.PeerAddress()};
  options.now = ReadWallClock();
  const auto restored = control::RestoreStore(options);
  REQUIRE(restored);
  node.CheckStarts(/*bootstrap=*/false);
}

TEST_CASE("A node without its number does not use another node's store") {
  ControlNode node;
  node.CheckStarts(/*bootstrap=*/true);
  fs::remove(node.control() / "node_id");
  lab::ChildProcess process = node.Launch(/*bootstrap=*/false);
  CHECK(process.Wait(kLimit) == 1);
  CHECK_FALSE(fs::exists(node.control() / "node_id"));
}

}  // namespace
}  // namespace juniperway::test
