// Runs the consensus state machine under real time: ticks it, writes and syncs
// what it wants kept, sends its messages, applies what is committed, and
// compacts the log. One event-loop thread; syncs block it, which makes what
// arrives meanwhile one batch.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/raft/fsm.h"
#include "common/storage/log_store.h"

namespace juniperway::control {

struct CompactionLimits {
  // A snapshot is taken when the log since the last one is past either.
  std::size_t bytes = 0;
  std::size_t entries = 0;
  // Entries that stay in the store behind the snapshot.
  raft::Index kept_entries = 0;
};

// Whether a snapshot is to be taken. A large state is written anew only after
// as much log has come as it takes itself, so that the work stays in
// proportion.
bool IsCompactionDue(const CompactionLimits& limits, std::size_t log_bytes,
                     std::size_t log_entries, std::size_t snapshot_bytes);

class RaftDriver : public std::enable_shared_from_this<RaftDriver> {
 public:
  struct Callbacks {
    std::function<void(std::vector<raft::Message>)> send;
    // Committed entries, in order, each once.
    std::function<void(const raft::Entry&)> apply;
    // A snapshot of the leader replaces the state.
    std::function<void(const raft::Snapshot&)> install;
    // The state as it is, for a snapshot.
    std::function<std::string()> encode_state;
    // Role, term, leader, commit or configuration may have changed.
    std::function<void()> on_change;
    // The store failed; the driver has stopped for good.
    std::function<void(const Error&)> on_failure;
  };

  RaftDriver(asio::io_context& context, const raft::Options& options,
             raft::InitialState initial,
             std::unique_ptr<storage::LogStore> store,
             const CompactionLimits& limits, Callbacks callbacks);

  void Start();
  // Nothing runs after this.
  void Stop();

  void Step(const raft::Message& message);
  Result<raft::Fsm::Proposal> Propose(std::string command);
  Result<raft::Fsm::Proposal> AddLearner(const raft::Member& member);
  Result<raft::Fsm::Proposal> PromoteLearner(raft::NodeId id);
  Result<raft::Fsm::Proposal> RemoveMember(raft::NodeId id);
  Result<void> TransferLeadership(raft::NodeId to);

  bool HasLeaderLease(MonotonicTime now) const {
    return fsm_.HasLeaderLease(now);
  }
  // The disk is full: the machine takes no part until there is room.
  bool suspended() const { return unwritten_ready_.has_value(); }
  raft::Status GetStatus() const { return fsm_.GetStatus(); }
  Result<void> Backup(const std::filesystem::path& file) {
    return store_->Backup(file);
  }

 private:
  void ScheduleProcessing();
  void ProcessReady();
  // @return false when the store failed or is full.
  bool HandleReady(raft::Ready ready);
  // Writes and syncs. @return false when it could not.
  bool Write(raft::Ready& ready);
  // What comes after the sync.
  void OnWritten(raft::Ready ready);
  void Suspend(raft::Ready ready, const Error& error);
  void RetryWrite();
  Result<void> CheckNotSuspended() const;
  void Apply(const std::vector<raft::Entry>& committed);
  void CompactIfLarge();
  void ScheduleCommitIndexWrite();
  void WriteCommitIndex();
  void ArmTimer();
  void Fail(const Error& error);

  asio::io_context& context_;
  asio::steady_timer timer_;
  asio::steady_timer commit_timer_;
  raft::NodeId id_;
  std::unique_ptr<storage::LogStore> store_;
  CompactionLimits limits_;
  Callbacks callbacks_;
  raft::Fsm fsm_;
  raft::Index applied_ = 0;
  std::size_t bytes_since_snapshot_ = 0;
  std::size_t entries_since_snapshot_ = 0;
  // Size of the latest snapshot.
  std::size_t snapshot_bytes_ = 0;
  bool commit_write_scheduled_ = false;
  // What a full disk did not take yet.
  std::optional<raft::Ready> unwritten_ready_;
  bool processing_scheduled_ = false;
  bool stopped_ = false;
};

}  // namespace juniperway::control
