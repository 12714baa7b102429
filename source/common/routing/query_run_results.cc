// Processes results, connection losses and timers of a running query.
#include <algorithm>
#include <utility>

#include "common/routing/query_run.h"

namespace juniperway::routing {
namespace {

// Delay before a partition is sent again to a backend that already had it. The
// delay doubles with each retry or reroute of the partition; up to half of the
// delay is added as jitter.
constexpr Duration kMinimumResendDelay = milliseconds(5);
constexpr Duration kMaximumResendDelay = milliseconds(200);
// An attempt that ends unanswered after this many hedge delays counts as a
// failure of its backend.
constexpr int kUnresponsiveHedgeDelays = 4;
// Estimated latency of an unanswered attempt, as a multiple of the time waited.
constexpr int kUnansweredLatencyFactor = 2;

bool IsProvablyNotRun(SubqueryOutcome outcome) {
  switch (outcome) {
    case SubqueryOutcome::kNotOwner:
    case SubqueryOutcome::kDraining:
    case SubqueryOutcome::kShed:
    case SubqueryOutcome::kWrongSnapshot:
    case SubqueryOutcome::kExpiredUnstarted:
    case SubqueryOutcome::kUnreachable:
      return true;
    case SubqueryOutcome::kRows:
    case SubqueryOutcome::kExpiredStarted:
    case SubqueryOutcome::kLost:
      return false;
  }
  return false;
}

MissingReason ReasonOf(SubqueryOutcome outcome) {
  switch (outcome) {
    case SubqueryOutcome::kDraining:
      return MissingReason::kDraining;
    case SubqueryOutcome::kShed:
      return MissingReason::kShed;
    case SubqueryOutcome::kWrongSnapshot:
      return MissingReason::kWrongSnapshot;
    case SubqueryOutcome::kExpiredUnstarted:
    case SubqueryOutcome::kExpiredStarted:
      return MissingReason::kDeadline;
    case SubqueryOutcome::kRows:
    case SubqueryOutcome::kLost:
      return MissingReason::kLost;
    case SubqueryOutcome::kNotOwner:
    case SubqueryOutcome::kUnreachable:
      return MissingReason::kUnreachable;
  }
  return MissingReason::kLost;
}

}  // namespace

Actions QueryRun::OnSubqueryResults(OwnerId owner,
                                    std::vector<OwnerResult> replies,
                                    MonotonicTime now) {
  Actions actions;
  UpdateRoutes();
  for (OwnerResult& reply : replies) {
    OnReply(owner, reply, now, actions);
  }
  RestartOrFinish(now, actions);
  return actions;
}

void QueryRun::OnReply(OwnerId owner, OwnerResult& reply, MonotonicTime now,
                       Actions& actions) {
  switch (attempt_log_.ClassifyResult(owner, reply.attempt_id)) {
    case ResultVerdict::kAccept:
      break;
    case ResultVerdict::kLate:
      ++front_.counters.late_results;
      return;
    case ResultVerdict::kDuplicate:
      ++front_.counters.duplicate_results;
      return;
    case ResultVerdict::kForeign:
      ++front_.counters.foreign_results;
      return;
  }
  const Attempt& attempt = attempt_log_.Get(reply.attempt_id);
  PartitionState& partition = partitions_[attempt.partition];
  CloseAttempt(reply.attempt_id);
  RecordObservations(attempt, reply, now);
  if (reply.outcome == SubqueryOutcome::kRows) {
    OnRows(partition, reply, now, actions);
    return;
  }
  if (IsProvablyNotRun(reply.outcome)) {
    attempt_log_.MarkProvablyNotRun(reply.attempt_id);
  }
  const bool refused = reply.outcome == SubqueryOutcome::kShed ||
                       reply.outcome == SubqueryOutcome::kExpiredUnstarted;
  partition.shed_by_busy_backend |=
      refused && reply.slots > 0 && reply.load >= reply.slots;
  OnFailure(partition, reply.outcome, now, actions);
}

void QueryRun::CloseAttempt(AttemptId id) {
  Attempt& attempt = attempt_log_.Get(id);
  attempt.status = AttemptStatus::kAnswered;
  --partitions_[attempt.partition].outstanding;
  front_.backends.OnAttemptEnded(attempt.backend);
}

void QueryRun::RecordObservations(const Attempt& attempt,
                                  const OwnerResult& reply, MonotonicTime now) {
  front_.counters.out_of_range_rows += reply.dropped_rows;
  retry_after_hint_ = std::max(retry_after_hint_, reply.retry_after);
  if (reply.slots > 0) {
    front_.backends.OnLoad(attempt.backend, reply.load, reply.slots, now);
  }
  switch (reply.outcome) {
    case SubqueryOutcome::kRows:
      front_.backends.OnSuccess(attempt.backend);
      front_.backends.OnLatency(attempt.backend, now - attempt.sent_at, now);
      service_state_.latency.Record(now - attempt.sent_at);
      return;
    case SubqueryOutcome::kLost:
    case SubqueryOutcome::kUnreachable:
      front_.backends.OnFailure(attempt.backend, now);
      return;
    case SubqueryOutcome::kExpiredStarted:
      RecordUnansweredAttempt(attempt, now);
      return;
    case SubqueryOutcome::kDraining:
      front_.backends.OnDraining(attempt.backend, now);
      break;
    case SubqueryOutcome::kNotOwner:
    case SubqueryOutcome::kShed:
    case SubqueryOutcome::kWrongSnapshot:
    case SubqueryOutcome::kExpiredUnstarted:
      break;
  }
  if (attempt.probe) {
    front_.backends.OnProbeAbandoned(attempt.backend);
  }
}

void QueryRun::RecordUnansweredAttempt(const Attempt& attempt,
                                       MonotonicTime now) {
  const Duration waited = now - attempt.sent_at;
  const bool unresponsive = hedge_delay_.has_value() &&
                            waited >= kUnresponsiveHedgeDelays * *hedge_delay_;
  if (unresponsive) {
    front_.backends.OnFailure(attempt.backend, now);
  } else if (attempt.probe) {
    front_.backends.OnProbeAbandoned(attempt.backend);
  }
  const bool bounds_latency =
      hedge_delay_.has_value() && waited >= *hedge_delay_;
  if (bounds_latency) {
    front_.backends.OnLatency(attempt.backend,
                              kUnansweredLatencyFactor * waited, now);
    service_state_.latency.Record(waited);
  }
}

void QueryRun::OnRows(PartitionState& partition, OwnerResult& reply,
                      MonotonicTime now, Actions& actions) {
  StoreRows(partition, reply);
  partition.status = PartitionStatus::kSearched;
  partition.resend_at.reset();
  partition.hedge_at.reset();
  --pending_;
  searched_width_ += partition.range.end - partition.range.begin;
  for (const AttemptId id : partition.attempts) {
    if (attempt_log_.Get(id).status == AttemptStatus::kOutstanding) {
      AbandonAttempt(id, now, actions);
    }
  }
}

void QueryRun::StoreRows(PartitionState& partition, OwnerResult& reply) {
  std::vector<ResultRow>& rows = reply.block.rows;
  const std::size_t dropped = std::erase_if(rows, [&](const ResultRow& row) {
    return !partition.range.Contains(row.key);
  });
  front_.counters.out_of_range_rows += dropped;
  if (!std::ranges::is_sorted(rows, {}, &ResultRow::key)) {
    std::ranges::stable_sort(rows, {}, &ResultRow::key);
  }
  partition.block = std::move(reply.block);
}

void QueryRun::OnFailure(PartitionState& partition, SubqueryOutcome outcome,
                         MonotonicTime now, Actions& actions) {
  partition.reason = ReasonOf(outcome);
  switch (outcome) {
    case SubqueryOutcome::kNotOwner:
    case SubqueryOutcome::kDraining:
    case SubqueryOutcome::kWrongSnapshot:
    case SubqueryOutcome::kUnreachable:
      SendAgainOrSchedule(partition, SendKind::kReroute, now, actions);
      return;
    case SubqueryOutcome::kShed:
    case SubqueryOutcome::kLost:
      SendAgainOrSchedule(partition, SendKind::kRetry, now, actions);
      return;
    case SubqueryOutcome::kExpiredUnstarted:
    case SubqueryOutcome::kExpiredStarted:
    case SubqueryOutcome::kRows:
      break;
  }
  if (partition.outstanding == 0) {
    MarkMissing(partition, partition.reason);
  }
}

Actions QueryRun::OnOwnerLost(OwnerId owner, OwnerConnectionLoss loss,
                              MonotonicTime now) {
  Actions actions;
  UpdateRoutes();
  const AttemptId count = attempt_log_.size();
  for (AttemptId id = 0; id < count; ++id) {
    const Attempt& attempt = attempt_log_.Get(id);
    if (attempt.owner == owner &&
        attempt.status == AttemptStatus::kOutstanding) {
      OnAttemptLost(id, loss, now, actions);
    }
  }
  RestartOrFinish(now, actions);
  return actions;
}

Actions QueryRun::OnBatchUnsent(const Batch& batch, MonotonicTime now) {
  Actions actions;
  UpdateRoutes();
  for (const PlannedSubquery& subquery : batch.subqueries) {
    const Attempt& attempt = attempt_log_.Get(subquery.attempt_id);
    if (attempt.status == AttemptStatus::kOutstanding) {
      OnAttemptLost(subquery.attempt_id, OwnerConnectionLoss::kNothingSent, now,
                    actions);
    }
  }
  RestartOrFinish(now, actions);
  return actions;
}

// Handles the loss of an attempt by its owner. A failure of the owner is no
// evidence about the backend, so QueryRun records no backend failure.
void QueryRun::OnAttemptLost(AttemptId id, OwnerConnectionLoss loss,
                             MonotonicTime now, Actions& actions) {
  const Attempt attempt = attempt_log_.Get(id);
  CloseAttempt(id);
  if (attempt.probe) {
    front_.backends.OnProbeAbandoned(attempt.backend);
  }
  const bool nothing_sent = loss == OwnerConnectionLoss::kNothingSent;
  if (nothing_sent) {
    attempt_log_.MarkProvablyNotRun(id);
  }
  const SubqueryOutcome outcome =
      nothing_sent ? SubqueryOutcome::kUnreachable : SubqueryOutcome::kLost;
  OnFailure(partitions_[attempt.partition], outcome, now, actions);
}

void QueryRun::SendAgainOrSchedule(PartitionState& partition, SendKind kind,
                                   MonotonicTime now, Actions& actions) {
  const bool is_waiting = partition.outstanding > 0 || partition.resend_at;
  if (partition.status != PartitionStatus::kPending || is_waiting) {
    return;
  }
  if (!CanSendAgain(partition, kind)) {
    MarkMissing(partition, partition.reason);
    return;
  }
  ++(kind == SendKind::kRetry ? partition.retries : partition.reroutes);
  if (Send(partition, kind, now, actions)) {
    return;
  }
  const PartitionRoute* route = CurrentRoute(partition);
  const bool version_gone = route == nullptr || route->replicas.empty();
  restart_wanted_ |=
      version_gone || partition.reason == MissingReason::kWrongSnapshot;
  ScheduleResend(partition, kind, now);
}

bool QueryRun::CanSendAgain(const PartitionState& partition,
                            SendKind kind) const {
  if (!request_.repeatable && MayHaveRun(partition)) {
    return false;
  }
  return kind == SendKind::kRetry ? partition.retries < kMaximumRetries
                                  : partition.reroutes < kMaximumReroutes;
}

bool QueryRun::MayHaveRun(const PartitionState& partition) const {
  return std::ranges::any_of(partition.attempts, [this](AttemptId id) {
    return !attempt_log_.Get(id).provably_not_run;
  });
}

// Schedules a resend, which may go to a replica that already had the partition.
// QueryRun calls ScheduleResend when no other replica can take the partition.
// After a refusal by a draining replica or a shed, no resend is scheduled:
// draining replicas would refuse again, and a resend to replicas that shed
// would only add load.
void QueryRun::ScheduleResend(PartitionState& partition, SendKind kind,
                              MonotonicTime now) {
  const bool resend_is_futile = partition.reason == MissingReason::kDraining ||
                                partition.reason == MissingReason::kShed;
  const bool unaffordable =
      kind == SendKind::kRetry && service_state_.budget.balance() < 1;
  const int doublings = partition.retries + partition.reroutes - 1;
  const Duration wait = Jittered(
      std::min(kMinimumResendDelay * (1 << doublings), kMaximumResendDelay));
  const bool too_late = now + wait + kMinimumUsefulTime >= request_.deadline;
  if (resend_is_futile || unaffordable || too_late) {
    MarkMissing(partition, partition.reason);
    return;
  }
  partition.resend_at = now + wait;
  partition.resend_kind = kind;
  ScheduleTimer(*partition.resend_at);
}

void QueryRun::MarkMissing(PartitionState& partition, MissingReason reason) {
  partition.status = PartitionStatus::kMissing;
  partition.reason = reason;
  partition.resend_at.reset();
  partition.hedge_at.reset();
  --pending_;
}

Actions QueryRun::OnTimer(MonotonicTime now) {
  Actions actions;
  UpdateRoutes();
  UpdateHedgeDelay();
  next_timer_ = request_.deadline;
  const MonotonicTime soft_deadline =
      request_.received + service_->soft_deadline;
  if (service_->answer_policy == resources::AnswerPolicy::kLatency &&
      now < soft_deadline) {
    ScheduleTimer(soft_deadline);
  }
  for (PartitionState& partition : partitions_) {
    if (partition.resend_at.has_value() && *partition.resend_at <= now) {
      Resend(partition, now, actions);
    }
    if (partition.hedge_at.has_value() && *partition.hedge_at <= now) {
      Hedge(partition, now, actions);
    }
    if (partition.resend_at.has_value()) {
      ScheduleTimer(*partition.resend_at);
    }
    if (partition.hedge_at.has_value()) {
      ScheduleTimer(*partition.hedge_at);
    }
  }
  RestartOrFinish(now, actions);
  return actions;
}

void QueryRun::Resend(PartitionState& partition, MonotonicTime now,
                      Actions& actions) {
  const bool wrong_snapshot = partition.reason == MissingReason::kWrongSnapshot;
  if (wrong_snapshot && CanRestart(now)) {
    restart_wanted_ = true;
    return;
  }
  if (!Send(partition, partition.resend_kind, now, actions)) {
    MarkMissing(partition, partition.reason);
  }
}

void QueryRun::Hedge(PartitionState& partition, MonotonicTime now,
                     Actions& actions) {
  partition.hedge_at.reset();
  if (partition.outstanding == 0) {
    return;
  }
  if (Send(partition, SendKind::kHedge, now, actions)) {
    ++partition.hedges;
  } else if (hedge_delay_.has_value()) {
    // Tries the hedge again later, because retry budget or a replica with free
    // slots may become available.
    partition.hedge_at = now + *hedge_delay_;
  }
}

}  // namespace juniperway::routing
