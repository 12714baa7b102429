// What a control machine does only while it leads: it keeps the lease table,
// moves the watermarks, proposes operations, removes daemons whose lease ran
// out, and promotes control machines that have caught up. Every call names the
// time; the log, the state and the network are reached through ports.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/control/command_pipeline.h"
#include "common/control/control_state.h"
#include "common/control/crash_attribution.h"
#include "common/control/discovery_poller.h"
#include "common/control/lease_table.h"
#include "common/control/member_repair.h"
#include "common/control/platform_poller.h"
#include "common/control/session_server.h"
#include "common/control/tenant_quotas.h"
#include "common/raft/fsm.h"
#include "common/rollout/rollout_judge.h"

namespace juniperway::control {

class LeaderRole {
 public:
  struct Ports {
    std::function<const ControlState&()> state;
    std::function<raft::Status()> raft_status;
    // See raft::Fsm::HasLeaderLease.
    std::function<bool(MonotonicTime)> has_leader_lease;
    CommandPipeline::Propose propose;
    std::function<Result<raft::Fsm::Proposal>(raft::NodeId)> promote_learner;
    // Used by member repair only.
    std::function<Result<raft::Fsm::Proposal>(raft::NodeId)> remove_member;
    // A watermark grew.
    std::function<void(resources::Revision in_force,
                       const std::map<std::string, resources::Revision>& zones)>
        announce;
    // Operations were queued: FlushOperations() is to be called soon.
    std::function<void()> on_queued;
    // Something moved the watermarks perhaps: Advance() is to be called soon.
    std::function<void()> on_confirmed;
  };

  struct Options {
    LeaseTable::Options leases;
    // How far the fleet may go beyond tenants' limits.
    quota::RateTolerance tenant_tolerance;
    // What a version that turns out bad may be sent.
    rollout::ExposureLimit exposure;
  };

  LeaderRole(const Options& options, Ports ports);
  ~LeaderRole();
  LeaderRole(const LeaderRole&) = delete;
  LeaderRole& operator=(const LeaderRole&) = delete;

  // From now on the group replaces lost control machines by itself. Otherwise
  // each learner is promoted as soon as it is ready, and operators remove.
  void EnableMemberRepair(const MemberRepair::Options& options) {
    repair_.emplace(options);
  }

  // The consensus status may have changed.
  void Update(const raft::Status& status, MonotonicTime now);

  // An entry was applied; `applied` is what its command did (empty for entries
  // without one).
  void OnApplied(const raft::Entry& entry, AppliedCommand applied,
                 MonotonicTime now);

  // Answers heartbeats; with "no leader" unless this machine leads for certain.
  HeartbeatReplies OnHeartbeats(const Heartbeats& heartbeats,
                                MonotonicTime now);
  void OnGoodbye(const DaemonKey& daemon);
  // Watermarks that another leader announced: kept for the day this machine
  // leads, so that what was said to be in force stays so.
  void OnAnnounced(resources::Revision in_force,
                   const std::map<std::string, resources::Revision>& zones);

  // Proposes the operations with the next flush.
  void Submit(Operations operations, CommandPipeline::Callback callback);
  void FlushOperations(WallTime now);

  // Moves the watermarks and announces them if they grew.
  void Advance(MonotonicTime now);
  // To be called a few times a second.
  void Tick(MonotonicTime now);
  void OnPlatformList(const PlatformList& list);
  // A reading of the discovery list: what differs from the state is proposed.
  void OnDiscoveryList(const DiscoveryList& list);

  // Leads for certain: reads are linearizable and leases may be given.
  bool IsLeading(MonotonicTime now) const;
  const LeaseTable& leases() const { return leases_; }
  const rollout::RolloutJudge& rollouts() const { return rollout_judge_; }

 private:
  protocol::HeartbeatReplyT AnswerHeartbeat(
      const protocol::MemberHeartbeatT& item, MonotonicTime now);
  // Remembers the control machines of the group.
  void NotePools(const raft::Status& status, MonotonicTime now);
  // Pools that may hold tokens: of the group's machines, and of those that left
  // it less than a lease of theirs ago.
  std::set<std::string> Pools(MonotonicTime now) const;
  protocol::HeartbeatReplyT AnswerPool(const protocol::MemberHeartbeatT& item,
                                       MonotonicTime now);
  void ProposeRemovals();
  void PromoteLearners();
  void RepairMembers(MonotonicTime now);
  // Quarantines requests that are to blame for crashes, and releases others.
  void JudgeCrashes(MonotonicTime now);
  // Moves roll-outs on that are under way.
  void AdvanceRollouts(MonotonicTime now);
  // Back ends whose listed start lies before the known one, of one reading.
  void NoteStartsIgnored(std::size_t backends);

  Duration lease_;
  Ports ports_;
  LeaseTable leases_;
  TenantQuotas tenant_quotas_;
  // When each control machine's pool was last seen in the group, by its name.
  std::map<std::string, MonotonicTime> pools_;
  CommandPipeline pipeline_;
  // Term whose proposals the pipeline holds; 0: none.
  raft::Term pipeline_term_ = 0;
  // Daemons that the lease table wants removed, not proposed yet.
  std::vector<DaemonKey> removals_;
  bool platform_update_under_way_ = false;
  bool discovery_update_under_way_ = false;
  std::size_t starts_ignored_ = 0;
  CrashJudge crash_judge_;
  bool judgement_under_way_ = false;
  rollout::RolloutJudge rollout_judge_;
  // Services whose roll-out has a step that is proposed and not applied yet.
  std::set<std::string> rollout_steps_under_way_;
  std::optional<MemberRepair> repair_;
  // Highest watermarks that this or another leader announced.
  resources::Revision announced_in_force_ = 0;
  std::map<std::string, resources::Revision> announced_zones_;
  // Callbacks that outlive this object find it gone.
  std::shared_ptr<bool> alive_;
};

}  // namespace juniperway::control
