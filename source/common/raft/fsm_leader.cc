// Leading: heartbeats, check-quorum, the lease and the hand-over.
#include <algorithm>

#include "common/raft/fsm_implementation.h"
#include "common/raft/quorum.h"

namespace juniperway::raft {

void Fsm::Implementation::BecomeLeader(MonotonicTime now) {
  role_ = Role::kLeader;
  leader_ = options_.id;
  led_since_ = now;
  peers_.clear();
  rounds_.clear();
  UpdatePeers();
  // Entries of earlier terms are committed only through one of this term.
  first_own_index_ = AppendOwn(EntryKind::kNoOperation, "");
  StartHeartbeatRound(now);
}

void Fsm::Implementation::UpdatePeers() {
  std::erase_if(peers_, [this](const auto& peer) {
    return !IsMember(configuration(), peer.first);
  });
  const auto add = [this](const std::vector<Member>& members) {
    for (const Member& member : members) {
      if (member.id == options_.id || peers_.contains(member.id)) {
        continue;
      }
      PeerProgress peer;
      peer.next = log_.last_index() + 1;
      peers_.emplace(member.id, std::move(peer));
    }
  };
  add(configuration().voters);
  add(configuration().learners);
}

void Fsm::Implementation::StartHeartbeatRound(MonotonicTime now) {
  const std::uint64_t number = rounds_.empty() ? 1 : rounds_.back().number + 1;
  rounds_.push_back({number, now, std::max(commit_, first_own_index_)});
  while (now - rounds_.front().sent_at > options_.election_timeout) {
    rounds_.pop_front();
  }
  for (auto& [id, peer] : peers_) {
    peer.heartbeat_due = true;
  }
  next_heartbeat_ = now + options_.heartbeat_interval;
}

bool Fsm::Implementation::HearsQuorum(MonotonicTime now) const {
  std::set<NodeId> heard = {options_.id};
  for (const auto& [id, peer] : peers_) {
    const MonotonicTime since =
        std::max(led_since_, peer.last_heard.value_or(led_since_));
    if (now - since < options_.election_timeout) {
      heard.insert(id);
    }
  }
  return HasQuorumOf(heard);
}

bool Fsm::Implementation::HasLeaderLease(MonotonicTime now) const {
  if (role_ != Role::kLeader || applied_ < first_own_index_) {
    return false;
  }
  // When each voter was last sent a heartbeat that it answered. It helps to
  // elect nobody else for an election timeout, on its clock, from then.
  std::vector<MonotonicTime> answered;
  for (const Member& voter : configuration().voters) {
    if (voter.id == options_.id) {
      answered.push_back(now);
      continue;
    }
    const auto& latest = peers_.at(voter.id).answered;
    answered.push_back(latest ? latest->sent_at : MonotonicTime::min());
  }
  const auto timeout = static_cast<double>(options_.election_timeout.count());
  const Duration lease(static_cast<Duration::rep>(
      timeout * (1.0 - options_.maximum_clock_drift)));
  const MonotonicTime since = QuorumValue(std::move(answered));
  return since != MonotonicTime::min() && now < since + lease;
}

std::size_t Fsm::Implementation::CountHealthyVoters(
    const Configuration& configuration, MonotonicTime now) const {
  std::size_t healthy = 0;
  for (const Member& voter : configuration.voters) {
    if (voter.id == options_.id) {
      ++healthy;
      continue;
    }
    // A voter that a pending change removes is no peer any more.
    const auto peer = peers_.find(voter.id);
    if (peer != peers_.end() &&
        peer->second.IsActive(now, options_.election_timeout) &&
        peer->second.IsCaughtUp()) {
      ++healthy;
    }
  }
  return healthy;
}

int Fsm::Implementation::CountToleratedLosses() const {
  const auto count = [this](const Configuration& configuration) {
    return static_cast<int>(CountHealthyVoters(configuration, now_)) -
           static_cast<int>(QuorumSize(configuration.voters.size()));
  };
  // Until a change is committed, a loss may take it back: the group must be
  // able to go on with either configuration.
  return std::min(count(configuration()), count(history_.At(commit_)));
}

Result<void> Fsm::Implementation::TransferLeadership(NodeId to,
                                                     MonotonicTime now) {
  now_ = now;
  if (auto accepts = CheckAcceptsProposals(); !accepts) {
    return accepts;
  }
  if (to == options_.id || !IsVoter(configuration(), to)) {
    return MakeError(ErrorCode::kInvalidArgument, "to",
                     "must name another voter");
  }
  const PeerProgress& peer = peers_.at(to);
  if (!peer.IsActive(now, options_.election_timeout) || !peer.IsCaughtUp()) {
    return MakeError(ErrorCode::kUnavailable, "to",
                     "that voter is silent or has not caught up");
  }
  transfer_ = Transfer{to, now + options_.election_timeout};
  FinishTransferIfReady(now);
  return {};
}

void Fsm::Implementation::FinishTransferIfReady(MonotonicTime now) {
  if (!transfer_ || peers_.at(transfer_->to).match < log_.last_index()) {
    return;
  }
  Message order;
  order.kind = MessageKind::kTimeoutNow;
  order.to = transfer_->to;
  order.term = term();
  Send(std::move(order));
  // The order may take effect at any later time, lease or not. So this node
  // can't lead on in this term.
  BecomeFollower(term(), kNoNode, now);
}

}  // namespace juniperway::raft
