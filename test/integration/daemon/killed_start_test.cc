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
#include <string>
#include <vector>

#include "common/control/store_restore.h"
#include "lab/blocking_http.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/loopback.h"
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

// One control node of a group that forms itself. The test deletes and writes
// files in its data folder, as an earlier process would have left them.
class ControlNode {
 public:
  ControlNode() : address_(lab::OwnLoopbackNetwork() + ".1") {
    http_port_ = lab::FreePort(address_);
    peer_port_ = lab::FreePort(address_);
  }

  fs::path data() const { return folder_.path() / "data"; }
  fs::path control() const { return data() / "control"; }
  std::string PeerAddress() const {
    return fmt::format("{}:{}", address_, peer_port_);
  }
  std::string Url(const std::string& path) const {
    return fmt::format("http://{}:{}{}", address_, http_port_, path);
  }

  lab::ChildProcess Launch(bool bootstrap) {
    const fs::path file = folder_.path() / "settings.toml";
    std::ofstream(file) << fmt::format(
        "name = \"control\"\ncluster = \"test\"\nzone = \"z\"\n"
        "roles = [\"control\"]\ndata_folder = \"{0}\"\n"
        "control_seeds = [\"{1}:{2}\"]\ncontrol_peer_port = {3}\n"
        "[control]\nhttp_listen = \"{1}:{2}\"\npeer_listen = \"{1}:{3}\"\n"
        "bootstrap = {4}\nopen_api = true\nelection_timeout_ms = 500\n",
        data().string(), address_, http_port_, peer_port_, bootstrap);
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

  // Starts the node and kills it as soon as the folder holds `name`.
  void KillAtFile(const std::string& name, bool bootstrap) {
    lab::ChildProcess process = Launch(bootstrap);
    while (!fs::exists(control() / name) && process.running()) {
    }
    process.Kill();
  }

  std::string Log() const { return (folder_.path() / "log").string(); }

 private:
  TemporaryFolder folder_;
  std::string address_;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
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
      // The files last for moments, so a kill may come late. Whatever it
      // leaves has to do.
      node.KillAtFile(file, bootstrap);
      node.KillAtFile(file, /*bootstrap=*/false);
      node.CheckStarts(/*bootstrap=*/false);
    }
  }
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
