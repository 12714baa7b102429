// Each mechanism that the consensus module leaves to its driver, or relies on,
// is taken away in turn. The checker must find what that breaks.
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "sim/raft_cluster.h"
#include "sim/raft_nemesis.h"

namespace juniperway::sim {
namespace {

using raft::NodeId;

constexpr std::uint64_t kMaximumSeeds = 300;

// Runs seeds until a violation is found.
std::optional<RaftInvariant> FindViolation(RaftClusterOptions options) {
  options.raft.kept_entries = 20;
  for (std::uint64_t seed = 1; seed <= kMaximumSeeds; ++seed) {
    options.seed = seed;
    RaftCluster cluster(options, 3);
    RaftNemesisOptions faults;
    faults.seed = seed + 1;
    faults.duration = seconds(30);
    RaftNemesis nemesis(faults, cluster);
    nemesis.RunFaults();
    if (const auto& violation = cluster.checker().violation()) {
      MESSAGE("seed " << seed << ": " << RaftInvariantName(violation->invariant)
                      << ": " << violation->detail);
      return violation->invariant;
    }
  }
  return std::nullopt;
}

TEST_CASE("A lost tail of synced entries is found") {
  RaftClusterOptions options;
  options.defects = {RaftDefect::kLosesSyncedTail};
  CHECK(FindViolation(options) == RaftInvariant::kLeaderCompleteness);
}

TEST_CASE("A clock that stands while its machine is suspended is found") {
  RaftClusterOptions options;
  options.defects = {RaftDefect::kClockStandsWhileSuspended};
  const auto violation = FindViolation(options);
  // A leader that wakes takes its lease for valid.
  CHECK((violation == RaftInvariant::kLeaseSafety ||
         violation == RaftInvariant::kLeaseReads));
}

TEST_CASE("Messages that leave before the sync are found") {
  RaftClusterOptions options;
  options.defects = {RaftDefect::kSendsBeforeSync};
  options.maximum_sync = milliseconds(300);
  CHECK(FindViolation(options).has_value());
}

TEST_CASE("A restarted node that votes at once is found") {
  RaftClusterOptions options;
  options.defects = {RaftDefect::kSkipsRestartWait};
  CHECK(FindViolation(options) == RaftInvariant::kLeaseSafety);
}

TEST_CASE("Clocks that drift beyond the stated bound are found") {
  RaftClusterOptions options;
  options.clock_drift = 0.8;
  CHECK(FindViolation(options) == RaftInvariant::kLeaseSafety);
}

TEST_CASE("A snapshot that restores another state is found") {
  RaftClusterOptions options;
  options.defects = {RaftDefect::kMixesUpSnapshots};
  CHECK(FindViolation(options) == RaftInvariant::kStateMachineSafety);
}

// Asks `to` to take over, as the leader of `term` would.
void OrderTakeover(RaftCluster& cluster, NodeId from, NodeId to,
                   raft::Term term) {
  const auto stepped =
      cluster.Input(to, [&](raft::Fsm& fsm, MonotonicTime now) {
        raft::Message order;
        order.kind = raft::MessageKind::kTimeoutNow;
        order.from = from;
        order.to = to;
        order.term = term;
        fsm.Step(order, now);
        return Result<void>();
      });
  REQUIRE(stepped);
}

// One node votes for a candidate, restarts, and is asked by another candidate
// of the same term.
std::optional<RaftInvariant> VoteTwiceAroundRestart(
    const RaftClusterOptions& options) {
  RaftCluster cluster(options, 3);
  while (!cluster.LeaseHolder()) {
    cluster.Run(milliseconds(10));
  }
  const NodeId voter = *cluster.LeaseHolder();
  const NodeId first = voter % 3 + 1;
  const NodeId second = 6 - voter - first;
  const raft::Term term = cluster.GetStatus(voter).term;
  cluster.Cut(first, second);
  OrderTakeover(cluster, voter, first, term);
  // The voter has the request; the new leader's first append must not reach it.
  while (cluster.GetStatus(voter).term == term) {
    cluster.Run(microseconds(100));
  }
  cluster.Cut(first, voter);
  while (cluster.GetStatus(first).role != raft::Role::kLeader) {
    cluster.Run(microseconds(100));
  }
  cluster.Crash(voter);
  cluster.Restart(voter);
  OrderTakeover(cluster, voter, second, term);
  cluster.Run(milliseconds(100));
  if (const auto& violation = cluster.checker().violation()) {
    return violation->invariant;
  }
  return std::nullopt;
}

TEST_CASE("A vote that is not synced is found, a synced one holds") {
  RaftClusterOptions options;
  options.late = 0.0;
  CHECK(VoteTwiceAroundRestart(options) == std::nullopt);
  options.defects = {RaftDefect::kForgetsVote};
  CHECK(VoteTwiceAroundRestart(options) == RaftInvariant::kElectionSafety);
}

}  // namespace
}  // namespace juniperway::sim
