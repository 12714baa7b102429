// A seeded schedule of clients, faults and membership changes for a simulated
// cluster, and the recovery that must follow once the faults end.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sim/raft_cluster.h"

namespace juniperway::sim {

struct RaftNemesisOptions {
  std::uint64_t seed = 0;
  // How long faults go on.
  Duration duration = seconds(60);
  // Between two faults, on average.
  Duration fault_interval = milliseconds(800);
  bool crashes = true;
  bool freezes = true;
  bool cuts = true;
  bool lossy = true;
  bool membership = true;  // adds, promotes, removes, destroys, transfers
  // Nodes that lose their disk come back under their id. Only where
  // raft::Options::ids_outlive_disks is set.
  bool disk_losses = true;
};

class RaftNemesis {
 public:
  RaftNemesis(const RaftNemesisOptions& options, RaftCluster& cluster);

  // Lets clients and faults loose for the set time.
  void RunFaults();

  // Ends all faults. @return what didn't recover within a bounded time: no
  // leader, no progress, or a member that stays behind.
  std::optional<std::string> Recover();

  std::uint64_t faults() const { return faults_; }
  std::uint64_t membership_changes() const { return membership_changes_; }

 private:
  void ProposeSomewhere();
  void InjectFault();
  void CrashOrRestart();
  void RestartFollowersOfCutLeader();
  void FreezeOne();
  void CutSome();
  void ChangeLoss();
  void ChangeMembership();
  void DestroyOneAndAddAnother(raft::NodeId leader);
  void PromoteOrRemove(raft::NodeId leader);
  void Transfer(raft::NodeId leader);
  // Members that run, as the lease holder sees it; none without one.
  std::vector<raft::NodeId> MemberIds() const;
  bool HasRecovered() const;

  // A random node of those running; there is always one, or kNoNode.
  raft::NodeId PickRunning();
  std::uint64_t Pick(std::uint64_t count);

  RaftNemesisOptions options_;
  RaftCluster& cluster_;
  std::mt19937_64 random_;
  raft::NodeId next_id_;
  raft::NodeId destroyed_ = raft::kNoNode;  // waits to be removed
  std::uint64_t faults_ = 0;
  std::uint64_t membership_changes_ = 0;
};

}  // namespace juniperway::sim
