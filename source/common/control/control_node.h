// ControlNode creates the components of one control node and passes calls
// between them. control_node_setup.cc creates the components, control_node.cc
// runs the node, control_node_peers.cc exchanges frames with other control
// nodes. All code runs on the event loop's thread.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/control/api_server.h"
#include "common/control/control_metrics.h"
#include "common/control/control_server.h"
#include "common/control/control_state.h"
#include "common/control/discovery_poller.h"
#include "common/control/join_client.h"
#include "common/control/leader_client.h"
#include "common/control/leader_role.h"
#include "common/control/observation_exchange.h"
#include "common/control/peer_listener.h"
#include "common/control/peer_network.h"
#include "common/control/platform_poller.h"
#include "common/control/raft_driver.h"
#include "common/control/resource_api.h"
#include "common/control/session_server.h"
#include "common/control/snapshot_parts.h"

namespace juniperway::control {

// Runs one member of the control group: consensus, the sessions of daemons and
// the resource API. ControlServer owns the object; the object owns its
// components and must not outlive `context`.
class ControlNode {
 public:
  // Loads the store and opens both listeners. Throws std::exception when an
  // address cannot be bound or the store cannot be read.
  ControlNode(asio::io_context& context, const ControlServerOptions& options,
              std::unique_ptr<storage::LogStore> store);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Starts consensus, the pollers and the periodic tick.
  void Start();
  // See ControlServer::Stop.
  void Stop(Duration timeout, std::function<void()> done);
  // Closes every connection and stops every component; no handler runs after
  // this call.
  void Close();

  // Returns the address at which the resource API listens.
  asio::ip::tcp::endpoint http_endpoint() const {
    return api_server_->local_endpoint();
  }
  // Replaces ControlServerOptions::seeds after the settings were reloaded.
  void SetSeeds(const std::vector<std::string>& seeds);

  // Returns the address at which other control nodes and daemons connect.
  asio::ip::tcp::endpoint peer_endpoint() const {
    return listener_->local_endpoint();
  }

 private:
  // --- Set-up (control_node_setup.cc)
  void MakeDriver(raft::InitialState initial,
                  std::unique_ptr<storage::LogStore> store);
  RaftDriver::Callbacks DriverCallbacks();
  void MakePeers();
  void MakeListener();
  void MakeLeaderRole();
  void MakeLeaderClient();
  void MakeSessions();
  void MakeApi();
  void MakeDiscovery();

  // --- Consensus
  void SendConsensus(const std::vector<raft::Message>& messages);
  void SendSnapshot(const raft::Message& message);
  void OnSnapshotPart(raft::NodeId from, const protocol::SnapshotPartT& part);
  void Apply(const raft::Entry& entry);
  void Install(const raft::Snapshot& snapshot);
  void OnRaftChange();
  void LogRoleChange(const raft::Status& status);
  void UpdateMembers(const raft::Status& status);
  void OnStateChanged();
  // Logs which evacuations have started and ended since the last call.
  // @param source where the state came from: "log", "snapshot" or "store".
  void LogEvacuations(std::string_view source);
  // Returns the leader's id. Returns this node's id only while this node leads
  // and can write its store, and kNoNode when no leader is known.
  raft::NodeId KnownLeader() const;

  // --- Messages between control nodes
  void OnPeerFrame(raft::NodeId from, const protocol::ControlFrameT& frame);
  void OnForwardedOperations(raft::NodeId from,
                             const protocol::ForwardOperationsT& forwarded);
  void OnForwardedCall(raft::NodeId from,
                       const protocol::ForwardCallT& forwarded);
  void OnForwardedHeartbeats(raft::NodeId from,
                             const protocol::ForwardHeartbeatsT& forwarded);
  void OnProgressUpdate(const protocol::ProgressUpdateT& progress);
  // Sends `observations` to every other member.
  void SendObservations(const observation::BackendObservations& observations);
  // @return false when no leader is known, no connection to it is open, or this
  // node is suspended.
  bool ForwardHeartbeats(Heartbeats heartbeats);
  void ForwardGoodbye(const DaemonKey& daemon);
  void AnnounceProgress(
      resources::Revision in_force,
      const std::map<std::string, resources::Revision>& zones);

  // --- Resource API
  Result<void> AddMember(const raft::Member& member);
  Result<void> RemoveMember(raft::NodeId id);
  nlohmann::json DescribeNode() const;
  Result<std::string> MakeBackup();

  // --- Time
  void ScheduleFlush();
  void ScheduleAdvance();
  void ArmTick();
  void Tick(MonotonicTime now);
  Result<void> TransferLeadership();
  void ContinueStop(MonotonicTime now);
  void RequestMembership(MonotonicTime now);
  void UpdateMetrics(MonotonicTime now);

  asio::io_context& context_;
  ControlServerOptions options_;
  ControlMetrics metrics_;
  MonotonicTime next_metrics_update_ = MonotonicTime::min();
  // Time at which this node last read every page of the discovery list;
  // MonotonicTime::min() if it has not read the list yet.
  MonotonicTime discovery_list_read_at_ = MonotonicTime::min();
  std::uint64_t seed_;
  asio::steady_timer tick_timer_;
  asio::steady_timer advance_timer_;
  bool flush_scheduled_ = false;
  bool advance_scheduled_ = false;
  bool closed_ = false;
  // Set during a graceful shutdown. The node calls this function when the
  // shutdown is complete.
  std::function<void()> on_stopped_;
  MonotonicTime stop_deadline_;

  ControlState state_;
  // As logged last.
  std::map<std::string, session::ZoneEvacuation> known_evacuations_;
  raft::Status known_status_;
  SnapshotAssembler snapshot_assembler_;
  // Members that were reported as having lost acknowledged entries. Each member
  // is logged once.
  std::set<raft::NodeId> members_with_lost_data_;

  std::shared_ptr<RaftDriver> driver_;
  std::shared_ptr<PeerNetwork> peers_;
  std::unique_ptr<LeaderRole> role_;
  std::unique_ptr<LeaderClient> leader_client_;
  std::unique_ptr<SessionServer> sessions_;
  std::unique_ptr<ObservationExchange> observations_;
  std::unique_ptr<ResourceApi> resource_api_;
  std::unique_ptr<PeerListener> listener_;
  std::unique_ptr<ApiServer> api_server_;
  std::unique_ptr<PlatformPoller> poller_;
  std::unique_ptr<DiscoveryPoller> discovery_;
  std::unique_ptr<JoinClient> join_client_;
  // Each handler keeps a copy of the pointer, and returns without effect when
  // the value is false because the object was closed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
