// Runs the consensus state machine (raft::Fsm) in real time: ticks it, writes
// and syncs its entries, sends its messages, applies committed entries and
// compacts the log. All work happens on the event loop's thread. A sync blocks
// the thread, so messages that arrive meanwhile are handled in one batch.
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
  // The driver takes a snapshot when the log since the previous snapshot
  // reaches either `bytes` or `entries`, or the higher bounds of
  // IsCompactionDue().
  std::size_t bytes = 0;
  std::size_t entries = 0;
  // Number of entries that remain in the store before the snapshot's index.
  raft::Index kept_entries = 0;
};

// Whether a snapshot should be taken. The bounds grow with the size of the
// latest snapshot, so that the cost of writing a large state stays proportional
// to the log that was written since that snapshot.
bool IsCompactionDue(const CompactionLimits& limits, std::size_t log_bytes,
                     std::size_t log_entries, std::size_t snapshot_bytes);

// Drives one node's consensus state machine and owns it and its log store.
// In a daemon, ControlNode owns the driver and provides the callbacks; handlers
// that are in flight keep the driver alive after Stop().
class RaftDriver : public std::enable_shared_from_this<RaftDriver> {
 public:
  struct Callbacks {
    // Sends each message to the member that the message names as its receiver.
    // Messages may be lost.
    std::function<void(std::vector<raft::Message>)> send;
    // Applies a committed entry. The driver calls this once for each entry, in
    // log order.
    std::function<void(const raft::Entry&)> apply;
    // Replaces the state with a snapshot from the leader.
    std::function<void(const raft::Snapshot&)> install;
    // Encodes the current state for a snapshot.
    std::function<std::string()> encode_state;
    // The driver calls this when role, term, leader, commit index or
    // configuration may have changed.
    std::function<void()> on_change;
    // The driver calls this when the store failed or has lost its data. The
    // driver has then stopped and cannot be restarted.
    std::function<void(const Error&)> on_failure;
  };

  RaftDriver(asio::io_context& context, const raft::Options& options,
             raft::InitialState initial,
             std::unique_ptr<storage::LogStore> store,
             const CompactionLimits& limits, Callbacks callbacks);

  void Start();
  // No callback runs after this call.
  void Stop();

  // Handles a message from another member.
  void Step(const raft::Message& message);
  // The following calls return kUnavailable while the node is suspended, and
  // otherwise the result of the raft::Fsm function of the same name.
  Result<raft::Fsm::Proposal> Propose(std::string command);
  Result<raft::Fsm::Proposal> AddLearner(const raft::Member& member);
  Result<raft::Fsm::Proposal> PromoteLearner(raft::NodeId id);
  Result<raft::Fsm::Proposal> RemoveMember(raft::NodeId id);
  Result<void> TransferLeadership(raft::NodeId to);

  bool HasLeaderLease(MonotonicTime now) const {
    return fsm_.HasLeaderLease(now);
  }
  // True while the disk is full: the node takes no part in consensus until a
  // write succeeds.
  bool suspended() const { return unwritten_ready_.has_value(); }
  raft::Status GetStatus() const { return fsm_.GetStatus(); }
  // Writes a consistent copy of the store to `file`.
  Result<void> Backup(const std::filesystem::path& file) {
    return store_->Backup(file);
  }

 private:
  // Runs ProcessReady() in the next turn of the event loop.
  void ScheduleProcessing();
  void ProcessReady();
  // Sends, writes and applies the content of `ready`.
  // @return false when the store failed or is full.
  bool HandleReady(raft::Ready ready);
  // Writes and syncs `ready`. @return false when the store failed or is full;
  // `ready` may then be moved from.
  bool Write(raft::Ready& ready);
  // Sends the messages and applies the entries that had to wait for the sync.
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
  // Size of the latest snapshot in bytes.
  std::size_t snapshot_bytes_ = 0;
  bool commit_write_scheduled_ = false;
  // The write that failed because the disk was full; set while suspended.
  std::optional<raft::Ready> unwritten_ready_;
  bool processing_scheduled_ = false;
  bool stopped_ = false;
};

}  // namespace juniperway::control
