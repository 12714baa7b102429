// The leader's log to its peers. Appends are built when a Ready is taken, so
// that commands proposed in between share one append.
#include <algorithm>
#include <utility>

#include "common/raft/fsm_implementation.h"
#include "common/raft/quorum.h"

namespace juniperway::raft {
namespace {

// A snapshot without an answer is sent again after this many election timeouts.
constexpr int kSnapshotRetryTimeouts = 2;

}  // namespace

PeerProgress* Fsm::Implementation::HearPeer(const Message& message,
                                            MonotonicTime now) {
  if (role_ != Role::kLeader) {
    return nullptr;
  }
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) {
    return nullptr;
  }
  PeerProgress& peer = found->second;
  peer.last_heard = now;
  const auto round = std::find_if(rounds_.begin(), rounds_.end(),
                                  [&](const HeartbeatRound& candidate) {
                                    return candidate.number == message.round;
                                  });
  const bool newer = round != rounds_.end() &&
                     (!peer.answered || peer.answered->number < round->number);
  if (newer) {
    peer.answered = *round;
  }
  return &peer;
}

void Fsm::Implementation::HandleAppendReply(const Message& message,
                                            MonotonicTime now) {
  PeerProgress* peer = HearPeer(message, now);
  if (peer == nullptr || message.index > log_.last_index()) {
    return;
  }
  if (message.reject) {
    HandleRejection(*peer, message);
  } else {
    HandleMatch(*peer, message.index, now);
  }
}

void Fsm::Implementation::HandleRejection(PeerProgress& peer,
                                          const Message& message) {
  if (message.index < peer.match) {
    // A late message, or a lost disk. The next acknowledgement tells.
    peer.regressed = true;
    return;
  }
  if (peer.state == PeerState::kSnapshot) {
    return;
  }
  const Index agreed = log_.FindLastNotAfter(message.index, message.log_term);
  peer.BecomeProbe(std::clamp(agreed + 1, peer.match + 1, peer.next));
}

void Fsm::Implementation::HandleMatch(PeerProgress& peer, Index match,
                                      MonotonicTime now) {
  if (match < peer.match) {
    return;
  }
  peer.match = match;
  peer.regressed = false;
  peer.next = std::max(peer.next, match + 1);
  while (!peer.in_flight.empty() && peer.in_flight.front() <= match) {
    peer.in_flight.pop_front();
  }
  const bool still_needs_snapshot =
      peer.state == PeerState::kSnapshot && match < peer.snapshot_index;
  if (!still_needs_snapshot && peer.state != PeerState::kReplicate) {
    peer.BecomeReplicate();
  }
  CommitByQuorum();
  FinishTransferIfReady(now);
}

void Fsm::Implementation::HandleInstallSnapshotReply(const Message& message,
                                                     MonotonicTime now) {
  HandleAppendReply(message, now);
}

void Fsm::Implementation::CommitByQuorum() {
  std::vector<Index> matches;
  for (const Member& voter : configuration().voters) {
    if (voter.id == options_.id) {
      matches.push_back(persisted_);
      continue;
    }
    const PeerProgress& peer = peers_.at(voter.id);
    matches.push_back(peer.regressed ? 0 : peer.match);
  }
  const Index agreed = QuorumValue(std::move(matches));
  if (agreed >= first_own_index_) {
    AdvanceCommit(agreed);
  }
}

void Fsm::Implementation::SendToPeers() {
  for (auto& [id, peer] : peers_) {
    SendToPeer(id, peer);
  }
}

bool Fsm::Implementation::MaySendEntries(const PeerProgress& peer) const {
  switch (peer.state) {
    case PeerState::kProbe:
      return !peer.probe_sent;
    case PeerState::kReplicate:
      return peer.in_flight.size() < options_.maximum_appends_in_flight;
    case PeerState::kSnapshot:
      return false;
  }
  return false;
}

void Fsm::Implementation::SendToPeer(NodeId id, PeerProgress& peer) {
  const bool needs_snapshot =
      peer.state != PeerState::kSnapshot && peer.next <= log_.base_index();
  const bool retries_snapshot =
      peer.state == PeerState::kSnapshot &&
      now_ - peer.snapshot_sent_at >=
          options_.election_timeout * kSnapshotRetryTimeouts;
  if (needs_snapshot || retries_snapshot) {
    SendSnapshot(id, peer);
  }
  bool sent = false;
  while (MaySendEntries(peer) && peer.next <= log_.last_index()) {
    SendAppend(id, peer,
               log_.SliceWithin(peer.next, options_.maximum_entries_per_append,
                                options_.maximum_bytes_per_append));
    sent = true;
  }
  const bool tells_commit =
      peer.state == PeerState::kReplicate && peer.sent_commit < commit_;
  if (!sent && (peer.heartbeat_due || tells_commit)) {
    SendAppend(id, peer, {});
  }
  peer.heartbeat_due = false;
}

void Fsm::Implementation::SendAppend(NodeId id, PeerProgress& peer,
                                     std::vector<Entry> entries) {
  Message append;
  append.kind = MessageKind::kAppend;
  append.to = id;
  append.term = term();
  // While a snapshot is under way this is a bare heartbeat: every log agrees at
  // index 0, before its first entry.
  if (peer.state != PeerState::kSnapshot) {
    append.index = peer.next - 1;
    append.log_term = log_.TermAt(append.index).value_or(0);
  }
  append.commit = commit_;
  append.receiver_votes = IsVoter(configuration(), id);
  append.round = rounds_.back().number;
  append.entries = std::move(entries);
  peer.sent_commit = commit_;
  if (!append.entries.empty()) {
    if (peer.state == PeerState::kReplicate) {
      peer.next = append.entries.back().index + 1;
      peer.in_flight.push_back(append.entries.back().index);
    } else {
      peer.probe_sent = true;
    }
  }
  Send(std::move(append));
}

void Fsm::Implementation::SendSnapshot(NodeId id, PeerProgress& peer) {
  peer.state = PeerState::kSnapshot;
  peer.in_flight.clear();
  peer.snapshot_index = snapshot_.index;
  peer.snapshot_sent_at = now_;
  if (snapshot_.data.empty()) {
    return;  // nothing that could restore a state machine
  }
  Message install;
  install.kind = MessageKind::kInstallSnapshot;
  install.to = id;
  install.term = term();
  install.receiver_votes = IsVoter(configuration(), id);
  install.round = rounds_.back().number;
  install.snapshot = snapshot_;
  Send(std::move(install));
}

}  // namespace juniperway::raft
