#include "sim/raft_nemesis.h"

#include <algorithm>
#include <vector>

#include "common/raft/configuration.h"

namespace juniperway::sim {
namespace {

constexpr Duration kStep = milliseconds(20);
constexpr std::uint64_t kMaximumProposalsPerStep = 4;
constexpr Duration kMaximumFreeze = milliseconds(3000);
// Recovery takes a few election timeouts, also after unlucky elections.
constexpr Duration kRecoveryLimit = seconds(60);
constexpr std::size_t kMaximumMembers = 6;

raft::Member MakeMember(raft::NodeId id) {
  return raft::Member{id, "10.0.0." + std::to_string(id) + ":7100"};
}

}  // namespace

RaftNemesis::RaftNemesis(const RaftNemesisOptions& options,
                         RaftCluster& cluster)
    : options_(options),
      cluster_(cluster),
      random_(options.seed),
      next_id_(cluster.RunningNodes().back() + 1) {}

std::uint64_t RaftNemesis::Pick(std::uint64_t count) {
  return random_() % count;
}

raft::NodeId RaftNemesis::PickRunning() {
  const std::vector<raft::NodeId> running = cluster_.RunningNodes();
  return running.empty() ? raft::kNoNode : running[Pick(running.size())];
}

void RaftNemesis::RunFaults() {
  const Duration end = cluster_.now() + options_.duration;
  while (cluster_.now() < end && !cluster_.checker().violation()) {
    cluster_.Run(kStep);
    for (std::uint64_t i = Pick(kMaximumProposalsPerStep); i > 0; --i) {
      ProposeSomewhere();
    }
    if (Pick(static_cast<std::uint64_t>(options_.fault_interval / kStep)) ==
        0) {
      InjectFault();
    }
  }
}

void RaftNemesis::ProposeSomewhere() {
  const std::optional<raft::NodeId> leader = cluster_.LeaseHolder();
  // Mostly where it can work; else wherever, also at a leader that was left.
  const raft::NodeId id = leader && Pick(4) != 0 ? *leader : PickRunning();
  if (id != raft::kNoNode) {
    cluster_.Propose(id);
  }
}

void RaftNemesis::InjectFault() {
  ++faults_;
  switch (Pick(9)) {
    case 0:
    case 1:
      return CrashOrRestart();
    case 8:
      return RestartFollowersOfCutLeader();
    case 2:
      return FreezeOne();
    case 3:
      return CutSome();
    case 4:
      return ChangeLoss();
    default:
      return ChangeMembership();
  }
}

void RaftNemesis::CrashOrRestart() {
  if (!options_.crashes) {
    return;
  }
  const std::vector<raft::NodeId> crashed = cluster_.CrashedNodes();
  if (!crashed.empty() && Pick(3) != 0) {
    cluster_.Restart(crashed[Pick(crashed.size())]);
    return;
  }
  // Now and then the whole group, as in a power cut.
  const bool all = Pick(8) == 0;
  const raft::NodeId victim = PickRunning();
  for (const raft::NodeId id : cluster_.RunningNodes()) {
    if (all || id == victim) {
      cluster_.Crash(id);
    }
  }
}

// The restarted followers must still respect the lease that they granted.
void RaftNemesis::RestartFollowersOfCutLeader() {
  const std::optional<raft::NodeId> leader = cluster_.LeaseHolder();
  if (!options_.crashes || !options_.cuts || !leader) {
    return;
  }
  cluster_.HealNetwork();
  for (const raft::NodeId id : cluster_.RunningNodes()) {
    if (id != *leader) {
      cluster_.Cut(id, *leader);
      cluster_.Cut(*leader, id);
      cluster_.Crash(id);
      cluster_.Restart(id);
    }
  }
}

void RaftNemesis::FreezeOne() {
  const raft::NodeId leader = cluster_.LeaseHolder().value_or(PickRunning());
  const raft::NodeId victim = Pick(2) == 0 ? leader : PickRunning();
  if (options_.freezes && victim != raft::kNoNode) {
    const Duration limit = kMaximumFreeze;
    cluster_.Freeze(victim, Duration(static_cast<Duration::rep>(Pick(
                                static_cast<std::uint64_t>(limit.count())))));
  }
}

void RaftNemesis::CutSome() {
  if (!options_.cuts) {
    return;
  }
  cluster_.HealNetwork();
  if (Pick(3) == 0) {
    return;
  }
  const raft::NodeId victim = cluster_.LeaseHolder().value_or(PickRunning());
  const std::uint64_t shape = Pick(4);
  for (raft::NodeId id = 1; id < next_id_; ++id) {
    if (shape == 0 || shape == 2) {
      cluster_.Cut(victim, id);  // it can't send
    }
    if (shape == 1 || shape == 2) {
      cluster_.Cut(id, victim);  // it can't receive
    }
    for (raft::NodeId other = 1; shape == 3 && other < next_id_; ++other) {
      if (Pick(3) == 0) {
        cluster_.Cut(id, other);
      }
    }
  }
}

void RaftNemesis::ChangeLoss() {
  if (options_.lossy) {
    const double loss = 0.05 * static_cast<double>(Pick(5));
    const double duplication = 0.05 * static_cast<double>(Pick(3));
    cluster_.SetLoss(loss, duplication);
  }
}

void RaftNemesis::ChangeMembership() {
  const std::optional<raft::NodeId> leader = cluster_.LeaseHolder();
  if (!options_.membership || !leader || !cluster_.IsResponsive(*leader)) {
    return;
  }
  switch (Pick(4)) {
    case 0:
      return DestroyOneAndAddAnother(*leader);
    case 1:
    case 2:
      return PromoteOrRemove(*leader);
    default:
      return Transfer(*leader);
  }
}

// A machine is lost for good where the leader says that this can be borne, and
// a new one under a new id comes in its place.
void RaftNemesis::DestroyOneAndAddAnother(raft::NodeId leader) {
  const raft::Status status = cluster_.GetStatus(leader);
  const std::size_t members =
      status.configuration.voters.size() + status.configuration.learners.size();
  if (members < kMaximumMembers) {
    const raft::NodeId id = next_id_++;
    cluster_.AddNode(id);
    const auto added =
        cluster_.Input(leader, [id](raft::Fsm& fsm, MonotonicTime now) {
          return fsm.AddLearner(MakeMember(id), now);
        });
    membership_changes_ += added ? 1 : 0;
  }
  if (destroyed_ != raft::kNoNode || status.tolerated_losses < 1) {
    return;
  }
  const auto& voters = status.configuration.voters;
  destroyed_ = voters[Pick(voters.size())].id;
  if (Pick(2) == 0 || !options_.disk_losses) {
    cluster_.Destroy(destroyed_);
  } else {
    cluster_.LoseDisk(destroyed_);
  }
}

void RaftNemesis::PromoteOrRemove(raft::NodeId leader) {
  const raft::Configuration configuration =
      cluster_.GetStatus(leader).configuration;
  for (const raft::Member& learner : configuration.learners) {
    const auto promoted =
        cluster_.Input(leader, [&](raft::Fsm& fsm, MonotonicTime now) {
          return fsm.PromoteLearner(learner.id, now);
        });
    if (promoted) {
      ++membership_changes_;
      return;
    }
  }
  const bool has_destroyed = raft::IsMember(configuration, destroyed_);
  if (destroyed_ != raft::kNoNode && !has_destroyed) {
    destroyed_ = raft::kNoNode;
  }
  const auto& voters = configuration.voters;
  const raft::NodeId victim =
      has_destroyed ? destroyed_ : voters[Pick(voters.size())].id;
  if (!has_destroyed && voters.size() <= 3) {
    return;
  }
  const auto removed =
      cluster_.Input(leader, [victim](raft::Fsm& fsm, MonotonicTime now) {
        return fsm.RemoveMember(victim, now);
      });
  membership_changes_ += removed ? 1 : 0;
}

void RaftNemesis::Transfer(raft::NodeId leader) {
  const raft::NodeId to = PickRunning();
  const auto moved =
      cluster_.Input(leader, [to](raft::Fsm& fsm, MonotonicTime now) {
        return fsm.TransferLeadership(to, now);
      });
  static_cast<void>(moved);
}

std::optional<std::string> RaftNemesis::Recover() {
  cluster_.HealNetwork();
  for (const raft::NodeId id : cluster_.CrashedNodes()) {
    cluster_.Restart(id);
  }
  const Duration end = cluster_.now() + kRecoveryLimit;
  bool accepted = false;
  while (cluster_.now() < end && !cluster_.checker().violation()) {
    cluster_.Run(kStep);
    const raft::Index before = cluster_.checker().accepted();
    const std::optional<raft::NodeId> leader = cluster_.LeaseHolder();
    if (leader && !accepted) {
      cluster_.Propose(*leader);
      cluster_.Run(seconds(1));
      accepted = cluster_.checker().accepted() > before;
    }
    if (accepted && HasRecovered()) {
      for (const raft::NodeId id : MemberIds()) {
        cluster_.checker().ObserveFinal(id, cluster_.GetStatus(id).applied);
      }
      return std::nullopt;
    }
  }
  return accepted ? "a member stayed behind" : "no command was accepted";
}

std::vector<raft::NodeId> RaftNemesis::MemberIds() const {
  std::vector<raft::NodeId> ids;
  const std::optional<raft::NodeId> leader = cluster_.LeaseHolder();
  if (!leader) {
    return ids;
  }
  const raft::Configuration configuration =
      cluster_.GetStatus(*leader).configuration;
  for (const auto* members : {&configuration.voters, &configuration.learners}) {
    for (const raft::Member& member : *members) {
      if (cluster_.IsRunning(member.id)) {
        ids.push_back(member.id);
      }
    }
  }
  return ids;
}

bool RaftNemesis::HasRecovered() const {
  const std::vector<raft::NodeId> ids = MemberIds();
  return !ids.empty() && std::ranges::all_of(ids, [this](raft::NodeId id) {
    return cluster_.GetStatus(id).applied >= cluster_.checker().committed();
  });
}

}  // namespace juniperway::sim
