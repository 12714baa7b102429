// Guards against data loss after a failed write: the driver must neither
// acknowledge nor apply an entry that its store did not write.
#include "common/control/raft_driver.h"

#include <doctest/doctest.h>

#include <optional>

#include "support/event_loop.h"

namespace juniperway::control {
namespace {

// Stores nothing; every write fails with `fault` while `full` is set.
class FaultyStore final : public storage::LogStore {
 public:
  FaultyStore(const bool& full, const ErrorCode& fault)
      : full_(full), fault_(fault) {}

  Result<raft::InitialState> Load() override { return raft::InitialState{}; }
  Result<void> Write(const raft::Ready&) override { return Outcome(); }
  Result<void> Compact(const raft::Snapshot&, raft::Index) override {
    return Outcome();
  }
  Result<void> Backup(const std::filesystem::path&) override {
    return Outcome();
  }

 private:
  Result<void> Outcome() const {
    if (full_) {
      return MakeError(fault_, "consensus.db", "cannot be written");
    }
    return {};
  }
  const bool& full_;
  const ErrorCode& fault_;
};

struct DrivenNode {
  explicit DrivenNode(int voters,
                      const CompactionLimits& limits = {1U << 20, 1000, 0}) {
    raft::InitialState initial;
    for (int id = 1; id <= voters; ++id) {
      initial.snapshot.configuration.voters.push_back(
          {static_cast<raft::NodeId>(id), ""});
    }
    raft::Options options;
    options.id = 1;
    options.heartbeat_interval = milliseconds(5);
    options.election_timeout = milliseconds(20);
    RaftDriver::Callbacks callbacks;
    callbacks.send = [this](const std::vector<raft::Message>& messages) {
      sent += messages.size();
    };
    callbacks.apply = [this](const raft::Entry& entry) {
      applied.push_back(entry.data);
    };
    callbacks.install = [](const raft::Snapshot&) {};
    callbacks.encode_state = [] { return std::string("state"); };
    callbacks.on_change = [] {};
    callbacks.on_failure = [this](const Error& error) {
      ++failures;
      failure = error;
    };
    driver = std::make_shared<RaftDriver>(
        context, options, initial, std::make_unique<FaultyStore>(full, fault),
        limits, std::move(callbacks));
    driver->Start();
  }

  bool RunUntil(const std::function<bool()>& condition) {
    return test::RunUntil(context, condition);
  }

  asio::io_context context;
  bool full = false;
  ErrorCode fault = ErrorCode::kIo;
  std::size_t sent = 0;
  std::vector<std::string> applied;
  int failures = 0;
  std::optional<Error> failure;
  std::shared_ptr<RaftDriver> driver;
};

TEST_CASE("A command that could not be written is never applied") {
  DrivenNode node(1);
  REQUIRE(node.RunUntil([&] { return !node.applied.empty(); }));
  REQUIRE(node.driver->Propose("kept"));
  REQUIRE(node.RunUntil([&] { return node.applied.back() == "kept"; }));
  node.full = true;
  REQUIRE(node.driver->Propose("lost"));
  REQUIRE(node.RunUntil([&] { return node.failure.has_value(); }));
  node.full = false;
  test::RunReady(node.context);
  CHECK(node.applied.back() == "kept");
  CHECK(node.failures == 1);
  CHECK(node.failure->code == ErrorCode::kIo);
}

TEST_CASE("A follower that could not write acknowledges nothing") {
  DrivenNode node(2);
  raft::Message vote;
  vote.kind = raft::MessageKind::kVote;
  vote.from = 2;
  vote.to = 1;
  vote.term = 1;
  vote.leadership_transfer = true;
  node.full = true;
  node.driver->Step(vote);
  REQUIRE(node.RunUntil([&] { return node.failure.has_value(); }));
  CHECK(node.sent == 0);
}

TEST_CASE("A full disk suspends the node until a write succeeds") {
  DrivenNode node(1);
  REQUIRE(node.RunUntil([&] { return !node.applied.empty(); }));
  node.fault = ErrorCode::kNoSpace;
  node.full = true;
  REQUIRE(node.driver->Propose("held back"));
  REQUIRE(node.RunUntil([&] { return node.driver->suspended(); }));
  CHECK_FALSE(node.driver->Propose("refused"));
  CHECK(node.failures == 0);
  CHECK(node.applied.back() != "held back");
  node.full = false;
  REQUIRE(node.RunUntil([&] { return !node.driver->suspended(); }));
  REQUIRE(node.RunUntil([&] { return node.applied.back() == "held back"; }));
  CHECK(node.failures == 0);
}

TEST_CASE("A snapshot that could not be written stops the node") {
  DrivenNode node(1, {1, 1, 0});
  node.full = false;
  REQUIRE(node.RunUntil([&] { return !node.applied.empty(); }));
  node.full = true;
  REQUIRE(node.driver->Propose("a"));
  REQUIRE(node.RunUntil([&] { return node.failure.has_value(); }));
  CHECK(node.failures == 1);
}

TEST_CASE("A node whose disk was lost stops with a clear error") {
  DrivenNode node(2);
  raft::Message append;
  append.kind = raft::MessageKind::kAppend;
  append.from = 2;
  append.to = 1;
  append.term = 7;
  append.index = 100;
  append.log_term = 7;
  node.driver->Step(append);
  REQUIRE(node.RunUntil([&] { return node.failure.has_value(); }));
  CHECK(node.failure->code == ErrorCode::kCorrupt);
  CHECK(node.failure->field == "data_folder");
  CHECK(node.failure->message.find("disk was lost") != std::string::npos);
  CHECK(node.applied.empty());
}

}  // namespace
}  // namespace juniperway::control
