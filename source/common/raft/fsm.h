// The consensus state machine: pre-vote, check-quorum, leader lease, batched
// append, learners, one-at-a-time membership change, snapshot transfer. No I/O.
//
// Use: call one input (Step, Tick, Propose…), then TakeReady(); send `appends`;
// write and sync `hard_state`, `snapshot` and `entries`, then send `messages`,
// then apply `committed`, and call Persisted() for what was synced.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/raft/types.h"

namespace juniperway::raft {

struct Options {
  NodeId id = kNoNode;
  Duration heartbeat_interval = milliseconds(100);
  // Followers wait a random time in [election_timeout, 2 x election_timeout).
  Duration election_timeout = milliseconds(1000);
  // Bound on the rate difference of two machines' clocks, for the lease.
  double maximum_clock_drift = 0.01;
  std::size_t maximum_entries_per_append = 256;
  std::size_t maximum_bytes_per_append = 1U << 20;
  // Appends under way to one peer without an answer.
  std::size_t maximum_appends_in_flight = 16;
  // A leader refuses commands beyond this many that aren't committed yet.
  std::size_t maximum_uncommitted_entries = 1U << 16;
  // Entries held in memory behind a snapshot, for slow followers.
  std::size_t kept_entries = 1000;
  // Seed of the election jitter.
  std::uint64_t seed = 0;
  // Whether a node that lost its disk may come back under its id. If not, a
  // node with an empty log has never taken part in anything, and the first
  // election of a group needs a quorum, not all voters.
  bool ids_outlive_disks = true;
};

// What storage holds when the process starts.
struct InitialState {
  HardState hard_state;
  // Not handed out again (the driver restores the state machine from it), but
  // sent to slow followers. One without data is never sent. At the first start
  // of a group: index 0 and the initial configuration.
  Snapshot snapshot;
  // Contiguous; the first one is at most snapshot.index + 1.
  std::vector<Entry> entries;
  // Entries up to here were known to be committed; may lag, and lie below the
  // snapshot. They are handed out again without waiting for a leader.
  Index commit = 0;
};

struct Ready {
  std::optional<HardState> hard_state;  // sync before sending
  std::optional<Snapshot> snapshot;     // replaces log and state machine
  std::vector<Entry> entries;           // append (truncates conflicts), sync
  // A leader's, which may leave before the sync: followers write while it
  // writes, and it counts its own copy only after Persisted().
  std::vector<Message> appends;
  std::vector<Message> messages;  // send after the sync
  std::vector<Entry> committed;   // apply in order
  // What is committed now: stored with whatever is written, needs no sync of
  // its own.
  Index commit = 0;
  bool empty() const {
    return !hard_state && !snapshot && entries.empty() && appends.empty() &&
           messages.empty() && committed.empty();
  }
};

// How far a peer is, as the leader sees it.
struct Progress {
  Member member;
  bool voter = false;
  Index match = 0;
  // Heard from within the last election timeout.
  bool active = false;
  // Holds everything that was committed when the latest heartbeat that it
  // answered was sent.
  bool caught_up = false;
  // Denies entries that it had acknowledged: it lost its disk, never counts,
  // and must be replaced under a new id.
  bool regressed = false;
};

struct Status {
  NodeId id = kNoNode;
  Role role = Role::kFollower;
  // kNoNode once the leader has been silent for an election timeout, also on a
  // node without a vote.
  NodeId leader = kNoNode;
  Term term = 0;
  Index commit = 0;
  Index applied = 0;
  Index last = 0;
  Configuration configuration;
  // Position of the entry that brought `configuration`.
  Index configuration_index = 0;
  std::vector<Progress> progress;  // leader only
  // Voters that may still be lost with a quorum left, counting only those that
  // are active and caught up. Negative: no quorum now. Leader only.
  int tolerated_losses = -1;
};

class Fsm {
 public:
  Fsm(const Options& options, InitialState initial, MonotonicTime now);
  ~Fsm();
  Fsm(const Fsm&) = delete;
  Fsm& operator=(const Fsm&) = delete;

  void Tick(MonotonicTime now);
  void Step(const Message& message, MonotonicTime now);

  // Appends a command if this node leads.
  // @return its index and term (the command is committed when an entry with
  //   both is applied), or kNotLeader.
  struct Proposal {
    Index index = 0;
    Term term = 0;
  };
  Result<Proposal> Propose(std::string command, MonotonicTime now);

  // Adds a learner, promotes a caught-up learner, or removes a member.
  // Refuses while another change is pending (kConflict) and a promotion before
  // it caught up (kUnavailable).
  Result<Proposal> AddLearner(const Member& member, MonotonicTime now);
  Result<Proposal> PromoteLearner(NodeId id, MonotonicTime now);
  Result<Proposal> RemoveMember(NodeId id, MonotonicTime now);
  // Hands leadership to a caught-up voter (planned stop of the leader). Until
  // the voter holds the whole log (at most one election timeout), commands are
  // refused (kUnavailable); then this node stops leading. Losing the message
  // costs one ordinary election.
  Result<void> TransferLeadership(NodeId to, MonotonicTime now);

  // What is to be done now. One at a time: after a Ready with entries or a
  // snapshot, Persisted() comes before the next TakeReady().
  Ready TakeReady();
  // Entries (or the snapshot) up to `last` are synced; on a leader this counts
  // as its own vote for them.
  void Persisted(Index last, MonotonicTime now);
  // The state machine was applied up to `index`.
  void Applied(Index index);
  // A snapshot of the state machine at `index`, which must be applied, with the
  // term and configuration that go with it. kConflict if a later one was
  // received meanwhile.
  Result<Snapshot> MakeSnapshot(Index index, std::string data) const;
  // Log entries up to snapshot.index may go; it is sent to slow followers.
  void Compacted(Snapshot snapshot);

  // Leads, has applied an entry of its own term, and a quorum answered a
  // heartbeat sent less than (election timeout less drift) ago: reads of the
  // applied state are then linearizable, and leases may be granted.
  bool HasLeaderLease(MonotonicTime now) const;
  // This node has an empty log, but the group already counted on it: its disk
  // was lost. It takes part in nothing any more and must be replaced under a
  // new id; the driver stops.
  bool HasLostData() const;
  // When Tick should next be called.
  MonotonicTime NextDeadline() const;
  Status GetStatus() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Codec of EntryKind::kConfiguration.
std::string EncodeConfiguration(const Configuration& configuration);
Result<Configuration> DecodeConfiguration(std::string_view data);

}  // namespace juniperway::raft
