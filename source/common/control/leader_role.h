// The duties of a control node while it leads the control group: it grants
// leases, advances the watermarks, proposes operations, removes daemons whose
// lease expired, promotes learners that have caught up, quarantines crashing
// requests and advances rollouts. Each control node owns one LeaderRole, also
// while it follows. The class does no I/O: calls take the time as an argument,
// and ports give access to the log, the state and the network.
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
    // Called only when member repair is enabled.
    std::function<Result<raft::Fsm::Proposal>(raft::NodeId)> remove_member;
    // Publishes the watermarks to the group after one of them has grown.
    std::function<void(resources::Revision in_force,
                       const std::map<std::string, resources::Revision>& zones)>
        announce;
    // Notifies the owner that operations were queued. The owner calls
    // FlushOperations() soon.
    std::function<void()> on_queued;
    // Notifies the owner that a watermark may have grown. The owner calls
    // Advance() soon.
    std::function<void()> on_watermark_change;
  };

  struct Options {
    LeaseTable::Options leases;
    // How far the fleet may exceed the limits of tenants.
    quota::RateTolerance tenant_tolerance;
    // Bounds the requests that a faulty canary version may receive.
    rollout::ExposureLimit exposure;
  };

  LeaderRole(const Options& options, Ports ports);
  ~LeaderRole();
  LeaderRole(const LeaderRole&) = delete;
  LeaderRole& operator=(const LeaderRole&) = delete;

  // Lets the group replace lost control nodes by itself. Without repair, the
  // leader promotes each learner as soon as it is ready, and operators remove
  // members.
  void EnableMemberRepair(const MemberRepair::Options& options) {
    repair_.emplace(options);
  }

  // Starts or stops leading when the consensus status has changed.
  void Update(const raft::Status& status, MonotonicTime now);

  // Handles an applied log entry.
  // @param applied the effects of the entry's command; empty for an entry
  //   without a command.
  void OnApplied(const raft::Entry& entry, AppliedCommand applied,
                 MonotonicTime now);

  // Answers the heartbeats that the control node `from` received or forwarded,
  // with kNoLeader unless IsLeading(now) and `from` is in the group: a node
  // that was removed gets no changes, so its daemons must go to another one.
  HeartbeatReplies OnHeartbeats(raft::NodeId from, const Heartbeats& heartbeats,
                                MonotonicTime now);
  void OnGoodbye(const DaemonKey& daemon);
  // Stores the watermarks that another leader announced. When this node becomes
  // the leader, its watermarks start from them, so that they never decrease.
  void OnAnnounced(resources::Revision in_force,
                   const std::map<std::string, resources::Revision>& zones);

  // Queues the operations for the next FlushOperations().
  void Submit(Operations operations, CommandPipeline::Callback callback);
  void FlushOperations(WallTime now);

  // Advances the watermarks and announces them if they grew.
  void Advance(MonotonicTime now);
  // Does the periodic work. The owner calls it several times per second.
  void Tick(MonotonicTime now);
  void OnPlatformList(const PlatformList& list);
  // Proposes the differences between the discovery list and the state.
  void OnDiscoveryList(const DiscoveryList& list);

  // Whether this node holds the leader lease: reads are linearizable, and it
  // may grant leases.
  bool IsLeading(MonotonicTime now) const;
  const LeaseTable& leases() const { return leases_; }
  const rollout::RolloutJudge& rollouts() const { return rollout_judge_; }

 private:
  // Whether the node is in the group. Logs the first time that a node is not.
  bool IsInGroup(raft::NodeId node);
  protocol::HeartbeatReplyT AnswerHeartbeat(
      const protocol::MemberHeartbeatT& item, MonotonicTime now);
  // Records that the pools of the group's control nodes exist at `now`.
  void RecordPools(const raft::Status& status, MonotonicTime now);
  // Returns the pools that may hold tokens: those of the group's control nodes,
  // and of control nodes that left the group less than two rate leases ago.
  std::set<std::string> PoolsWithTokens(MonotonicTime now) const;
  protocol::HeartbeatReplyT AnswerPool(const protocol::MemberHeartbeatT& item,
                                       MonotonicTime now);
  void ProposeRemovals();
  void PromoteLearners();
  void RepairMembers(MonotonicTime now);
  // Quarantines requests that crashes are attributed to, and releases requests
  // whose backends are still running.
  void JudgeCrashes(MonotonicTime now);
  // Proposes the next steps of the running rollouts.
  void AdvanceRollouts(MonotonicTime now);
  // Logs the number of backends in one discovery list whose listed start was
  // ignored, when that number changes.
  void LogIgnoredStarts(std::size_t backends);

  Duration lease_;
  Ports ports_;
  LeaseTable leases_;
  TenantQuotas tenant_quotas_;
  raft::NodeId node_id_ = raft::kNoNode;
  // The latest configuration in this node's log.
  raft::Configuration group_;
  // Nodes outside the group whose heartbeats were refused and logged.
  std::set<raft::NodeId> refused_nodes_;
  // By pool name: when the control node that owns the pool was last a member of
  // the group.
  std::map<std::string, MonotonicTime> pools_;
  CommandPipeline pipeline_;
  // Term of the proposals in the pipeline; 0 if there are none.
  raft::Term pipeline_term_ = 0;
  // Daemons that the lease table returned for removal and whose removal is not
  // proposed yet.
  std::vector<DaemonKey> removals_;
  bool platform_update_in_flight_ = false;
  bool discovery_update_in_flight_ = false;
  std::size_t ignored_start_count_ = 0;
  CrashJudge crash_judge_;
  bool crash_decision_in_flight_ = false;
  rollout::RolloutJudge rollout_judge_;
  // Services with a rollout step that is proposed and not applied yet.
  std::set<std::string> rollout_steps_in_flight_;
  std::optional<MemberRepair> repair_;
  // Highest watermarks that this or another leader announced.
  resources::Revision announced_in_force_ = 0;
  std::map<std::string, resources::Revision> announced_zones_;
  // False after destruction. Callbacks check the value, because they may
  // outlive this object.
  std::shared_ptr<bool> alive_;
};

}  // namespace juniperway::control
