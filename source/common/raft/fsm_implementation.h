// Private parts of the consensus state machine. The methods are grouped by
// source file; each group is one concern.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/raft/configuration.h"
#include "common/raft/fsm.h"
#include "common/raft/log.h"
#include "common/raft/progress.h"

namespace juniperway::raft {

class Fsm::Implementation {
 public:
  // fsm.cc: inputs and outputs.
  Implementation(const Options& options, InitialState initial,
                 MonotonicTime now);
  void Tick(MonotonicTime now);
  void Step(const Message& message, MonotonicTime now);
  Result<Proposal> Propose(std::string command, MonotonicTime now);
  Ready TakeReady();
  void Persisted(Index last, MonotonicTime now);
  void Applied(Index index);
  Result<Snapshot> MakeSnapshot(Index index, std::string data) const;
  void Compacted(Snapshot snapshot);
  bool HasLostData() const { return lost_data_; }
  MonotonicTime NextDeadline() const;
  Status GetStatus() const;

  // fsm_membership.cc: changes of the configuration.
  Result<Proposal> AddLearner(const Member& member, MonotonicTime now);
  Result<Proposal> PromoteLearner(NodeId id, MonotonicTime now);
  Result<Proposal> RemoveMember(NodeId id, MonotonicTime now);

  // fsm_leader.cc: heartbeats, check-quorum, lease, transfer.
  Result<void> TransferLeadership(NodeId to, MonotonicTime now);
  bool HasLeaderLease(MonotonicTime now) const;

 private:
  struct Transfer {
    NodeId to = kNoNode;
    MonotonicTime deadline;
  };

  // fsm.cc
  const Configuration& configuration() const { return history_.latest(); }
  Term term() const { return hard_state_.term; }
  bool IsActiveVoter() const;
  bool MayCampaign() const;
  // No leader was heard up to the election deadline.
  void OnLeaderSilent(MonotonicTime now);
  void Send(Message message);
  // Appends to the own log as leader; @return the entry's index.
  Index AppendOwn(EntryKind kind, std::string data);
  Result<void> CheckAcceptsProposals() const;
  // Handles a message of the own term, after the term rules.
  void StepCurrentTerm(const Message& message, MonotonicTime now);

  // fsm_membership.cc
  Result<void> CheckAcceptsChange() const;
  Proposal AppendChange(const Configuration& configuration);

  // fsm_election.cc: terms, votes and roles.
  bool IgnoresVoteRequest(const Message& message, MonotonicTime now) const;
  void AnswerStaleMessage(const Message& message);
  void BecomeFollower(Term term, NodeId leader, MonotonicTime now);
  void StartPreVote(MonotonicTime now);
  void StartElection(bool transfer, MonotonicTime now);
  void AskForVotes(MessageKind kind, Term term, bool transfer);
  void HandlePreVote(const Message& message);
  void HandleVote(const Message& message, MonotonicTime now);
  void HandlePreVoteReply(const Message& message, MonotonicTime now);
  void HandleVoteReply(const Message& message, MonotonicTime now);
  void HandleTimeoutNow(const Message& message, MonotonicTime now);
  void CountVote(const Message& message);
  bool HasQuorumOf(const std::set<NodeId>& nodes) const;
  void ResetElectionDeadline(MonotonicTime now);

  // fsm_first_start.cc: empty logs, at the first start and after a lost disk.
  bool IsFirstStart() const;
  // @return false if a node that starts for the first time must not take it.
  bool TakesAtFirstStart(const Message& message);
  bool WinsElection() const;

  // fsm_follower.cc: what a leader sends.
  void HandleAppend(const Message& message, MonotonicTime now);
  void HandleInstallSnapshot(const Message& message, MonotonicTime now);
  void HearLeader(NodeId leader, MonotonicTime now);
  void AppendFromLeader(const std::vector<Entry>& entries);
  void RestoreSnapshot(const Snapshot& snapshot);
  void ReplyToAppend(const Message& message, Index index, bool reject);
  void AdvanceCommit(Index index);

  // fsm_leader.cc
  void BecomeLeader(MonotonicTime now);
  void StartHeartbeatRound(MonotonicTime now);
  bool HearsQuorum(MonotonicTime now) const;
  void FinishTransferIfReady(MonotonicTime now);
  // Adds and drops peers as the configuration says.
  void UpdatePeers();
  // Its voters that are active and caught up, this node included.
  std::size_t CountHealthyVoters(const Configuration& configuration,
                                 MonotonicTime now) const;

  int CountToleratedLosses() const;

  // fsm_replication.cc: the leader's log to its peers.
  void HandleAppendReply(const Message& message, MonotonicTime now);
  void HandleInstallSnapshotReply(const Message& message, MonotonicTime now);
  // Notes that the peer answered. @return null if the sender is no peer.
  PeerProgress* HearPeer(const Message& message, MonotonicTime now);
  void HandleRejection(PeerProgress& peer, const Message& message);
  void HandleMatch(PeerProgress& peer, Index match, MonotonicTime now);
  void CommitByQuorum();
  void SendToPeers();
  void SendToPeer(NodeId id, PeerProgress& peer);
  bool MaySendEntries(const PeerProgress& peer) const;
  void SendAppend(NodeId id, PeerProgress& peer, std::vector<Entry> entries);
  void SendSnapshot(NodeId id, PeerProgress& peer);

  const Options options_;
  std::mt19937_64 random_;
  Role role_ = Role::kFollower;
  NodeId leader_ = kNoNode;
  HardState hard_state_;
  Snapshot snapshot_;  // the latest one, for slow followers
  Log log_;
  ConfigurationHistory history_;
  Index commit_ = 0;
  Index persisted_ = 0;  // synced here
  Index applied_ = 0;

  bool lost_data_ = false;

  // What TakeReady() handed out already, and what waits for it.
  HardState taken_hard_state_;
  Index taken_last_ = 0;
  Index taken_commit_ = 0;
  bool awaits_persisted_ = false;
  std::optional<Snapshot> pending_snapshot_;
  std::vector<Message> messages_;

  // The latest time that was passed in.
  MonotonicTime now_;
  MonotonicTime election_deadline_;
  // Until then a leader may hold a lease that this node granted by answering a
  // heartbeat, perhaps before a restart: it helps to elect nobody else.
  MonotonicTime votes_blocked_until_;
  std::set<NodeId> granted_;
  std::set<NodeId> refused_;

  // Leader only.
  std::map<NodeId, PeerProgress> peers_;
  std::deque<HeartbeatRound> rounds_;  // those of the last election timeout
  MonotonicTime next_heartbeat_;
  MonotonicTime led_since_;
  Index first_own_index_ = 0;  // the first entry of this term
  std::optional<Transfer> transfer_;
};

}  // namespace juniperway::raft
