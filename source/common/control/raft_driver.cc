#include "common/control/raft_driver.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "common/control/events.h"
#include "common/storage/events.h"

namespace juniperway::control {
namespace {

// Maximum delay of the timer when the state machine has no earlier deadline.
constexpr Duration kMaximumTimerDelay = seconds(1);
constexpr Duration kCommitWriteDelay = milliseconds(100);
constexpr Duration kFullDiskRetryInterval = milliseconds(200);
// At a restart, applying one log entry takes about as long as reading this many
// bytes of a snapshot.
constexpr std::size_t kSnapshotBytesPerEntry = 1024;

}  // namespace

bool IsCompactionDue(const CompactionLimits& limits, std::size_t log_bytes,
                     std::size_t log_entries, std::size_t snapshot_bytes) {
  return log_entries > 0 &&
         (log_bytes >= std::max(limits.bytes, snapshot_bytes) ||
          log_entries >= std::max(limits.entries,
                                  snapshot_bytes / kSnapshotBytesPerEntry));
}

RaftDriver::RaftDriver(asio::io_context& context, const raft::Options& options,
                       raft::InitialState initial,
                       std::unique_ptr<storage::LogStore> store,
                       const CompactionLimits& limits, Callbacks callbacks)
    : context_(context),
      timer_(context),
      commit_timer_(context),
      id_(options.id),
      store_(std::move(store)),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      fsm_(options, std::move(initial), ReadMonotonicClock()),
      applied_(fsm_.GetStatus().applied) {}

void RaftDriver::Start() { ScheduleProcessing(); }

void RaftDriver::Stop() {
  stopped_ = true;
  timer_.cancel();
  commit_timer_.cancel();
  callbacks_ = {};
}

void RaftDriver::Step(const raft::Message& message) {
  if (suspended()) {
    return;  // Handled like a lost message: the node cannot answer it.
  }
  fsm_.Step(message, ReadMonotonicClock());
  ScheduleProcessing();
}

Result<raft::Fsm::Proposal> RaftDriver::Propose(std::string command) {
  if (auto running = CheckNotSuspended(); !running) {
    return tl::unexpected(running.error());
  }
  auto proposal = fsm_.Propose(std::move(command), ReadMonotonicClock());
  ScheduleProcessing();
  return proposal;
}

Result<raft::Fsm::Proposal> RaftDriver::AddLearner(const raft::Member& member) {
  if (auto running = CheckNotSuspended(); !running) {
    return tl::unexpected(running.error());
  }
  auto proposal = fsm_.AddLearner(member, ReadMonotonicClock());
  ScheduleProcessing();
  return proposal;
}

Result<raft::Fsm::Proposal> RaftDriver::PromoteLearner(raft::NodeId id) {
  if (auto running = CheckNotSuspended(); !running) {
    return tl::unexpected(running.error());
  }
  auto proposal = fsm_.PromoteLearner(id, ReadMonotonicClock());
  ScheduleProcessing();
  return proposal;
}

Result<raft::Fsm::Proposal> RaftDriver::RemoveMember(raft::NodeId id) {
  if (auto running = CheckNotSuspended(); !running) {
    return tl::unexpected(running.error());
  }
  auto proposal = fsm_.RemoveMember(id, ReadMonotonicClock());
  ScheduleProcessing();
  return proposal;
}

Result<void> RaftDriver::TransferLeadership(raft::NodeId to) {
  if (auto running = CheckNotSuspended(); !running) {
    return tl::unexpected(running.error());
  }
  auto result = fsm_.TransferLeadership(to, ReadMonotonicClock());
  ScheduleProcessing();
  return result;
}

void RaftDriver::ScheduleProcessing() {
  if (processing_scheduled_ || stopped_) {
    return;
  }
  processing_scheduled_ = true;
  asio::post(context_, [self = shared_from_this()] {
    self->processing_scheduled_ = false;
    self->ProcessReady();
  });
}

void RaftDriver::ProcessReady() {
  if (stopped_ || suspended()) {
    return;
  }
  for (raft::Ready ready = fsm_.TakeReady(); !ready.empty();
       ready = fsm_.TakeReady()) {
    if (!HandleReady(std::move(ready)) || stopped_) {
      return;
    }
  }
  if (fsm_.HasLostData()) {
    logging::LogEvent(storage::kDataLost, {{"node", id_}});
    Fail({ErrorCode::kCorrupt, "data_folder",
          "holds no state, but the group has this node as a voter: its disk "
          "was lost; replace the node under a new node_id"});
    return;
  }
  CompactIfLarge();
  if (stopped_) {
    return;
  }
  callbacks_.on_change();
  ArmTimer();
}

bool RaftDriver::HandleReady(raft::Ready ready) {
  callbacks_.send(std::move(ready.appends));
  ready.appends.clear();
  if (!Write(ready)) {
    return false;
  }
  OnWritten(std::move(ready));
  return true;
}

bool RaftDriver::Write(raft::Ready& ready) {
  const bool has_durable_data =
      ready.hard_state || ready.snapshot || !ready.entries.empty();
  if (!has_durable_data) {
    return true;
  }
  const Result<void> written = store_->Write(ready);
  if (written) {
    return true;
  }
  if (written.error().code == ErrorCode::kNoSpace) {
    Suspend(std::move(ready), written.error());
  } else {
    Fail(written.error());
  }
  return false;
}

void RaftDriver::Suspend(raft::Ready ready, const Error& error) {
  if (!suspended()) {
    logging::LogEvent(kStoreFull,
                      {{"node", id_}, {"error", FormatError(error)}});
  }
  unwritten_ready_ = std::move(ready);
  callbacks_.on_change();
  timer_.expires_after(kFullDiskRetryInterval);
  timer_.async_wait([self = shared_from_this()](const asio::error_code& e) {
    if (!e && !self->stopped_) {
      self->RetryWrite();
    }
  });
}

void RaftDriver::RetryWrite() {
  raft::Ready ready = *unwritten_ready_;
  if (!Write(ready)) {
    return;
  }
  unwritten_ready_.reset();
  logging::LogEvent(kStoreWritable, {{"node", id_}});
  OnWritten(std::move(ready));
  fsm_.Tick(ReadMonotonicClock());
  ProcessReady();
}

Result<void> RaftDriver::CheckNotSuspended() const {
  if (suspended()) {
    return MakeError(ErrorCode::kUnavailable, "",
                     "the disk of this control node is full");
  }
  return {};
}

void RaftDriver::OnWritten(raft::Ready ready) {
  if (!ready.entries.empty()) {
    fsm_.Persisted(ready.entries.back().index, ReadMonotonicClock());
  } else if (ready.snapshot) {
    fsm_.Persisted(ready.snapshot->index, ReadMonotonicClock());
  }
  callbacks_.send(std::move(ready.messages));
  if (ready.snapshot) {
    logging::LogEvent(kSnapshotInstalled,
                      {{"node", id_}, {"index", ready.snapshot->index}});
    callbacks_.install(*ready.snapshot);
    snapshot_bytes_ = ready.snapshot->data.size();
    applied_ = ready.snapshot->index;
    fsm_.Applied(applied_);
    bytes_since_snapshot_ = 0;
    entries_since_snapshot_ = 0;
  }
  Apply(ready.committed);
}

void RaftDriver::Apply(const std::vector<raft::Entry>& committed) {
  for (const raft::Entry& entry : committed) {
    callbacks_.apply(entry);
    applied_ = entry.index;
    bytes_since_snapshot_ += entry.data.size();
    ++entries_since_snapshot_;
  }
  if (!committed.empty()) {
    fsm_.Applied(applied_);
    ScheduleCommitIndexWrite();
  }
}

// The next write also stores the latest commit index. When no write follows
// within the delay, the driver writes the commit index alone.
void RaftDriver::ScheduleCommitIndexWrite() {
  if (commit_write_scheduled_) {
    return;
  }
  commit_write_scheduled_ = true;
  commit_timer_.expires_after(kCommitWriteDelay);
  commit_timer_.async_wait([self = shared_from_this()](const auto& error) {
    self->commit_write_scheduled_ = false;
    if (!error && !self->stopped_ && !self->suspended()) {
      self->WriteCommitIndex();
    }
  });
}

void RaftDriver::WriteCommitIndex() {
  raft::Ready commit_update;
  commit_update.commit = applied_;
  const Result<void> written = store_->Write(commit_update);
  if (!written && written.error().code != ErrorCode::kNoSpace) {
    Fail(written.error());
  }
}

void RaftDriver::CompactIfLarge() {
  if (!IsCompactionDue(limits_, bytes_since_snapshot_, entries_since_snapshot_,
                       snapshot_bytes_)) {
    return;
  }
  Result<raft::Snapshot> made =
      fsm_.MakeSnapshot(applied_, callbacks_.encode_state());
  if (!made) {
    return;  // The leader's newer snapshot was installed meanwhile.
  }
  raft::Snapshot snapshot = std::move(*made);
  if (auto stored = store_->Compact(snapshot, limits_.kept_entries); !stored) {
    if (stored.error().code != ErrorCode::kNoSpace) {
      Fail(stored.error());
    }
    return;  // The disk is full; the next ProcessReady() retries.
  }
  logging::LogEvent(kLogCompacted, {{"node", id_},
                                    {"index", snapshot.index},
                                    {"bytes", snapshot.data.size()}});
  snapshot_bytes_ = snapshot.data.size();
  fsm_.Compacted(std::move(snapshot));
  bytes_since_snapshot_ = 0;
  entries_since_snapshot_ = 0;
}

void RaftDriver::ArmTimer() {
  const MonotonicTime now = ReadMonotonicClock();
  const MonotonicTime deadline =
      std::min(fsm_.NextDeadline(), now + kMaximumTimerDelay);
  timer_.expires_after(std::max(Duration(deadline - now), Duration(0)));
  timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (error || self->stopped_) {
      return;
    }
    self->fsm_.Tick(ReadMonotonicClock());
    self->ProcessReady();
  });
}

void RaftDriver::Fail(const Error& error) {
  logging::LogEvent(kStoreFailed,
                    {{"node", id_}, {"error", FormatError(error)}});
  const auto on_failure = callbacks_.on_failure;
  Stop();
  on_failure(error);
}

}  // namespace juniperway::control
