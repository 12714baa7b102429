// Decisions of the daemon's side of a control session: when to connect where,
// when to send a heartbeat, how long the lease lasts, and which revisions may
// be taken. Pure: time and randomness are arguments, actions are values.
//
// Use: call inputs, then Tick, then carry out TakeActions(); call Tick again at
// NextDeadline().
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "common/base/time.h"
#include "common/resources/resource.h"
#include "common/session/endpoint_preference.h"

namespace juniperway::session {

struct SessionTiming {
  Duration heartbeat_interval = seconds(1);
  // While connected without a lease, heartbeats go out faster.
  Duration unleased_heartbeat_interval = milliseconds(200);
  // While a lease lasts but the last answer did not renew it: there is no
  // leader now, and the next one should find the daemon soon.
  Duration unrenewed_heartbeat_interval = milliseconds(400);
  // A control machine that leaves a heartbeat unanswered for this long is
  // left. Longer than a live machine takes to say that there is no leader; with
  // the heartbeat interval well under the lease.
  Duration silence_timeout = milliseconds(1000);
  // A control machine that answers but grants nothing for this long is left.
  // Longer than an ordinary election: the machine may be well, and the next
  // one may be the one that was lost. Under the lease.
  Duration ungranted_timeout = milliseconds(3300);
  // A control machine that renews the lease but sends no update for this long
  // while the leader's state is newer than the daemon's is left. Longer than an
  // update takes to a daemon under load. Each machine that is left doubles the
  // timeout up to its maximum, until an update arrives: where updates are slow
  // everywhere, another connection only delays them. A daemon without any view
  // waits for the maximum: it uses nothing that could be old, and the whole
  // state takes longer than a change.
  Duration update_timeout = seconds(2);
  Duration update_timeout_maximum = seconds(16);
  Duration connect_timeout = seconds(1);
  // Reconnect delays are drawn from [0, min(maximum, minimum x 2^attempts)].
  Duration reconnect_minimum = milliseconds(50);
  Duration reconnect_maximum = seconds(2);
  // When a nearer control machine is tried, and how long it may take to accept
  // the connection, and then to renew the lease, before the session goes back.
  PreferenceTiming preference;
  Duration trial_timeout = milliseconds(400);
};

// What a heartbeat says; see protocol::Heartbeat.
struct HeartbeatContent {
  std::uint64_t sequence = 0;
  resources::Revision confirmed = 0;
  resources::Revision released = 0;
  std::uint64_t term = 0;
  bool holds_lease = false;
  resources::Revision in_force = 0;
  resources::Revision zone_released = 0;
};

// What came back; see protocol::HeartbeatReply.
struct HeartbeatAnswer {
  std::uint64_t sequence = 0;
  bool granted = false;
  // The leader is new and wants to hear this daemon once more, at once.
  bool new_term = false;
  Duration lease{};
  std::uint64_t term = 0;
  resources::Revision in_force = 0;
  resources::Revision zone_released = 0;
  // Revision of the leader's state when it answered; 0: the answer is not the
  // leader's.
  resources::Revision leader_revision = 0;
};

// Open a connection to this control machine (index into the settings' list),
// and close the one that there is.
struct ConnectAction {
  std::size_t endpoint = 0;
  // The session leaves a machine that is well for a nearer one.
  bool trial = false;
};
// Why the session leaves a control machine.
enum class DisconnectReason {
  // It is silent, cannot be reached in time or does not renew the lease.
  kUnresponsive,
  // It renews the lease, but sends no update to a state that the leader has.
  kNoUpdates,
};
// Close the connection, or give up the attempt to connect.
struct DisconnectAction {
  DisconnectReason reason = DisconnectReason::kUnresponsive;
};
struct HeartbeatAction {
  HeartbeatContent heartbeat;
};
using SessionAction =
    std::variant<ConnectAction, DisconnectAction, HeartbeatAction>;

class SessionState {
 public:
  // @param endpoint_count number of control machines, at least 1.
  // @param minimum_revision the revision kept from before the restart.
  SessionState(const SessionTiming& timing, std::size_t endpoint_count,
               resources::Revision minimum_revision, std::uint64_t seed);

  // One more control machine is known: its index is the number of those known
  // before.
  void AddEndpoint() { preference_.Add(); }
  // How far this control machine is from the daemon.
  void SetLocality(std::size_t endpoint, Locality locality, MonotonicTime now) {
    preference_.SetLocality(endpoint, locality, now);
  }

  // Places of all known machines have been given: a daemon that has no view yet
  // goes to the nearest one at once. It would get the whole state from a
  // machine that may stand in another region, and leave it a moment later.
  void MoveBeforeFirstView(MonotonicTime now);

  // Begins to connect.
  void Start(MonotonicTime now);
  void Tick(MonotonicTime now);
  // The connection that was asked for last is open; the caller says hello.
  void OnConnected(MonotonicTime now);
  // It could not be opened, or it broke.
  void OnDisconnected(MonotonicTime now);
  void OnHeartbeatReply(const HeartbeatAnswer& answer, MonotonicTime now);
  void OnProgress(resources::Revision in_force,
                  resources::Revision zone_released);

  // Whether an update that leads to `revision` may be taken.
  bool MayTake(resources::Revision revision) const {
    return revision > taken_ && revision >= minimum_revision_;
  }
  // An update that may be taken has arrived. It counts as progress although the
  // view is not kept yet: a slow disk of the daemon is no fault of the machine.
  void OnUpdateReceived(resources::Revision revision, MonotonicTime now);
  // The view at `revision` is in use and kept: the next Tick confirms it.
  void OnTaken(resources::Revision revision);
  // The daemon has something to say that goes with heartbeats: the next Tick
  // sends one.
  void WantHeartbeat() { heartbeat_wanted_ = true; }
  // Let go of back ends up to `revision`: the next Tick says so.
  void OnReleased(resources::Revision revision);

  std::vector<SessionAction> TakeActions();
  MonotonicTime NextDeadline() const;

  bool HasLease(MonotonicTime now) const { return now < lease_end_; }
  bool connected() const { return phase_ == Phase::kConnected; }
  resources::Revision taken() const { return taken_; }
  // Of the leader's state, by the latest reply since a connection was opened
  // that named it; 0: none.
  resources::Revision leader_revision() const { return leader_revision_; }
  // Nothing below this is taken.
  resources::Revision minimum_revision() const { return minimum_revision_; }
  resources::Revision in_force() const { return in_force_; }
  resources::Revision zone_released() const { return zone_released_; }

 private:
  enum class Phase { kStopped, kWaiting, kConnecting, kConnected };

  void SendHeartbeat(MonotonicTime now);
  void ScheduleConnect(MonotonicTime now);
  // Leaves the current control machine for the next one.
  void Abandon(DisconnectReason reason, MonotonicTime now);
  // Starts or ends the wait for an update.
  void NoteBehind(MonotonicTime now);
  // Until when an update must arrive; max() while the daemon has received all
  // that the leader is known to have.
  MonotonicTime UpdateDeadline() const;
  // Leaves it for a nearer one, for the time being.
  void BeginTrial(MonotonicTime now);
  // Of a trial: the machine has not shown that it can renew the lease.
  bool HasTrialFailed(MonotonicTime now) const;
  void ConnectNow(MonotonicTime now);
  MonotonicTime NextHeartbeat(MonotonicTime now) const;
  // Since when the machine owes an answer; `now` when it owes none.
  MonotonicTime OldestUnanswered(MonotonicTime otherwise) const;

  SessionTiming timing_;
  EndpointPreference preference_;
  std::mt19937_64 random_;
  Phase phase_ = Phase::kStopped;
  std::uint32_t failed_attempts_ = 0;
  // kWaiting: when to connect. kConnecting, and kConnected in a trial: when to
  // give up.
  MonotonicTime phase_deadline_;
  // The lease was renewed since the last Tick.
  bool granted_now_ = false;

  // Something must be said before the next heartbeat is due.
  bool heartbeat_wanted_ = false;
  std::uint64_t last_sequence_ = 0;
  // Heartbeats without an answer on this connection, and when they were sent.
  std::map<std::uint64_t, MonotonicTime> unanswered_;
  MonotonicTime last_heartbeat_;
  // When this connection last granted a lease, or was opened.
  MonotonicTime last_grant_;
  // The latest answer on this connection did not grant.
  bool last_answer_refused_ = false;
  MonotonicTime lease_end_ = MonotonicTime::min();
  std::uint64_t term_ = 0;
  // Revision of the leader's state by its latest answer on this connection.
  resources::Revision leader_revision_ = 0;
  // Revision of the latest update that arrived.
  resources::Revision received_ = 0;
  // Since when `received_` stands still below `leader_revision_`.
  std::optional<MonotonicTime> behind_since_;
  // Machines left for want of updates since the last one arrived.
  std::uint32_t update_timeouts_ = 0;

  resources::Revision minimum_revision_ = 0;
  resources::Revision taken_ = 0;
  resources::Revision released_ = 0;
  resources::Revision in_force_ = 0;
  resources::Revision zone_released_ = 0;
  std::vector<SessionAction> actions_;
};

}  // namespace juniperway::session
