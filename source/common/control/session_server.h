// Manages the sessions of the daemons that are connected to this control node.
// A daemon may connect to any control node: the node forwards heartbeats and
// operations to the leader and makes updates from its own committed state.
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

// Heartbeats of daemons as a control node forwards them to the leader, and the
// leader's answers to them.
using Heartbeats = std::vector<std::unique_ptr<protocol::MemberHeartbeatT>>;
using HeartbeatReplies =
    std::vector<std::unique_ptr<protocol::MemberHeartbeatReplyT>>;

// Bounds how often a control node sends updates to daemons.
struct UpdateTiming {
  // Delay after a change, so that one update carries several changes.
  Duration delay;
  // Minimum interval between two updates to one daemon.
  Duration interval;
};

// Owned by ControlNode. Runs on the thread of its io_context. Session numbers
// are unique per object and start at 1.
class SessionServer {
 public:
  struct Ports {
    // Returns the state that was committed on this node.
    std::function<const ControlState&()> state;
    // Forwards heartbeats to the leader, whose replies arrive in OnReplies.
    // @return false if no leader is reachable.
    std::function<bool(Heartbeats)> forward_heartbeats;
    // Notifies the leader that a daemon has stopped and released its lease.
    std::function<void(const DaemonKey&)> forward_goodbye;
    // Receives the observations of backends that a daemon reports.
    std::function<void(const observation::BackendObservations&)>
        on_observations;
    // Forwards operations to the leader and passes their results to the
    // callback.
    std::function<void(Operations, CommandPipeline::Callback)> submit;
  };

  SessionServer(asio::io_context& context, raft::NodeId node_id,
                std::string cluster, UpdateTiming pace, Ports ports);
  ~SessionServer();
  SessionServer(const SessionServer&) = delete;
  SessionServer& operator=(const SessionServer&) = delete;

  // Opens a session for a daemon whose hello arrived on a new connection, and
  // closes the daemon's previous session.
  // @return the session's number; 0 if the daemon was refused.
  std::uint64_t Open(const std::shared_ptr<net::FrameConnection>& connection,
                     const protocol::SessionHelloT& hello);
  void OnFrame(std::uint64_t number, net::FrameBytes bytes);
  void OnClosed(std::uint64_t number);

  // Passes the leader's replies to forwarded heartbeats on to the daemons.
  void OnReplies(const HeartbeatReplies& replies);
  // Sends the leader's new watermarks to the daemons: `in_force` is the highest
  // revision in force, `zones` holds, for each zone, the revision up to
  // which its gateways have released backends.
  void OnProgress(resources::Revision in_force,
                  const std::map<std::string, resources::Revision>& zones);
  // Sends the observations of other daemons to every router.
  void SendObservations(const observation::BackendObservations& observations);
  // Sets the members of the control group and announces them to the daemons.
  void SetControlMembers(const std::vector<raft::Member>& members);
  // Sets the zone and region of a control node, which need not be a member yet.
  void SetControlPlace(raft::NodeId node, const Place& place);
  // The owner calls this when the state's revision has grown.
  void OnStateChanged();

  // Answers heartbeats that the leader has not answered in time, and closes
  // sessions of unresponsive daemons. The owner calls this a few times a
  // second.
  void Tick(MonotonicTime now);
  void Stop();

  std::size_t size() const { return sessions_.size(); }

 private:
  struct Session {
    std::shared_ptr<net::FrameConnection> connection;
    protocol::FleetMemberT member;
    // Revision that was last sent to the daemon.
    resources::Revision sent_revision = 0;
    // Revision that the daemon uses. While it is below `sent_revision`, an
    // update is in flight and this node sends no other, so that a slow daemon
    // gets fewer, larger updates.
    resources::Revision confirmed_revision = 0;
    // The daemon ignores updates to revisions below this one.
    resources::Revision minimum_revision = 0;
    // Earliest time of the next update.
    MonotonicTime next_update = MonotonicTime::min();
    bool join_in_flight = false;
    bool goodbye_received = false;
    // Sequence number of the oldest unanswered heartbeat; 0 if there is none.
    std::uint64_t unanswered_sequence = 0;
    MonotonicTime unanswered_since;
    MonotonicTime last_frame_time;
  };

  void OnHeartbeat(Session& session, const protocol::HeartbeatT& heartbeat);
  void OnCall(std::uint64_t number, Session& session,
              const protocol::SessionCallT& call);
  void OnGoodbye(Session& session);
  void Join(std::uint64_t number, Session& session);
  // Forwards the queued heartbeats in a later turn of the event loop, so that
  // heartbeats that arrive together share one message.
  void ScheduleFlush();
  void FlushHeartbeats();
  // Sends the router rate tokens from the pool, and subtracts the granted
  // tokens from the request in the heartbeat.
  void GrantFromPool(const Session& session, protocol::HeartbeatT& heartbeat);
  // Sends the addresses of the control nodes to every daemon after a delay.
  void ScheduleControlMembersAnnouncement();
  void SendControlMembers(const Session& session) const;
  // Whether another control node is nearer to the daemon than this one.
  bool HasNearerControlNode(const Session& session) const;
  void SendNoLeader(Session& session, std::uint64_t sequence);
  // Whether the daemon needs an update and none is in flight.
  bool IsUpdateDue(const Session& session) const;
  void SendUpdates(MonotonicTime now);
  // Sends updates after `delay`, unless the timer already fires earlier.
  void ArmUpdateTimer(Duration delay);
  // @param number receives the session's number; may be null.
  // @return null if this start of the daemon has no session here.
  Session* FindByDaemon(const std::string& daemon_id, std::uint64_t incarnation,
                        std::uint64_t* number);
  DaemonKey KeyOf(const Session& session) const;

  asio::io_context& context_;
  raft::NodeId node_id_;
  std::string cluster_;
  UpdateTiming pace_;
  Ports ports_;
  asio::steady_timer update_timer_;
  // Time at which update_timer_ fires; std::nullopt if the timer is not armed.
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
  // False once this object is destroyed, for callbacks that run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
