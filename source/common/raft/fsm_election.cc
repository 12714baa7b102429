// Terms, votes and roles. Pre-vote keeps a node that was cut off from forcing a
// new term on a working group; nodes that hear a leader help to elect nobody.
#include <algorithm>

#include "common/raft/fsm_implementation.h"
#include "common/raft/quorum.h"

namespace juniperway::raft {

bool Fsm::Implementation::IgnoresVoteRequest(const Message& message,
                                             MonotonicTime now) const {
  const bool asks_for_vote = message.kind == MessageKind::kPreVote ||
                             message.kind == MessageKind::kVote;
  if (!asks_for_vote) {
    return false;
  }
  if (configuration().voters.empty()) {
    return true;  // Not a member yet, whatever the candidate's log says.
  }
  if (message.leadership_transfer) {
    return false;
  }
  return role_ == Role::kLeader || now < votes_blocked_until_;
}

void Fsm::Implementation::AnswerStaleMessage(const Message& message) {
  Message reply;
  switch (message.kind) {
    case MessageKind::kVote:
      reply.kind = MessageKind::kVoteReply;
      break;
    case MessageKind::kAppend:
    case MessageKind::kInstallSnapshot:
      // Makes a leader of an older term stop, and a node that ran ahead of the
      // group's term be heard again.
      reply.kind = MessageKind::kAppendReply;
      break;
    default:
      return;
  }
  reply.to = message.from;
  reply.term = term();
  reply.reject = true;
  Send(std::move(reply));
}

void Fsm::Implementation::ResetElectionDeadline(MonotonicTime now) {
  std::uniform_int_distribution<Duration::rep> extra(
      0, options_.election_timeout.count() - 1);
  election_deadline_ =
      now + options_.election_timeout + Duration(extra(random_));
}

void Fsm::Implementation::BecomeFollower(Term term, NodeId leader,
                                         MonotonicTime now) {
  if (term > hard_state_.term) {
    hard_state_ = HardState{term, kNoNode};
  }
  if (role_ != Role::kFollower) {
    ResetElectionDeadline(now);
  }
  role_ = Role::kFollower;
  leader_ = leader;
  peers_.clear();
  rounds_.clear();
  transfer_.reset();
}

void Fsm::Implementation::StartPreVote(MonotonicTime now) {
  role_ = Role::kPreCandidate;
  leader_ = kNoNode;
  ResetElectionDeadline(now);
  granted_ = {options_.id};
  refused_.clear();
  if (WinsElection()) {
    StartElection(/*transfer=*/false, now);
    return;
  }
  AskForVotes(MessageKind::kPreVote, term() + 1, /*transfer=*/false);
}

void Fsm::Implementation::StartElection(bool transfer, MonotonicTime now) {
  role_ = Role::kCandidate;
  leader_ = kNoNode;
  hard_state_ = HardState{term() + 1, options_.id};
  ResetElectionDeadline(now);
  granted_ = {options_.id};
  refused_.clear();
  if (WinsElection()) {
    BecomeLeader(now);
    return;
  }
  AskForVotes(MessageKind::kVote, term(), transfer);
}

void Fsm::Implementation::AskForVotes(MessageKind kind, Term term,
                                      bool transfer) {
  for (const Member& voter : configuration().voters) {
    if (voter.id == options_.id) {
      continue;
    }
    Message request;
    request.kind = kind;
    request.to = voter.id;
    request.term = term;
    request.index = log_.last_index();
    request.log_term = log_.last_term();
    request.leadership_transfer = transfer;
    Send(std::move(request));
  }
}

void Fsm::Implementation::HandlePreVote(const Message& message) {
  const bool grant =
      message.term > term() && log_.IsUpToDate(message.index, message.log_term);
  Message reply;
  reply.kind = MessageKind::kPreVoteReply;
  reply.to = message.from;
  reply.term = grant ? message.term : term();
  reply.reject = !grant;
  Send(std::move(reply));
}

void Fsm::Implementation::HandleVote(const Message& message,
                                     MonotonicTime now) {
  const bool free_to_vote =
      hard_state_.voted_for == message.from ||
      (hard_state_.voted_for == kNoNode && leader_ == kNoNode);
  const bool grant =
      free_to_vote && log_.IsUpToDate(message.index, message.log_term);
  if (grant) {
    hard_state_.voted_for = message.from;
    ResetElectionDeadline(now);
  }
  Message reply;
  reply.kind = MessageKind::kVoteReply;
  reply.to = message.from;
  reply.term = term();
  reply.reject = !grant;
  Send(std::move(reply));
}

void Fsm::Implementation::CountVote(const Message& message) {
  std::set<NodeId>& side = message.reject ? refused_ : granted_;
  side.insert(message.from);
}

bool Fsm::Implementation::HasQuorumOf(const std::set<NodeId>& nodes) const {
  const std::vector<Member>& voters = configuration().voters;
  const auto count = std::count_if(
      voters.begin(), voters.end(),
      [&](const Member& voter) { return nodes.contains(voter.id); });
  return static_cast<std::size_t>(count) >= QuorumSize(voters.size());
}

void Fsm::Implementation::HandlePreVoteReply(const Message& message,
                                             MonotonicTime now) {
  const Term expected = message.reject ? term() : term() + 1;
  if (role_ != Role::kPreCandidate || message.term != expected) {
    return;
  }
  CountVote(message);
  if (WinsElection()) {
    StartElection(/*transfer=*/false, now);
  } else if (HasQuorumOf(refused_)) {
    BecomeFollower(term(), kNoNode, now);
  }
}

void Fsm::Implementation::HandleVoteReply(const Message& message,
                                          MonotonicTime now) {
  if (role_ != Role::kCandidate) {
    return;
  }
  CountVote(message);
  if (WinsElection()) {
    BecomeLeader(now);
  } else if (HasQuorumOf(refused_)) {
    BecomeFollower(term(), kNoNode, now);
  }
}

void Fsm::Implementation::HandleTimeoutNow(const Message& message,
                                           MonotonicTime now) {
  const bool from_leader = leader_ == message.from || leader_ == kNoNode;
  if (role_ == Role::kFollower && from_leader && IsActiveVoter()) {
    StartElection(/*transfer=*/true, now);
  }
}

}  // namespace juniperway::raft
