// One simulated control machine. The decisions are the product's: raft::Fsm,
// control::LeaderRole (lease table, command pipeline) and
// control::ControlState. This file plays their shell: disk, driver, session
// server and forwarding to the leader.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/control/control_state.h"
#include "common/control/join_schedule.h"
#include "common/control/leader_role.h"
#include "common/protocol/control_generated.h"
#include "common/raft/fsm.h"
#include "sim/control/control_checker.h"
#include "sim/control/options.h"
#include "sim/control/process.h"
#include "sim/raft_disk.h"

namespace juniperway::sim {

class SimDaemon;

// A session's connection between a daemon and a control machine.
struct SessionConnection {
  // Unique in a run; orders connections the same way in each replay.
  std::uint64_t number = 0;
  SimDaemon* daemon = nullptr;
  std::shared_ptr<Stream> to_machine;
  std::shared_ptr<Stream> to_daemon;
};
using ConnectionPointer = std::shared_ptr<SessionConnection>;

struct ConnectionOrder {
  bool operator()(const ConnectionPointer& left,
                  const ConnectionPointer& right) const {
    return left->number < right->number;
  }
};

class ControlMachine : public Process {
 public:
  using Callback = control::CommandPipeline::Callback;

  ControlMachine(Surroundings& surroundings, const ControlSimOptions& options,
                 Network& network, ControlChecker& checker, raft::NodeId id,
                 const raft::Configuration& initial);

  // All machines, this one among them, in the order of their ids.
  void SetPeers(std::vector<ControlMachine*> machines);
  void Start();
  // What was not synced is lost, or was just written.
  void Crash();
  // Writes fail for that long. From the first one that does, the machine takes
  // no part in consensus until a write succeeds.
  void FillDisk(Duration duration);

  // --- From daemons
  void OnHello(const ConnectionPointer& connection,
               const protocol::SessionHelloT& hello);
  void OnHeartbeat(const ConnectionPointer& connection,
                   const protocol::HeartbeatT& heartbeat);
  void OnCall(const ConnectionPointer& connection,
              const protocol::SessionCallT& call);
  void OnGoodbye(const ConnectionPointer& connection);
  void OnClosed(const ConnectionPointer& connection);

  // Brings operations to the leader. The callback may never run.
  void Submit(const control::Operations& operations, Callback callback);

  const control::ControlState& state() const { return state_; }
  raft::Status GetStatus() const { return fsm_->GetStatus(); }
  // Whether the latest configuration in this machine's log has that machine.
  bool HasMember(raft::NodeId id) const;
  raft::NodeId id() const { return id_; }
  bool IsLeading() const { return running() && role_->IsLeading(Now()); }
  const control::LeaseTable& leases() const { return role_->leases(); }

 private:
  struct Session {
    protocol::FleetMemberT member;
    resources::Revision sent_revision = 0;
    resources::Revision minimum_revision = 0;
    bool join_under_way = false;
    bool said_goodbye = false;
  };
  using HeartbeatsPointer = std::shared_ptr<control::Heartbeats>;
  using RepliesPointer = std::shared_ptr<control::HeartbeatReplies>;
  using OperationsPointer = std::shared_ptr<control::Operations>;

  // --- Consensus
  control::LeaderRole::Ports MakePorts();
  void AfterInput();
  void Pump();
  void FinishReady(const raft::Ready& ready);
  void Apply(const raft::Entry& entry);
  void Restore(const raft::Snapshot& snapshot);
  void CompactAt(raft::Index index);
  void SendConsensus(const std::vector<raft::Message>& messages);
  void ScheduleWake();
  // Writes and syncs `syncing_`, or tries again later while the disk is full.
  void Sync();
  void OnConsensus(const raft::Message& message);
  void TickRole();
  void RequestMembership();
  // Brings the request of another machine to the leader.
  void PassOnRequest(const raft::Member& member);
  void AddMember(const raft::Member& member);
  WallTime WallNow() const;
  // Null while none is known.
  ControlMachine* KnownLeader();

  // --- Sessions
  void ForwardHeartbeat(const protocol::MemberHeartbeatT& heartbeat);
  void OnReplies(const control::HeartbeatReplies& replies);
  void OnProgress(resources::Revision in_force,
                  const std::map<std::string, resources::Revision>& zones);
  void Announce(resources::Revision in_force,
                const std::map<std::string, resources::Revision>& zones);
  void Join(const ConnectionPointer& connection);
  void SendUpdates();

  const ControlSimOptions& options_;
  Network& network_;
  ControlChecker& checker_;
  raft::NodeId id_;
  std::vector<ControlMachine*> machines_;

  RaftDisk disk_;
  std::optional<raft::Ready> syncing_;
  bool suspended_ = false;
  MonotonicTime disk_full_until_ = MonotonicTime::min();
  std::optional<control::JoinSchedule> join_schedule_;
  std::unique_ptr<raft::Fsm> fsm_;
  std::unique_ptr<control::LeaderRole> role_;
  control::ControlState state_;
  raft::Index applied_ = 0;
  // Of the results of all entries up to `applied_`.
  std::uint64_t hash_ = 0;
  MonotonicTime wake_at_ = MonotonicTime::max();
  Duration wall_skew_{0};
  bool update_scheduled_ = false;
  std::map<ConnectionPointer, Session, ConnectionOrder> sessions_;
};

}  // namespace juniperway::sim
