// The invariants of consensus, checked against what a simulated cluster did.
// It is told of every observation and keeps the first violation; it knows
// nothing of how the cluster is run.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/raft/fsm.h"

namespace juniperway::sim {

enum class RaftInvariant {
  kElectionSafety,      // at most one leader in a term
  kLogMatching,         // equal index and term: equal logs up to there
  kLeaderCompleteness,  // a leader holds all that was committed before
  kStateMachineSafety,  // no two nodes apply different entries at an index
  kAcceptedKept,        // an accepted command stays
  kLeaseSafety,         // at most one node holds the leader's lease
  kLeaseReads,          // a node with the lease has applied all accepted
};

std::string_view RaftInvariantName(RaftInvariant invariant);

struct RaftViolation {
  RaftInvariant invariant = RaftInvariant::kElectionSafety;
  std::string detail;
};

class RaftChecker {
 public:
  // `held` is what the new leader's log holds.
  void ObserveLeader(raft::NodeId node, raft::Term term,
                     const raft::InitialState& held);
  // An entry was appended behind one of term `previous_term`.
  void ObserveAppend(const raft::Entry& entry, raft::Term previous_term);
  // A node in `term` applied an entry.
  void ObserveApplied(raft::NodeId node, raft::Term term,
                      const raft::Entry& entry);
  // A node's state machine was replaced; `hash` is that of its contents.
  void ObserveRestored(raft::NodeId node, raft::Index index,
                       std::uint64_t hash);
  // A client was told that the command at `index` is accepted.
  void ObserveAccepted(raft::Index index);
  // `holders` have the lease at this moment, with what they have applied.
  void ObserveLeases(
      const std::vector<std::pair<raft::NodeId, raft::Index>>& holders);
  // At the end, with all faults over, a member has applied up to `index`.
  void ObserveFinal(raft::NodeId node, raft::Index index);

  const std::optional<RaftViolation>& violation() const { return violation_; }
  raft::Index committed() const { return committed_.size(); }
  raft::Index accepted() const { return accepted_; }
  // How often each invariant was really tested.
  const std::map<RaftInvariant, std::uint64_t>& checks() const {
    return checks_;
  }

 private:
  struct Committed {
    raft::Entry entry;
    // At least the term in which it was committed.
    raft::Term commit_term = 0;
    std::uint64_t hash = 0;  // of the state machine after it
  };
  struct Appended {
    raft::Term previous_term = 0;
    raft::Entry entry;
  };

  void Expect(RaftInvariant invariant, bool holds, const std::string& detail);

  std::optional<RaftViolation> violation_;
  std::map<RaftInvariant, std::uint64_t> checks_;
  std::map<raft::Term, raft::NodeId> leaders_;
  std::map<std::pair<raft::Index, raft::Term>, Appended> appended_;
  std::vector<Committed> committed_;  // at position index - 1
  raft::Index accepted_ = 0;
};

// Hash of a simulated state machine after one more entry.
std::uint64_t HashApplied(std::uint64_t hash, const raft::Entry& entry);

}  // namespace juniperway::sim
