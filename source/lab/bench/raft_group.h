// A consensus group in one process for benchmarks: the product's state machine,
// driver and SQLite store, one thread a node, messages handed from thread to
// thread. What is left out is the network.
#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/base/error.h"
#include "common/control/raft_driver.h"

namespace juniperway::lab {

// What one run of a closed loop came to.
struct RaftLoad {
  std::uint64_t committed = 0;
  Duration elapsed{0};
  // One value a batch: from its proposal until its last entry was applied.
  std::vector<Duration> latencies;
};

struct RaftGroupOptions {
  // Of the election jitter.
  std::uint64_t seed = 0;
  // Added to each synced write of every store: stands for a slower disk.
  Duration sync_delay{0};
};

class RaftGroup {
 public:
  // Called on a node's thread for each committed command.
  using Apply =
      std::function<void(raft::NodeId node, const std::string& command)>;

  // Creates stores in `folder`, one a node (1 to `nodes`), and starts the
  // nodes. Throws std::runtime_error when a store can't be made.
  RaftGroup(const std::filesystem::path& folder, int nodes,
            const RaftGroupOptions& options, Apply apply);
  ~RaftGroup();
  RaftGroup(const RaftGroup&) = delete;
  RaftGroup& operator=(const RaftGroup&) = delete;

  // Waits until a node leads with a lease.
  raft::NodeId WaitForLeader();

  // On the leader, for `duration`: proposes `batch` commands at once and waits
  // until all are applied there, again and again.
  // @return kNotLeader when leadership was lost meanwhile.
  Result<RaftLoad> Run(raft::NodeId leader, int batch, Duration duration,
                       const std::function<std::string()>& make_command);

 private:
  struct Loop;
  struct Node {
    raft::NodeId id = raft::kNoNode;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context);
    std::shared_ptr<control::RaftDriver> driver;
    // The closed loop that runs here, if any. Used on the node's thread only.
    std::shared_ptr<Loop> loop;
    std::thread thread;
  };

  void Start(Node& node, const raft::InitialState& initial,
             std::unique_ptr<storage::LogStore> store, std::uint64_t seed);
  void Send(std::vector<raft::Message> messages);
  void OnApplied(Node& node, const raft::Entry& entry);
  static void ProposeBatch(Node& node);
  Node& At(raft::NodeId id) { return *nodes_[id - 1]; }

  Apply apply_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace juniperway::lab
