// One-at-a-time membership change. Two consecutive configurations differ by at
// most one voter, so any quorum of one meets any quorum of the other.
#include "common/raft/fsm_implementation.h"
#include "common/raft/quorum.h"

namespace juniperway::raft {

Result<Fsm::Proposal> Fsm::Implementation::AddLearner(const Member& member,
                                                      MonotonicTime now) {
  now_ = now;
  if (auto accepts = CheckAcceptsChange(); !accepts) {
    return tl::unexpected(accepts.error());
  }
  if (member.id == kNoNode) {
    return MakeError(ErrorCode::kInvalidArgument, "node_id", "must not be 0");
  }
  if (IsMember(configuration(), member.id)) {
    return MakeError(ErrorCode::kConflict, "node_id", "is a member already");
  }
  return AppendChange(WithLearner(configuration(), member));
}

Result<Fsm::Proposal> Fsm::Implementation::PromoteLearner(NodeId id,
                                                          MonotonicTime now) {
  now_ = now;
  if (auto accepts = CheckAcceptsChange(); !accepts) {
    return tl::unexpected(accepts.error());
  }
  if (!IsLearner(configuration(), id)) {
    return MakeError(ErrorCode::kNotFound, "node_id", "is no learner");
  }
  const PeerProgress& peer = peers_.at(id);
  if (!peer.IsActive(now, options_.election_timeout) || !peer.IsCaughtUp()) {
    return MakeError(ErrorCode::kUnavailable, "node_id",
                     "the learner has not caught up");
  }
  return AppendChange(WithPromotion(configuration(), id));
}

Result<Fsm::Proposal> Fsm::Implementation::RemoveMember(NodeId id,
                                                        MonotonicTime now) {
  now_ = now;
  if (auto accepts = CheckAcceptsChange(); !accepts) {
    return tl::unexpected(accepts.error());
  }
  if (!IsMember(configuration(), id)) {
    return MakeError(ErrorCode::kNotFound, "node_id", "is no member");
  }
  if (id == options_.id) {
    return MakeError(ErrorCode::kConflict, "node_id",
                     "leads now; transfer leadership first");
  }
  const Configuration changed = WithoutMember(configuration(), id);
  if (CountHealthyVoters(changed, now) < QuorumSize(changed.voters.size())) {
    return MakeError(ErrorCode::kUnavailable, "node_id",
                     "too few voters would be left that are caught up");
  }
  return AppendChange(changed);
}

Result<void> Fsm::Implementation::CheckAcceptsChange() const {
  if (auto accepts = CheckAcceptsProposals(); !accepts) {
    return accepts;
  }
  // Before an entry of its own term is committed, a leader can't know whether
  // an earlier leader's change is (the flaw in the first published form of
  // single-server changes).
  if (commit_ < first_own_index_) {
    return MakeError(ErrorCode::kUnavailable, "",
                     "this leader has not committed an entry yet");
  }
  if (history_.latest_index() > commit_) {
    return MakeError(ErrorCode::kConflict, "",
                     "another membership change is pending");
  }
  return {};
}

Fsm::Proposal Fsm::Implementation::AppendChange(
    const Configuration& configuration) {
  const Index index =
      AppendOwn(EntryKind::kConfiguration, EncodeConfiguration(configuration));
  history_.Append(index, configuration);
  UpdatePeers();
  return Proposal{index, term()};
}

}  // namespace juniperway::raft
