// The sessions of the daemons that are connected to this control machine. Any
// control machine may hold any session: heartbeats and operations go to the
// leader, updates come from the state that was committed here.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/base/locality.h"
#include "common/control/command_pipeline.h"
#include "common/control/control_state.h"
#include "common/control/lease_table.h"
#include "common/control/rate_pool.h"
#include "common/net/frame_connection.h"
#include "common/observation/backend_observation.h"
#include "common/protocol/control_generated.h"

namespace juniperway::control {

// A daemon's heartbeat on its way to the leader, and the answer on its way
// back.
using Heartbeats = std::vector<std::unique_ptr<protocol::MemberHeartbeatT>>;
using HeartbeatReplies =
    std::vector<std::unique_ptr<protocol::MemberHeartbeatReplyT>>;

// When changes of the state are sent to daemons.
struct UpdatePace {
  // After a change, for others that come with it.
  Duration delay;
  // Least time between two updates to one daemon.
  Duration interval;
};

class SessionServer {
 public:
  struct Ports {
    // The committed state of this machine.
    std::function<const ControlState&()> state;
    // Brings heartbeats to the leader; the replies come through OnReplies.
    // @return false when no leader can be reached.
    std::function<bool(Heartbeats)> forward_heartbeats;
    std::function<void(const DaemonKey&)> forward_goodbye;
    // What a daemon tells of back ends.
    std::function<void(const observation::BackendObservations&)> on_observed;
    // Brings operations to the leader and back.
    std::function<void(Operations, CommandPipeline::Callback)> submit;
  };

  SessionServer(asio::io_context& context, raft::NodeId node_id,
                std::string cluster, UpdatePace pace, Ports ports);
  ~SessionServer();
  SessionServer(const SessionServer&) = delete;
  SessionServer& operator=(const SessionServer&) = delete;

  // A daemon said hello on a new connection.
  // @return its session's number; 0 when it was refused.
  std::uint64_t Open(const std::shared_ptr<net::FrameConnection>& connection,
                     const protocol::SessionHelloT& hello);
  void OnFrame(std::uint64_t session, net::FrameBytes bytes);
  void OnClosed(std::uint64_t session);

  // The leader's answers to forwarded heartbeats.
  void OnReplies(const HeartbeatReplies& replies);
  // The leader's watermarks grew.
  void OnProgress(resources::Revision in_force,
                  const std::map<std::string, resources::Revision>& zones);
  // Passes on what other daemons tell of back ends.
  void SendObservations(const observation::BackendObservations& observations);
  // The control machines: every daemon is told how to reach them.
  void SetControlMembers(const std::vector<raft::Member>& members);
  // Where one of them stands, also one that is not a member yet.
  void SetControlPlace(raft::NodeId node, const Place& place);
  // The state's revision grew.
  void OnStateChanged();

  // Answers what the leader left unanswered and closes dead sessions; to be
  // called a few times a second.
  void Tick(MonotonicTime now);
  void Stop();

  std::size_t size() const { return sessions_.size(); }

 private:
  struct Session {
    std::shared_ptr<net::FrameConnection> connection;
    protocol::FleetMemberT member;
    // Revision that the daemon has, or that is on its way to it.
    resources::Revision sent_revision = 0;
    // Revision that it uses. While this is behind, an update is on its way and
    // no other is sent: a daemon that cannot follow gets fewer, larger ones.
    resources::Revision confirmed_revision = 0;
    resources::Revision minimum_revision = 0;
    // No update before this.
    MonotonicTime next_update = MonotonicTime::min();
    bool join_under_way = false;
    bool said_goodbye = false;
    // Oldest heartbeat without an answer; 0: none.
    std::uint64_t unanswered_sequence = 0;
    MonotonicTime unanswered_since;
    MonotonicTime heard;
  };

  void OnHeartbeat(Session& session, const protocol::HeartbeatT& heartbeat);
  void OnCall(std::uint64_t number, Session& session,
              const protocol::SessionCallT& call);
  void OnGoodbye(Session& session);
  void Join(std::uint64_t number, Session& session);
  // Sends what is queued to the leader in a later turn of the loop.
  void ScheduleFlush();
  void FlushHeartbeats();
  // Tokens that the pool has for what waits at the router.
  void ServeFromPool(const Session& session, protocol::HeartbeatT& heartbeat);
  // Tells every daemon how to reach the control machines, a moment later.
  void AnnounceControlMembers();
  void SendControlMembers(const Session& session) const;
  // Some control machine stands nearer to the daemon than this one.
  bool IsAnyNearer(const Session& session) const;
  void SendNoLeader(Session& session, std::uint64_t sequence);
  // An update is to be sent, and none is on its way.
  bool IsDue(const Session& session) const;
  void SendUpdates(MonotonicTime now);
  // Sends updates after this time at the latest.
  void ArmUpdateTimer(Duration delay);
  Session* FindByDaemon(const std::string& daemon_id, std::uint64_t incarnation,
                        std::uint64_t* number);
  DaemonKey KeyOf(const Session& session) const;

  asio::io_context& context_;
  raft::NodeId node_id_;
  std::string cluster_;
  UpdatePace pace_;
  Ports ports_;
  asio::steady_timer update_timer_;
  // When the timer fires; nothing: it is not armed.
  std::optional<MonotonicTime> update_due_;
  asio::steady_timer announcement_timer_;
  bool announcement_scheduled_ = false;
  bool flush_scheduled_ = false;
  bool stopped_ = false;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, Session> sessions_;
  std::map<std::string, std::uint64_t> sessions_by_daemon_;
  Heartbeats queued_heartbeats_;
  RatePool pool_;
  std::vector<raft::Member> control_members_;
  std::map<raft::NodeId, Place> control_places_;
  // Callbacks that outlive this object find it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
