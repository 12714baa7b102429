// Empty logs. A node whose log is empty and that has seen no term either starts
// for the first time, or lost its disk: it can't tell which, and after a loss
// it forgot what it acknowledged and whom it elected. So
// - a candidate with an empty log needs the vote of every voter: any one that
//   holds an entry refuses it;
// - such a node helps only candidates with an empty log, and it takes a term
//   from nobody else. With the first election won, every founder has a term;
// - told by a leader that it votes although it has seen no term, it lost its
//   disk. It takes nothing and says so.
// None of this is needed where a node that lost its disk gets another id
// (Options::ids_outlive_disks). The rules would then only keep a group from
// forming while one of its first voters is missing.
#include <algorithm>
#include <utility>

#include "common/raft/fsm_implementation.h"

namespace juniperway::raft {

bool Fsm::Implementation::IsFirstStart() const {
  return options_.ids_outlive_disks && term() == 0 && log_.last_index() == 0;
}

bool Fsm::Implementation::TakesAtFirstStart(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      return message.index == 0;
    case MessageKind::kPreVoteReply:
      return !message.reject;
    case MessageKind::kAppend:
    case MessageKind::kInstallSnapshot:
      break;
    default:
      return false;
  }
  lost_data_ = IsActiveVoter() || message.receiver_votes;
  if (lost_data_) {
    // Shows the leader that what it counted on is gone.
    Message reply;
    reply.kind = MessageKind::kAppendReply;
    reply.to = message.from;
    reply.term = message.term;
    reply.reject = true;
    Send(std::move(reply));
  }
  return !lost_data_;
}

bool Fsm::Implementation::WinsElection() const {
  if (log_.last_index() != 0 || !options_.ids_outlive_disks) {
    return HasQuorumOf(granted_);
  }
  return std::ranges::all_of(
      configuration().voters,
      [this](const Member& voter) { return granted_.contains(voter.id); });
}

}  // namespace juniperway::raft
