// The consensus invariants across many seeds, under loss, reordering,
// duplication, crashes that lose unsynced writes, freezes, one-way cuts, clock
// drift and membership change.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "sim/raft_cluster.h"
#include "sim/raft_nemesis.h"

namespace juniperway::sim {
namespace {

constexpr std::uint64_t kSeeds = 300;

struct Outcome {
  std::optional<RaftViolation> violation;
  std::optional<std::string> unrecovered;
  std::map<RaftInvariant, std::uint64_t> checks;
  std::uint64_t accepted = 0;
  std::uint64_t membership_changes = 0;
};

Outcome Play(RaftCluster& cluster, RaftNemesis& nemesis) {
  nemesis.RunFaults();
  Outcome outcome;
  if (!cluster.checker().violation()) {
    outcome.unrecovered = nemesis.Recover();
  }
  outcome.violation = cluster.checker().violation();
  outcome.checks = cluster.checker().checks();
  outcome.accepted = cluster.checker().accepted();
  outcome.membership_changes = nemesis.membership_changes();
  return outcome;
}

Outcome RunOnce(RaftClusterOptions options, RaftNemesisOptions nemesis_options,
                int nodes) {
  options.raft.kept_entries = 20;
  RaftCluster cluster(options, nodes);
  nemesis_options.seed = options.seed + 1;
  RaftNemesis nemesis(nemesis_options, cluster);
  return Play(cluster, nemesis);
}

// A group whose founder `missing` was lost before the first election.
Outcome RunWithoutFounder(std::uint64_t seed, int nodes, raft::NodeId missing) {
  RaftClusterOptions options;
  options.seed = seed;
  options.raft.ids_outlive_disks = false;
  options.raft.kept_entries = 20;
  RaftCluster cluster(options, nodes);
  cluster.Destroy(missing);
  RaftNemesisOptions nemesis_options;
  nemesis_options.seed = seed + 1;
  nemesis_options.disk_losses = false;
  RaftNemesis nemesis(nemesis_options, cluster);
  return Play(cluster, nemesis);
}

std::string Describe(const Outcome& outcome) {
  if (outcome.violation) {
    return std::string(RaftInvariantName(outcome.violation->invariant)) + ": " +
           outcome.violation->detail;
  }
  return outcome.unrecovered.value_or("holds");
}

void CheckAllSeeds(int nodes) {
  std::uint64_t accepted = 0;
  std::uint64_t membership_changes = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RaftClusterOptions options;
    options.seed = seed;
    const Outcome outcome = RunOnce(options, {}, nodes);
    CAPTURE(seed);
    CHECK(Describe(outcome) == "holds");
    accepted += outcome.accepted;
    membership_changes += outcome.membership_changes;
  }
  MESSAGE(nodes << " nodes, " << kSeeds << " seeds: " << accepted
                << " entries accepted, " << membership_changes
                << " membership changes");
  CHECK(accepted > kSeeds * 10);
  CHECK(membership_changes > kSeeds);
}

TEST_CASE("Three nodes keep every invariant and recover") { CheckAllSeeds(3); }

TEST_CASE("Five nodes keep every invariant and recover") { CheckAllSeeds(5); }

TEST_CASE("A group forms without a founder and keeps every invariant") {
  std::uint64_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    // Not the last founder: the nemesis gives new nodes the ids above the last
    // one that runs, and no id is used again here.
    const Outcome outcome = RunWithoutFounder(seed, 3, 1 + seed % 2);
    CAPTURE(seed);
    CHECK(Describe(outcome) == "holds");
    accepted += outcome.accepted;
  }
  CHECK(accepted > kSeeds * 10);
}

}  // namespace
}  // namespace juniperway::sim
