#include "common/session/session_state.h"

#include <algorithm>
#include <utility>

namespace juniperway::session {
namespace {

// 2^20 x minimum is far past any maximum; keeps the shift defined.
constexpr std::uint32_t kMaximumBackoffShift = 20;

}  // namespace

SessionState::SessionState(const SessionTiming& timing,
                           std::size_t endpoint_count,
                           resources::Revision minimum_revision,
                           std::uint64_t seed)
    : timing_(timing),
      preference_(timing.preference, endpoint_count, seed),
      random_(seed),
      minimum_revision_(minimum_revision) {}

void SessionState::MoveBeforeFirstView(MonotonicTime now) {
  const bool has_nothing = taken_ == 0 && !HasLease(now);
  if (phase_ == Phase::kConnected && has_nothing &&
      preference_.MoveToNearest()) {
    unanswered_.clear();
    ConnectNow(now);
  }
}

void SessionState::Start(MonotonicTime now) { ScheduleConnect(now); }

void SessionState::Tick(MonotonicTime now) {
  switch (phase_) {
    case Phase::kStopped:
      return;
    case Phase::kWaiting:
      if (now >= phase_deadline_) {
        ConnectNow(now);
      }
      return;
    case Phase::kConnecting:
      if (now >= phase_deadline_) {
        Abandon(DisconnectReason::kUnresponsive, now);
      }
      return;
    case Phase::kConnected:
      break;
  }
  const bool silent = now - OldestUnanswered(now) >= timing_.silence_timeout;
  const bool ungranted = now - last_grant_ >= timing_.ungranted_timeout;
  const bool granted_now = std::exchange(granted_now_, false);
  if (silent || ungranted || HasTrialFailed(now)) {
    Abandon(DisconnectReason::kUnresponsive, now);
  } else if (now >= UpdateDeadline()) {
    ++update_timeouts_;
    preference_.UseLongestPause();
    Abandon(DisconnectReason::kNoUpdates, now);
  } else if (granted_now && preference_.IsTrialDue(now)) {
    BeginTrial(now);
  } else if (heartbeat_wanted_ || now >= NextHeartbeat(now)) {
    SendHeartbeat(now);
  }
}

void SessionState::OnConnected(MonotonicTime now) {
  phase_ = Phase::kConnected;
  phase_deadline_ = now + timing_.trial_timeout;
  unanswered_.clear();
  last_grant_ = now;
  last_answer_refused_ = false;
  leader_revision_ = 0;
  behind_since_.reset();
  SendHeartbeat(now);
}

void SessionState::OnDisconnected(MonotonicTime now) {
  if (phase_ == Phase::kConnecting || phase_ == Phase::kConnected) {
    preference_.OnFailed(now);
    ScheduleConnect(now);
  }
}

void SessionState::OnHeartbeatReply(const HeartbeatAnswer& answer,
                                    MonotonicTime now) {
  auto sent = unanswered_.find(answer.sequence);
  if (phase_ != Phase::kConnected || sent == unanswered_.end()) {
    return;
  }
  const MonotonicTime sent_at = sent->second;
  // Answers to older heartbeats may still come through another leader, but
  // this one shows that the machine is not silent.
  unanswered_.erase(unanswered_.begin(), std::next(sent));
  OnProgress(answer.in_force, answer.zone_released);
  last_answer_refused_ = !answer.granted;
  if (answer.leader_revision != 0) {
    leader_revision_ = answer.leader_revision;
    NoteBehind(now);
  }
  if (answer.granted) {
    lease_end_ = std::max(lease_end_, sent_at + answer.lease);
    last_grant_ = now;
    failed_attempts_ = 0;
    granted_now_ = true;
    preference_.OnGranted();
  }
  const bool first_of_term = answer.term != term_;
  if (answer.granted || answer.new_term) {
    term_ = answer.term;
  }
  if (answer.new_term && first_of_term) {
    heartbeat_wanted_ = true;
  }
}

void SessionState::OnProgress(resources::Revision in_force,
                              resources::Revision zone_released) {
  in_force_ = std::max(in_force_, in_force);
  zone_released_ = std::max(zone_released_, zone_released);
}

void SessionState::OnUpdateReceived(resources::Revision revision,
                                    MonotonicTime now) {
  received_ = std::max(received_, revision);
  update_timeouts_ = 0;
  behind_since_.reset();
  NoteBehind(now);
}

void SessionState::NoteBehind(MonotonicTime now) {
  if (received_ >= leader_revision_) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

MonotonicTime SessionState::UpdateDeadline() const {
  if (!behind_since_) {
    return MonotonicTime::max();
  }
  if (received_ == 0) {
    return *behind_since_ + timing_.update_timeout_maximum;
  }
  const Duration timeout =
      timing_.update_timeout *
      (std::int64_t{1} << std::min(update_timeouts_, kMaximumBackoffShift));
  return *behind_since_ + std::min(timeout, timing_.update_timeout_maximum);
}

void SessionState::OnTaken(resources::Revision revision) {
  taken_ = std::max(taken_, revision);
  minimum_revision_ = std::max(minimum_revision_, taken_);
  received_ = std::max(received_, revision);
  heartbeat_wanted_ = true;
}

void SessionState::OnReleased(resources::Revision revision) {
  if (revision > released_) {
    released_ = revision;
    heartbeat_wanted_ = true;
  }
}

std::vector<SessionAction> SessionState::TakeActions() {
  return std::exchange(actions_, {});
}

MonotonicTime SessionState::NextDeadline() const {
  switch (phase_) {
    case Phase::kStopped:
      return MonotonicTime::max();
    case Phase::kWaiting:
    case Phase::kConnecting:
      return phase_deadline_;
    case Phase::kConnected:
      break;
  }
  if (heartbeat_wanted_) {
    return last_heartbeat_;
  }
  const MonotonicTime silence =
      OldestUnanswered(last_heartbeat_ + timing_.heartbeat_interval) +
      timing_.silence_timeout;
  const MonotonicTime ungranted = last_grant_ + timing_.ungranted_timeout;
  const MonotonicTime trial =
      preference_.in_trial() ? phase_deadline_ : MonotonicTime::max();
  return std::min({NextHeartbeat(last_heartbeat_), silence, ungranted, trial,
                   UpdateDeadline()});
}

void SessionState::SendHeartbeat(MonotonicTime now) {
  HeartbeatContent heartbeat;
  heartbeat.sequence = ++last_sequence_;
  heartbeat.confirmed = taken_;
  heartbeat.released = released_;
  heartbeat.term = term_;
  heartbeat.holds_lease = HasLease(now);
  heartbeat.in_force = in_force_;
  heartbeat.zone_released = zone_released_;
  unanswered_.emplace(heartbeat.sequence, now);
  heartbeat_wanted_ = false;
  last_heartbeat_ = now;
  actions_.emplace_back(HeartbeatAction{heartbeat});
}

void SessionState::ScheduleConnect(MonotonicTime now) {
  const Duration ceiling =
      std::min(timing_.reconnect_maximum,
               timing_.reconnect_minimum *
                   (std::int64_t{1}
                    << std::min(failed_attempts_, kMaximumBackoffShift)));
  std::uniform_int_distribution<Duration::rep> delay(0, ceiling.count());
  ++failed_attempts_;
  unanswered_.clear();
  phase_ = Phase::kWaiting;
  phase_deadline_ = now + Duration(delay(random_));
}

void SessionState::ConnectNow(MonotonicTime now) {
  const bool trial = preference_.in_trial();
  phase_ = Phase::kConnecting;
  phase_deadline_ =
      now + (trial ? std::min(timing_.trial_timeout, timing_.connect_timeout)
                   : timing_.connect_timeout);
  actions_.emplace_back(ConnectAction{preference_.current(), trial});
}

void SessionState::BeginTrial(MonotonicTime now) {
  preference_.BeginTrial();
  unanswered_.clear();
  ConnectNow(now);
}

bool SessionState::HasTrialFailed(MonotonicTime now) const {
  return preference_.in_trial() &&
         (last_answer_refused_ || now >= phase_deadline_);
}

void SessionState::Abandon(DisconnectReason reason, MonotonicTime now) {
  actions_.emplace_back(DisconnectAction{reason});
  OnDisconnected(now);
}

MonotonicTime SessionState::NextHeartbeat(MonotonicTime now) const {
  if (!HasLease(now) || term_ == 0) {
    return last_heartbeat_ + timing_.unleased_heartbeat_interval;
  }
  // A lease that was granted on this connection is renewed at leisure.
  return last_heartbeat_ + (last_answer_refused_
                                ? timing_.unrenewed_heartbeat_interval
                                : timing_.heartbeat_interval);
}

MonotonicTime SessionState::OldestUnanswered(MonotonicTime otherwise) const {
  return unanswered_.empty() ? otherwise : unanswered_.begin()->second;
}

}  // namespace juniperway::session
