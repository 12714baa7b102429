#include "lab/bench/raft_group.h"

#include <asio/post.hpp>
#include <stdexcept>
#include <utility>

namespace juniperway::lab {
namespace {

// No compaction while a benchmark runs.
constexpr std::size_t kNever = ~std::size_t{0};
constexpr milliseconds kLeaderPollInterval{5};

raft::Configuration MakeConfiguration(int nodes) {
  raft::Configuration configuration;
  for (int number = 1; number <= nodes; ++number) {
    configuration.voters.push_back({static_cast<raft::NodeId>(number), ""});
  }
  return configuration;
}

std::unique_ptr<storage::LogStore> MakeStore(
    const std::filesystem::path& folder, raft::NodeId id) {
  auto store = storage::OpenSqliteLogStore(
      {folder / std::to_string(id), "bench", id, /*create=*/true});
  if (!store) {
    throw std::runtime_error(FormatError(store.error()));
  }
  return std::move(*store);
}

// A store whose syncs take longer.
class DelayedStore final : public storage::LogStore {
 public:
  DelayedStore(std::unique_ptr<storage::LogStore> store, Duration delay)
      : store_(std::move(store)), delay_(delay) {}

  Result<raft::InitialState> Load() override { return store_->Load(); }
  Result<void> Write(const raft::Ready& ready) override {
    auto written = store_->Write(ready);
    if (delay_ > Duration(0)) {
      std::this_thread::sleep_for(delay_);
    }
    return written;
  }
  Result<void> Compact(const raft::Snapshot& snapshot,
                       raft::Index kept_entries) override {
    return store_->Compact(snapshot, kept_entries);
  }
  Result<void> Backup(const std::filesystem::path& file) override {
    return store_->Backup(file);
  }

 private:
  std::unique_ptr<storage::LogStore> store_;
  Duration delay_;
};

}  // namespace

struct RaftGroup::Loop {
  int batch = 0;
  int outstanding = 0;
  MonotonicTime start;
  MonotonicTime end;
  MonotonicTime batch_start;
  std::function<std::string()> make_command;
  RaftLoad load;
  std::promise<Result<RaftLoad>> done;
};

RaftGroup::RaftGroup(const std::filesystem::path& folder, int nodes,
                     const RaftGroupOptions& options, Apply apply)
    : apply_(std::move(apply)) {
  raft::InitialState initial;
  initial.snapshot.configuration = MakeConfiguration(nodes);
  for (int number = 1; number <= nodes; ++number) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_.back()->id = static_cast<raft::NodeId>(number);
  }
  for (const auto& node : nodes_) {
    Start(*node, initial,
          std::make_unique<DelayedStore>(MakeStore(folder, node->id),
                                         options.sync_delay),
          options.seed + node->id);
  }
  for (const auto& node : nodes_) {
    node->thread = std::thread([&node = *node] {
      node.driver->Start();
      node.context.run();
    });
  }
}

RaftGroup::~RaftGroup() {
  for (const auto& node : nodes_) {
    asio::post(node->context, [&node = *node] { node.driver->Stop(); });
    node->work.reset();
  }
  for (const auto& node : nodes_) {
    node->thread.join();
  }
}

void RaftGroup::Start(Node& node, const raft::InitialState& initial,
                      std::unique_ptr<storage::LogStore> store,
                      std::uint64_t seed) {
  raft::Options options;
  options.id = node.id;
  options.seed = seed;
  control::RaftDriver::Callbacks callbacks;
  callbacks.send = [this](std::vector<raft::Message> messages) {
    Send(std::move(messages));
  };
  callbacks.apply = [this, &node](const raft::Entry& entry) {
    OnApplied(node, entry);
  };
  callbacks.install = [](const raft::Snapshot&) {};
  callbacks.encode_state = [] { return std::string(); };
  callbacks.on_change = [] {};
  callbacks.on_failure = [](const Error&) {};
  node.driver = std::make_shared<control::RaftDriver>(
      node.context, options, initial, std::move(store),
      control::CompactionLimits{kNever, kNever, 0}, std::move(callbacks));
}

void RaftGroup::Send(std::vector<raft::Message> messages) {
  for (raft::Message& message : messages) {
    Node& target = At(message.to);
    asio::post(target.context, [&target, message = std::move(message)] {
      target.driver->Step(message);
    });
  }
}

void RaftGroup::OnApplied(Node& node, const raft::Entry& entry) {
  if (entry.kind != raft::EntryKind::kCommand) {
    return;
  }
  apply_(node.id, entry.data);
  if (!node.loop || --node.loop->outstanding > 0) {
    return;
  }
  Loop& loop = *node.loop;
  const MonotonicTime now = ReadMonotonicClock();
  loop.load.committed += loop.batch;
  loop.load.latencies.push_back(now - loop.batch_start);
  if (now >= loop.end) {
    loop.load.elapsed = now - loop.start;
    loop.done.set_value(std::move(loop.load));
    node.loop.reset();
    return;
  }
  // Not from within the driver's callback.
  asio::post(node.context, [&node] { ProposeBatch(node); });
}

void RaftGroup::ProposeBatch(Node& node) {
  Loop& loop = *node.loop;
  loop.batch_start = ReadMonotonicClock();
  loop.outstanding = loop.batch;
  for (int i = 0; i < loop.batch; ++i) {
    if (auto proposal = node.driver->Propose(loop.make_command()); !proposal) {
      loop.done.set_value(tl::unexpected(proposal.error()));
      node.loop.reset();
      return;
    }
  }
}

raft::NodeId RaftGroup::WaitForLeader() {
  while (true) {
    for (const auto& node : nodes_) {
      std::promise<bool> leads;
      asio::post(node->context, [&] {
        leads.set_value(node->driver->HasLeaderLease(ReadMonotonicClock()));
      });
      if (leads.get_future().get()) {
        return node->id;
      }
    }
    std::this_thread::sleep_for(kLeaderPollInterval);
  }
}

Result<RaftLoad> RaftGroup::Run(
    raft::NodeId leader, int batch, Duration duration,
    const std::function<std::string()>& make_command) {
  Node& node = At(leader);
  auto loop = std::make_shared<Loop>();
  loop->batch = batch;
  loop->make_command = make_command;
  auto done = loop->done.get_future();
  asio::post(node.context, [&node, loop, duration] {
    node.loop = loop;
    loop->start = ReadMonotonicClock();
    loop->end = loop->start + duration;
    ProposeBatch(node);
  });
  return done.get();
}

}  // namespace juniperway::lab
