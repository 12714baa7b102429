#include "sim/raft_checker.h"

#include <xxhash.h>

#include <algorithm>

namespace juniperway::sim {
namespace {

std::string Describe(raft::NodeId node, raft::Index index) {
  return "node " + std::to_string(node) + ", index " + std::to_string(index);
}

}  // namespace

std::string_view RaftInvariantName(RaftInvariant invariant) {
  switch (invariant) {
    case RaftInvariant::kElectionSafety:
      return "election_safety";
    case RaftInvariant::kLogMatching:
      return "log_matching";
    case RaftInvariant::kLeaderCompleteness:
      return "leader_completeness";
    case RaftInvariant::kStateMachineSafety:
      return "state_machine_safety";
    case RaftInvariant::kAcceptedKept:
      return "accepted_kept";
    case RaftInvariant::kLeaseSafety:
      return "lease_safety";
    case RaftInvariant::kLeaseReads:
      return "lease_reads";
  }
  return "";
}

std::uint64_t HashApplied(std::uint64_t hash, const raft::Entry& entry) {
  return XXH3_64bits_withSeed(entry.data.data(), entry.data.size(),
                              hash + entry.term);
}

void RaftChecker::Expect(RaftInvariant invariant, bool holds,
                         const std::string& detail) {
  ++checks_[invariant];
  if (!holds && !violation_) {
    violation_ = RaftViolation{invariant, detail};
  }
}

void RaftChecker::ObserveLeader(raft::NodeId node, raft::Term term,
                                const raft::InitialState& held) {
  const auto [known, first] = leaders_.try_emplace(term, node);
  Expect(RaftInvariant::kElectionSafety, known->second == node,
         "nodes " + std::to_string(known->second) + " and " +
             std::to_string(node) + " lead term " + std::to_string(term));
  if (!first) {
    return;
  }
  const std::vector<raft::Entry>& log = held.entries;
  const raft::Index last = log.empty() ? 0 : log.back().index;
  for (const Committed& committed : committed_) {
    const raft::Index index = committed.entry.index;
    if (committed.commit_term >= term || index <= held.snapshot.index) {
      continue;
    }
    const bool holds =
        index <= last && log[index - log.front().index] == committed.entry;
    Expect(RaftInvariant::kLeaderCompleteness, holds, Describe(node, index));
  }
}

void RaftChecker::ObserveAppend(const raft::Entry& entry,
                                raft::Term previous_term) {
  const auto [known, first] = appended_.try_emplace(
      {entry.index, entry.term}, Appended{previous_term, entry});
  const Appended& appended = known->second;
  Expect(RaftInvariant::kLogMatching,
         appended.previous_term == previous_term && appended.entry == entry,
         "index " + std::to_string(entry.index) + ", term " +
             std::to_string(entry.term));
}

void RaftChecker::ObserveApplied(raft::NodeId node, raft::Term term,
                                 const raft::Entry& entry) {
  if (entry.index == committed_.size() + 1) {
    const std::uint64_t hash = committed_.empty() ? 0 : committed_.back().hash;
    committed_.push_back({entry, term, HashApplied(hash, entry)});
    return;
  }
  const bool same = entry.index <= committed_.size() &&
                    committed_[entry.index - 1].entry == entry;
  Expect(RaftInvariant::kStateMachineSafety, same, Describe(node, entry.index));
}

void RaftChecker::ObserveRestored(raft::NodeId node, raft::Index index,
                                  std::uint64_t hash) {
  const bool same = index >= 1 && index <= committed_.size() &&
                    committed_[index - 1].hash == hash;
  Expect(RaftInvariant::kStateMachineSafety, same,
         "snapshot of " + Describe(node, index));
}

void RaftChecker::ObserveAccepted(raft::Index index) {
  accepted_ = std::max(accepted_, index);
}

void RaftChecker::ObserveLeases(
    const std::vector<std::pair<raft::NodeId, raft::Index>>& holders) {
  if (holders.empty()) {
    return;
  }
  Expect(RaftInvariant::kLeaseSafety, holders.size() == 1,
         "nodes " + std::to_string(holders.front().first) + " and " +
             std::to_string(holders.back().first));
  for (const auto& [node, applied] : holders) {
    Expect(RaftInvariant::kLeaseReads, applied >= accepted_,
           Describe(node, applied) + " behind accepted index " +
               std::to_string(accepted_));
  }
}

void RaftChecker::ObserveFinal(raft::NodeId node, raft::Index index) {
  Expect(RaftInvariant::kAcceptedKept, index >= committed_.size(),
         Describe(node, index) + " behind committed index " +
             std::to_string(committed_.size()));
}

}  // namespace juniperway::sim
