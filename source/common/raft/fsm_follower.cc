// A follower's side of replication: appends, heartbeats and snapshots.
#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "common/raft/fsm_implementation.h"

namespace juniperway::raft {
namespace {

// True if the entries can follow (`index`, `term`) in a log of the leader's
// term, and their configurations are readable.
bool AreWellFormed(const Message& message) {
  Index index = message.index;
  Term term = message.log_term;
  for (const Entry& entry : message.entries) {
    if (entry.index != index + 1 || entry.term < term ||
        entry.term > message.term) {
      return false;
    }
    if (entry.kind == EntryKind::kConfiguration &&
        !DecodeConfiguration(entry.data)) {
      return false;
    }
    index = entry.index;
    term = entry.term;
  }
  return true;
}

}  // namespace

void Fsm::Implementation::HearLeader(NodeId leader, MonotonicTime now) {
  // Two leaders of one term would break election safety.
  CHECK(role_ != Role::kLeader);
  BecomeFollower(term(), leader, now);
  ResetElectionDeadline(now);
  votes_blocked_until_ = now + options_.election_timeout;
}

void Fsm::Implementation::ReplyToAppend(const Message& message, Index index,
                                        bool reject) {
  Message reply;
  reply.kind = MessageKind::kAppendReply;
  reply.to = message.from;
  reply.term = term();
  reply.index = index;
  reply.log_term = log_.TermAt(index).value_or(0);
  reply.reject = reject;
  reply.round = message.round;
  Send(std::move(reply));
}

void Fsm::Implementation::HandleAppend(const Message& message,
                                       MonotonicTime now) {
  if (!AreWellFormed(message)) {
    return;
  }
  HearLeader(message.from, now);
  if (message.index < commit_) {
    // Late or repeated: all that is committed agrees with the leader.
    ReplyToAppend(message, commit_, /*reject=*/false);
    return;
  }
  if (log_.TermAt(message.index) != message.log_term) {
    const Index hint = log_.FindLastNotAfter(message.index, message.log_term);
    ReplyToAppend(message, hint, /*reject=*/true);
    return;
  }
  AppendFromLeader(message.entries);
  const Index last_new = message.index + message.entries.size();
  AdvanceCommit(std::min(message.commit, last_new));
  ReplyToAppend(message, last_new, /*reject=*/false);
}

void Fsm::Implementation::AppendFromLeader(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    if (log_.TermAt(entry.index) == entry.term) {
      continue;  // held already
    }
    if (entry.index <= log_.last_index()) {
      CHECK_GT(entry.index, commit_) << "a committed entry would be lost";
      log_.TruncateFrom(entry.index);
      history_.TruncateFrom(entry.index);
      taken_last_ = std::min(taken_last_, entry.index - 1);
      persisted_ = std::min(persisted_, entry.index - 1);
    }
    log_.Append(entry);
    if (entry.kind == EntryKind::kConfiguration) {
      history_.Append(entry.index, DecodeConfiguration(entry.data).value());
    }
  }
}

void Fsm::Implementation::AdvanceCommit(Index index) {
  commit_ = std::max(commit_, index);
}

void Fsm::Implementation::HandleInstallSnapshot(const Message& message,
                                                MonotonicTime now) {
  if (!message.snapshot) {
    return;
  }
  HearLeader(message.from, now);
  const Snapshot& snapshot = *message.snapshot;
  if (snapshot.index > commit_) {
    if (log_.TermAt(snapshot.index) == snapshot.term) {
      AdvanceCommit(snapshot.index);
    } else {
      RestoreSnapshot(snapshot);
    }
  }
  Message reply;
  reply.kind = MessageKind::kInstallSnapshotReply;
  reply.to = message.from;
  reply.term = term();
  reply.index = commit_;
  reply.round = message.round;
  Send(std::move(reply));
}

void Fsm::Implementation::RestoreSnapshot(const Snapshot& snapshot) {
  log_.Reset(snapshot.index, snapshot.term);
  history_ = ConfigurationHistory(snapshot.index, snapshot.configuration);
  commit_ = snapshot.index;
  persisted_ = 0;
  taken_last_ = snapshot.index;
  taken_commit_ = snapshot.index;
  snapshot_ = snapshot;
  pending_snapshot_ = snapshot;
}

}  // namespace juniperway::raft
