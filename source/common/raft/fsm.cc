#include "common/raft/fsm.h"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/raft/fsm_implementation.h"
#include "common/raft/quorum.h"

namespace juniperway::raft {
namespace {

// The base of the log in memory. Where entries behind the snapshot were kept,
// the first of them is the base.
Log MakeLog(const Snapshot& snapshot, std::vector<Entry> entries) {
  if (entries.empty() || entries.front().index > snapshot.index) {
    Log log(snapshot.index, snapshot.term);
    for (Entry& entry : entries) {
      log.Append(std::move(entry));
    }
    return log;
  }
  Log log(entries.front().index, entries.front().term);
  for (std::size_t i = 1; i < entries.size(); ++i) {
    log.Append(std::move(entries[i]));
  }
  CHECK_GE(log.last_index(), snapshot.index);
  return log;
}

}  // namespace

Fsm::Implementation::Implementation(const Options& options,
                                    InitialState initial, MonotonicTime now)
    : options_(options),
      random_(options.seed),
      hard_state_(initial.hard_state),
      snapshot_(std::move(initial.snapshot)),
      log_(MakeLog(snapshot_, std::move(initial.entries))),
      history_(snapshot_.index, snapshot_.configuration),
      commit_(std::max(snapshot_.index,
                       std::min(initial.commit, log_.last_index()))),
      persisted_(log_.last_index()),
      applied_(snapshot_.index),
      taken_hard_state_(hard_state_),
      taken_last_(log_.last_index()),
      taken_commit_(snapshot_.index),
      now_(now),
      votes_blocked_until_(now + options.election_timeout) {
  CHECK_NE(options_.id, kNoNode);
  CHECK_LT(options_.heartbeat_interval, options_.election_timeout);
  for (const Entry& entry :
       log_.Slice(snapshot_.index + 1, log_.last_index())) {
    if (entry.kind == EntryKind::kConfiguration) {
      history_.Append(entry.index, DecodeConfiguration(entry.data).value());
    }
  }
  ResetElectionDeadline(now);
}

void Fsm::Implementation::Tick(MonotonicTime now) {
  now_ = now;
  if (role_ != Role::kLeader) {
    if (now >= election_deadline_) {
      OnLeaderSilent(now);
    }
    return;
  }
  if (now < next_heartbeat_) {
    return;
  }
  if (!HearsQuorum(now)) {
    BecomeFollower(term(), kNoNode, now);
    return;
  }
  if (transfer_ && now >= transfer_->deadline) {
    transfer_.reset();
  }
  StartHeartbeatRound(now);
}

void Fsm::Implementation::OnLeaderSilent(MonotonicTime now) {
  if (MayCampaign()) {
    StartPreVote(now);
    return;
  }
  // A node without a vote may have been removed by a change that it missed.
  leader_ = kNoNode;
}

void Fsm::Implementation::Step(const Message& message, MonotonicTime now) {
  now_ = now;
  if (message.to != options_.id || message.from == options_.id ||
      IgnoresVoteRequest(message, now)) {
    return;
  }
  if (lost_data_ || (IsFirstStart() && !TakesAtFirstStart(message))) {
    return;
  }
  if (message.kind == MessageKind::kPreVote) {
    HandlePreVote(message);
    return;
  }
  const bool granted_pre_vote =
      message.kind == MessageKind::kPreVoteReply && !message.reject;
  if (granted_pre_vote) {
    HandlePreVoteReply(message, now);
    return;
  }
  if (message.term < term()) {
    AnswerStaleMessage(message);
    return;
  }
  if (message.term > term()) {
    BecomeFollower(message.term, kNoNode, now);
  }
  StepCurrentTerm(message, now);
}

void Fsm::Implementation::StepCurrentTerm(const Message& message,
                                          MonotonicTime now) {
  switch (message.kind) {
    case MessageKind::kPreVote:
      break;  // handled before the term rules
    case MessageKind::kPreVoteReply:
      HandlePreVoteReply(message, now);
      break;
    case MessageKind::kVote:
      HandleVote(message, now);
      break;
    case MessageKind::kVoteReply:
      HandleVoteReply(message, now);
      break;
    case MessageKind::kAppend:
      HandleAppend(message, now);
      break;
    case MessageKind::kAppendReply:
      HandleAppendReply(message, now);
      break;
    case MessageKind::kInstallSnapshot:
      HandleInstallSnapshot(message, now);
      break;
    case MessageKind::kInstallSnapshotReply:
      HandleInstallSnapshotReply(message, now);
      break;
    case MessageKind::kTimeoutNow:
      HandleTimeoutNow(message, now);
      break;
  }
}

bool Fsm::Implementation::MayCampaign() const {
  return IsActiveVoter() && !lost_data_;
}

bool Fsm::Implementation::IsActiveVoter() const {
  return IsVoter(configuration(), options_.id);
}

void Fsm::Implementation::Send(Message message) {
  message.from = options_.id;
  messages_.push_back(std::move(message));
}

Result<void> Fsm::Implementation::CheckAcceptsProposals() const {
  if (role_ != Role::kLeader) {
    return MakeError(ErrorCode::kNotLeader, "",
                     leader_ == kNoNode
                         ? "no leader is known"
                         : "node " + std::to_string(leader_) + " leads");
  }
  if (transfer_) {
    return MakeError(ErrorCode::kUnavailable, "",
                     "leadership is being handed over");
  }
  if (log_.last_index() - commit_ >= options_.maximum_uncommitted_entries) {
    return MakeError(ErrorCode::kUnavailable, "",
                     "too many commands wait to be committed");
  }
  return {};
}

Index Fsm::Implementation::AppendOwn(EntryKind kind, std::string data) {
  const Index index = log_.last_index() + 1;
  log_.Append(Entry{term(), index, kind, std::move(data)});
  return index;
}

Result<Fsm::Proposal> Fsm::Implementation::Propose(std::string command,
                                                   MonotonicTime now) {
  now_ = now;
  if (auto accepts = CheckAcceptsProposals(); !accepts) {
    return tl::unexpected(accepts.error());
  }
  return Proposal{AppendOwn(EntryKind::kCommand, std::move(command)), term()};
}

Ready Fsm::Implementation::TakeReady() {
  CHECK(!awaits_persisted_) << "Persisted() of the previous Ready is missing";
  Ready ready;
  ready.messages = std::exchange(messages_, {});
  if (role_ == Role::kLeader) {
    SendToPeers();
  }
  ready.appends = std::exchange(messages_, {});
  if (hard_state_ != taken_hard_state_) {
    ready.hard_state = hard_state_;
    taken_hard_state_ = hard_state_;
    // Nothing may show a term that this node could forget.
    std::move(ready.appends.begin(), ready.appends.end(),
              std::back_inserter(ready.messages));
    ready.appends.clear();
  }
  ready.snapshot = std::exchange(pending_snapshot_, std::nullopt);
  ready.entries = log_.Slice(taken_last_ + 1, log_.last_index());
  taken_last_ = log_.last_index();
  ready.committed = log_.Slice(taken_commit_ + 1, commit_);
  taken_commit_ = commit_;
  ready.commit = commit_;
  awaits_persisted_ = ready.snapshot || !ready.entries.empty();
  return ready;
}

void Fsm::Implementation::Persisted(Index last, MonotonicTime now) {
  now_ = now;
  awaits_persisted_ = false;
  // Entries may have been truncated since they were handed out.
  persisted_ = std::max(persisted_, std::min(last, taken_last_));
  if (role_ == Role::kLeader) {
    CommitByQuorum();
  }
}

void Fsm::Implementation::Applied(Index index) {
  CHECK_LE(index, taken_commit_);
  applied_ = std::max(applied_, index);
}

Result<Snapshot> Fsm::Implementation::MakeSnapshot(Index index,
                                                   std::string data) const {
  CHECK_LE(index, applied_);
  const std::optional<Term> term = log_.TermAt(index);
  if (!term) {
    return MakeError(ErrorCode::kConflict, "index",
                     "a later snapshot is held already");
  }
  return Snapshot{index, *term, history_.At(index), std::move(data)};
}

void Fsm::Implementation::Compacted(Snapshot snapshot) {
  CHECK_LE(snapshot.index, applied_);
  if (snapshot.index <= snapshot_.index) {
    return;
  }
  const Index kept = std::min<Index>(options_.kept_entries, snapshot.index);
  log_.CompactTo(snapshot.index - kept);
  history_.CompactTo(snapshot.index);
  snapshot_ = std::move(snapshot);
}

MonotonicTime Fsm::Implementation::NextDeadline() const {
  if (role_ == Role::kLeader) {
    return next_heartbeat_;
  }
  const bool awaits_leader = MayCampaign() || leader_ != kNoNode;
  return awaits_leader ? election_deadline_ : MonotonicTime::max();
}

Status Fsm::Implementation::GetStatus() const {
  Status status;
  status.id = options_.id;
  status.role = role_;
  status.leader = leader_;
  status.term = term();
  status.commit = commit_;
  status.applied = applied_;
  status.last = log_.last_index();
  status.configuration = configuration();
  status.configuration_index = history_.latest_index();
  if (role_ != Role::kLeader) {
    return status;
  }
  const auto add = [&](const Member& member, bool voter) {
    const auto found = peers_.find(member.id);
    if (found == peers_.end()) {
      return;
    }
    const PeerProgress& peer = found->second;
    status.progress.push_back({member, voter, peer.match,
                               peer.IsActive(now_, options_.election_timeout),
                               peer.IsCaughtUp(), peer.regressed});
  };
  for (const Member& member : status.configuration.voters) {
    add(member, true);
  }
  for (const Member& member : status.configuration.learners) {
    add(member, false);
  }
  status.tolerated_losses = CountToleratedLosses();
  return status;
}

Fsm::Fsm(const Options& options, InitialState initial, MonotonicTime now)
    : implementation_(
          std::make_unique<Implementation>(options, std::move(initial), now)) {}
Fsm::~Fsm() = default;

void Fsm::Tick(MonotonicTime now) { implementation_->Tick(now); }
void Fsm::Step(const Message& message, MonotonicTime now) {
  implementation_->Step(message, now);
}
Result<Fsm::Proposal> Fsm::Propose(std::string command, MonotonicTime now) {
  return implementation_->Propose(std::move(command), now);
}
Result<Fsm::Proposal> Fsm::AddLearner(const Member& member, MonotonicTime now) {
  return implementation_->AddLearner(member, now);
}
Result<Fsm::Proposal> Fsm::PromoteLearner(NodeId id, MonotonicTime now) {
  return implementation_->PromoteLearner(id, now);
}
Result<Fsm::Proposal> Fsm::RemoveMember(NodeId id, MonotonicTime now) {
  return implementation_->RemoveMember(id, now);
}
Result<void> Fsm::TransferLeadership(NodeId to, MonotonicTime now) {
  return implementation_->TransferLeadership(to, now);
}
Ready Fsm::TakeReady() { return implementation_->TakeReady(); }
void Fsm::Persisted(Index last, MonotonicTime now) {
  implementation_->Persisted(last, now);
}
void Fsm::Applied(Index index) { implementation_->Applied(index); }
Result<Snapshot> Fsm::MakeSnapshot(Index index, std::string data) const {
  return implementation_->MakeSnapshot(index, std::move(data));
}
void Fsm::Compacted(Snapshot snapshot) {
  implementation_->Compacted(std::move(snapshot));
}
bool Fsm::HasLeaderLease(MonotonicTime now) const {
  return implementation_->HasLeaderLease(now);
}
bool Fsm::HasLostData() const { return implementation_->HasLostData(); }
MonotonicTime Fsm::NextDeadline() const {
  return implementation_->NextDeadline();
}
Status Fsm::GetStatus() const { return implementation_->GetStatus(); }

}  // namespace juniperway::raft
