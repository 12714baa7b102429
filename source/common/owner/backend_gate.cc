#include "common/owner/backend_gate.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/owner/feasibility.h"

namespace juniperway::owner {
namespace {

using protocol::SubqueryOutcome;

// Retry-after of refusals while the previous owner's searches finish.
constexpr Duration kWaitingRetryAfter = milliseconds(20);
// Backoff after the backend shed the only running subquery; doubles with each
// further shed of this kind.
constexpr Duration kInitialShedBackoff = milliseconds(5);
constexpr Duration kMaximumShedBackoff = seconds(1);
constexpr Duration kMinimumRetryAfter = milliseconds(1);

}  // namespace

BackendGate::BackendGate(const GateSettings& settings, Duration probe_interval,
                         std::uint64_t seed)
    : settings_(settings),
      probe_interval_(probe_interval),
      random_(seed),
      queue_(settings.class_weights),
      limit_(settings.slots),
      breaker_(seed) {}

GateActions BackendGate::Configure(const GateSettings& settings,
                                   MonotonicTime now) {
  settings_ = settings;
  limit_.SetSlots(settings.slots);
  queue_.SetWeights(settings.class_weights);
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::SetAccess(GateAccess access, MonotonicTime now) {
  access_ = access;
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::SetEjectionAllowed(bool may_eject, MonotonicTime now) {
  breaker_.SetMayOpen(may_eject);
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::SetDraining(DrainSource level, bool draining,
                                     MonotonicTime now) {
  if (level == DrainSource::kOperator) {
    drain_.SetOperator(draining);
  } else if (level == DrainSource::kPlatform) {
    drain_.SetPlatform(draining);
  }
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::SetReportedDraining(bool draining, MonotonicTime now) {
  drain_.SetReported(draining, now);
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::Submit(SubqueryId id, MonotonicTime deadline,
                                ClassIndex class_index, MonotonicTime now) {
  if (const auto refusal = RefusalForAll(id, now)) {
    actions_.push_back(*refusal);
    return TakeActions();
  }
  queue_.Insert(id, deadline, class_index);
  Dispatch(now);
  if (queue_.size() > settings_.queue_limit) {
    const SubqueryId longest = queue_.NextToShed().id;
    queue_.Remove(longest);
    Finish(longest, SubqueryOutcome::kShed, RetryAfter(now));
  }
  return TakeActions();
}

GateActions BackendGate::Cancel(SubqueryId id, MonotonicTime now) {
  if (queue_.Remove(id)) {
    Finish(id, SubqueryOutcome::kExpiredUnstarted);
    return TakeActions();
  }
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.abandoned) {
    return TakeActions();
  }
  Finish(id, SubqueryOutcome::kExpiredStarted);
  RunningSearch& search = found->second;
  search.abandoned = true;
  search.cancelled = true;
  search.close_at = now + kLateAnswerTimeout;
  if (connections() < settings_.maximum_connections) {
    ++cancels_;
    actions_.push_back({GateActionKind::kSendCancel, id});
  } else {
    service_time_.ObserveAtLeast(now - search.started);
    Close(id, now);
  }
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::OnReply(SubqueryId id, const BackendReply& reply,
                                 MonotonicTime now) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return TakeActions();
  }
  const RunningSearch search = found->second;
  running_.erase(found);
  RecordReply(search, reply, now);
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::OnCancelDone(MonotonicTime now) {
  if (cancels_ > 0) {
    --cancels_;
  }
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::OnProbeDone(const std::optional<ProbeResult>& result,
                                     MonotonicTime now) {
  if (!probe_sent_) {
    return TakeActions();
  }
  const MonotonicTime sent = *probe_sent_;
  probe_sent_.reset();
  if (result) {
    drain_.OnHealth(result->draining, sent, now);
    breaker_.EndBackoff(now);
    if (result->cold && !cold_) {
      slow_start_.Begin(now, settings_.slow_start);
    }
    cold_ = result->cold;
  }
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::OnTimer(MonotonicTime now) {
  ExpireRunning(now);
  Dispatch(now);
  return TakeActions();
}

std::optional<MonotonicTime> BackendGate::NextTimer(MonotonicTime now) const {
  std::optional<MonotonicTime> next;
  const auto consider = [&next](MonotonicTime time) {
    next = next ? std::min(*next, time) : time;
  };
  for (const auto& [id, search] : running_) {
    consider(search.abandoned ? search.close_at : search.deadline);
  }
  if (!closed_until_.empty()) {
    consider(closed_until_.front());
  }
  if (!queue_.empty()) {
    consider(queue_.Earliest().deadline);
    if (now < backoff_until_) {
      consider(backoff_until_);
    }
    if (const auto step = slow_start_.NextStep(settings_.slots, now)) {
      consider(*step);
    }
  }
  if (access_ == GateAccess::kOpen && !stopped_ && !probe_sent_ &&
      connections() < settings_.maximum_connections) {
    consider(next_probe_);
  }
  return next;
}

GateActions BackendGate::Stop(MonotonicTime now) {
  stopped_ = true;
  Dispatch(now);
  return TakeActions();
}

GateActions BackendGate::CloseAllConnections(MonotonicTime now) {
  access_ = GateAccess::kClosed;
  while (!running_.empty()) {
    const auto& [id, search] = *running_.begin();
    if (!search.abandoned) {
      Finish(id, SubqueryOutcome::kLost);
    }
    Close(id, now);
  }
  // No search starts while the gate is closed, so no new connection can reach
  // the backend before the closes do.
  closed_until_.clear();
  cancels_ = 0;
  probe_sent_.reset();
  Dispatch(now);
  return TakeActions();
}

std::uint32_t BackendGate::UsableSlots(MonotonicTime now) const {
  const std::uint32_t possible =
      std::min(settings_.slots, settings_.maximum_connections);
  return std::min(
      {possible, limit_.limit(), slow_start_.OpenSlots(settings_.slots, now)});
}

std::optional<GateAction> BackendGate::RefusalForAll(SubqueryId id,
                                                     MonotonicTime now) const {
  GateAction refusal{GateActionKind::kFinish, id};
  if (stopped_ || access_ == GateAccess::kClosed) {
    refusal.outcome = SubqueryOutcome::kNotOwner;
    return refusal;
  }
  if (drain_.draining()) {
    refusal.outcome = SubqueryOutcome::kDraining;
    return refusal;
  }
  if (access_ == GateAccess::kAwaitingRelease) {
    refusal.outcome = SubqueryOutcome::kNotOwner;
    refusal.retry_after = kWaitingRetryAfter;
    return refusal;
  }
  if (breaker_.State(now) == BreakerState::kOpen) {
    refusal.outcome = SubqueryOutcome::kShed;
    refusal.retry_after = breaker_.retry_at() - now;
    return refusal;
  }
  return std::nullopt;
}

bool BackendGate::CanStart(MonotonicTime now) const {
  if (now < backoff_until_ || taken_slots() >= UsableSlots(now) ||
      connections() >= settings_.maximum_connections) {
    return false;
  }
  return breaker_.State(now) == BreakerState::kClosed || running_.empty();
}

void BackendGate::Start(FairQueue::Entry entry, MonotonicTime now) {
  RunningSearch& search = running_[entry.id];
  search.started = now;
  search.deadline = entry.deadline;
  actions_.push_back({GateActionKind::kStart, entry.id});
}

void BackendGate::Dispatch(MonotonicTime now) {
  while (!closed_until_.empty() && closed_until_.front() <= now) {
    closed_until_.pop_front();
  }
  ProbeWhenDue(now);
  RefuseExpired(now);
  if (RefusalForAll(0, now)) {
    RefuseAll(now);
    return;
  }
  while (!queue_.empty() && CanStart(now)) {
    const FairQueue::Entry entry = queue_.TakeNext(now);
    const bool too_late = now + service_time_.mean() > entry.deadline;
    if (too_late && !queue_.empty()) {
      // Sheds this subquery, because the next one can use the slot better. If
      // no other subquery waits, the gate starts this one, because the mean is
      // only an estimate.
      queue_.ReleaseUncharged(entry.id);
      Finish(entry.id, SubqueryOutcome::kShed, RetryAfter(now));
    } else {
      queue_.Charge(entry.id, service_time_.mean() / UsableSlots(now), now);
      Start(entry, now);
    }
  }
  RefuseInfeasible(now);
}

void BackendGate::RefuseExpired(MonotonicTime now) {
  while (!queue_.empty() && queue_.Earliest().deadline <= now) {
    const SubqueryId id = queue_.Earliest().id;
    queue_.Remove(id);
    Finish(id, SubqueryOutcome::kExpiredUnstarted);
  }
}

void BackendGate::RefuseInfeasible(MonotonicTime now) {
  const FeasibilityEstimate estimate{std::max(now, backoff_until_),
                                     service_time_.mean(),
                                     static_cast<double>(UsableSlots(now))};
  std::vector<SubqueryId> infeasible;
  for (const FairQueue::Backlog& backlog : queue_.Backlogs()) {
    std::ranges::copy(FindInfeasible(backlog, estimate),
                      std::back_inserter(infeasible));
  }
  for (const SubqueryId id : infeasible) {
    queue_.Remove(id);
    Finish(id, SubqueryOutcome::kShed, RetryAfter(now));
  }
}

void BackendGate::RefuseAll(MonotonicTime now) {
  while (!queue_.empty()) {
    const SubqueryId id = queue_.Earliest().id;
    queue_.Remove(id);
    actions_.push_back(*RefusalForAll(id, now));
  }
}

void BackendGate::ExpireRunning(MonotonicTime now) {
  std::vector<SubqueryId> overdue;
  for (auto& [id, search] : running_) {
    if (!search.abandoned && search.deadline <= now) {
      Finish(id, SubqueryOutcome::kExpiredStarted);
      search.abandoned = true;
      search.close_at = search.deadline + kLateAnswerTimeout;
    }
    if (search.abandoned && search.close_at <= now) {
      overdue.push_back(id);
    }
  }
  for (const SubqueryId id : overdue) {
    const RunningSearch& search = running_[id];
    service_time_.ObserveAtLeast(now - search.started);
    if (!search.cancelled) {
      breaker_.OnFailure(now);
    }
    Close(id, now);
  }
}

void BackendGate::Close(SubqueryId id, MonotonicTime now) {
  running_.erase(id);
  closed_until_.push_back(now + kClosePropagationDelay);
  actions_.push_back({GateActionKind::kCloseConnection, id});
}

void BackendGate::ProbeWhenDue(MonotonicTime now) {
  if (access_ != GateAccess::kOpen || stopped_ || probe_sent_ ||
      now < next_probe_ || connections() >= settings_.maximum_connections) {
    return;
  }
  probe_sent_ = now;
  next_probe_ = now + WithJitter(probe_interval_);
  actions_.push_back({GateActionKind::kProbe});
}

void BackendGate::RecordReply(const RunningSearch& search,
                              const BackendReply& reply, MonotonicTime now) {
  if (reply.answered) {
    drain_.OnAnswer(reply.draining, now);
  }
  switch (reply.kind) {
    case ReplyKind::kServed:
      service_time_.Observe(now - search.started);
      limit_.OnServed();
      backoff_ = Duration::zero();
      break;
    case ReplyKind::kRefused:
      break;
    case ReplyKind::kShed:
      OnShed(search, reply, now);
      break;
    case ReplyKind::kNotCompleted:
      service_time_.ObserveAtLeast(now - search.started);
      break;
    case ReplyKind::kUnreachable:
    case ReplyKind::kNoUsableAnswer:
      breaker_.OnFailure(now);
      return;
  }
  if (breaker_.State(now) != BreakerState::kClosed) {
    slow_start_.Begin(now, settings_.slow_start);
  }
  breaker_.OnAnswer();
}

void BackendGate::OnShed(const RunningSearch& search, const BackendReply& reply,
                         MonotonicTime now) {
  limit_.OnShed(search.started, now);
  if (!running_.empty()) {
    return;
  }
  backoff_ = backoff_ == Duration::zero()
                 ? kInitialShedBackoff
                 : std::min(kMaximumShedBackoff, backoff_ * 2);
  const Duration requested_delay =
      std::min(reply.retry_after, kMaximumShedBackoff);
  backoff_until_ = now + std::max(requested_delay, WithJitter(backoff_));
}

void BackendGate::Finish(SubqueryId id, SubqueryOutcome outcome,
                         Duration retry_after) {
  actions_.push_back({GateActionKind::kFinish, id, outcome, retry_after});
}

Duration BackendGate::RetryAfter(MonotonicTime now) const {
  const auto ahead = static_cast<std::int64_t>(queue_.size() + running_.size());
  const Duration backlog = service_time_.mean() * ahead / UsableSlots(now);
  return std::max({kMinimumRetryAfter, backlog, backoff_until_ - now});
}

Duration BackendGate::WithJitter(Duration duration) {
  std::uniform_int_distribution<Duration::rep> jitter(duration.count() * 3 / 4,
                                                      duration.count() * 5 / 4);
  return Duration(jitter(random_));
}

}  // namespace juniperway::owner
