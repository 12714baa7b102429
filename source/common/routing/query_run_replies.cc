// Processes results, connection losses and timers of a running query.
#include <algorithm>
#include <utility>

#include "common/routing/query_run.h"

namespace juniperway::routing {
namespace {

// Delay before a partition is sent again to a backend that already had it. The
// delay doubles with each retry or reroute of the partition; up to half of the
// delay is added as jitter.
constexpr Duration kShortestResendWait = milliseconds(5);
constexpr Duration kLongestResendWait = milliseconds(200);
// An attempt that ends unanswered after this many hedge delays counts as a
// failure of its backend.
constexpr int kSilentHedgeDelays = 4;
// Estimated latency of an unanswered attempt, as a multiple of the time waited.
constexpr int kSilenceFactor = 2;

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

Actions QueryRun::OnReplies(OwnerId owner, std::vector<SubqueryReply> replies,
                            MonotonicTime now) {
  Actions actions;
  FollowView();
  for (SubqueryReply& reply : replies) {
    OnReply(owner, reply, now, actions);
  }
  Settle(now, actions);
  return actions;
}

void QueryRun::OnReply(OwnerId owner, SubqueryReply& reply, MonotonicTime now,
                       Actions& actions) {
  switch (attempts_.Judge(owner, reply.attempt_id)) {
    case ReplyVerdict::kAccept:
      break;
    case ReplyVerdict::kLate:
      ++front_.counters.late_results;
      return;
    case ReplyVerdict::kDuplicate:
      ++front_.counters.duplicate_results;
      return;
    case ReplyVerdict::kForeign:
      ++front_.counters.foreign_results;
      return;
  }
  const Attempt& attempt = attempts_.Get(reply.attempt_id);
  PartitionState& partition = partitions_[attempt.partition];
  CloseAttempt(reply.attempt_id);
  LearnFrom(attempt, reply, now);
  if (reply.outcome == SubqueryOutcome::kRows) {
    OnRows(partition, reply, now, actions);
    return;
  }
  if (IsProvablyNotRun(reply.outcome)) {
    attempts_.MarkProvablyNotRun(reply.attempt_id);
  }
  const bool turned_away = reply.outcome == SubqueryOutcome::kShed ||
                           reply.outcome == SubqueryOutcome::kExpiredUnstarted;
  partition.shed_by_load |=
      turned_away && reply.slots > 0 && reply.load >= reply.slots;
  OnFailure(partition, reply.outcome, now, actions);
}

void QueryRun::CloseAttempt(AttemptId id) {
  Attempt& attempt = attempts_.Get(id);
  attempt.status = AttemptStatus::kAnswered;
  --partitions_[attempt.partition].outstanding;
  front_.backends.OnDone(attempt.backend);
}

void QueryRun::LearnFrom(const Attempt& attempt, const SubqueryReply& reply,
                         MonotonicTime now) {
  front_.counters.out_of_range_rows += reply.dropped_rows;
  retry_after_hint_ = std::max(retry_after_hint_, reply.retry_after);
  if (reply.slots > 0) {
    front_.backends.OnLoad(attempt.backend, reply.load, reply.slots, now);
  }
  switch (reply.outcome) {
    case SubqueryOutcome::kRows:
      front_.backends.OnSuccess(attempt.backend);
      front_.backends.OnLatency(attempt.backend, now - attempt.sent_at, now);
      shared_.latency.Record(now - attempt.sent_at);
      return;
    case SubqueryOutcome::kLost:
    case SubqueryOutcome::kUnreachable:
      front_.backends.OnFailure(attempt.backend, now);
      return;
    case SubqueryOutcome::kExpiredStarted:
      LearnFromSilence(attempt, now);
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

void QueryRun::LearnFromSilence(const Attempt& attempt, MonotonicTime now) {
  const Duration waited = now - attempt.sent_at;
  const bool long_silence =
      hedge_delay_.has_value() && waited >= kSilentHedgeDelays * *hedge_delay_;
  if (long_silence) {
    front_.backends.OnFailure(attempt.backend, now);
  } else if (attempt.probe) {
    front_.backends.OnProbeAbandoned(attempt.backend);
  }
  const bool says_something =
      hedge_delay_.has_value() && waited >= *hedge_delay_;
  if (says_something) {
    front_.backends.OnLatency(attempt.backend, kSilenceFactor * waited, now);
    shared_.latency.Record(waited);
  }
}

void QueryRun::OnRows(PartitionState& partition, SubqueryReply& reply,
                      MonotonicTime now, Actions& actions) {
  TakeRows(partition, reply);
  partition.status = PartitionStatus::kSearched;
  partition.resend_at.reset();
  partition.hedge_at.reset();
  --pending_;
  searched_width_ += partition.range.end - partition.range.begin;
  for (const AttemptId id : partition.attempts) {
    if (attempts_.Get(id).status == AttemptStatus::kOutstanding) {
      GiveUp(id, now, actions);
    }
  }
}

void QueryRun::TakeRows(PartitionState& partition, SubqueryReply& reply) {
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
      SendAgain(partition, SendKind::kReroute, now, actions);
      return;
    case SubqueryOutcome::kShed:
    case SubqueryOutcome::kLost:
      SendAgain(partition, SendKind::kRetry, now, actions);
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

Actions QueryRun::OnOwnerLost(OwnerId owner, OwnerLoss loss,
                              MonotonicTime now) {
  Actions actions;
  FollowView();
  const AttemptId count = attempts_.size();
  for (AttemptId id = 0; id < count; ++id) {
    const Attempt& attempt = attempts_.Get(id);
    if (attempt.owner == owner &&
        attempt.status == AttemptStatus::kOutstanding) {
      LoseAttempt(id, loss, now, actions);
    }
  }
  Settle(now, actions);
  return actions;
}

Actions QueryRun::OnBatchUnsent(const Batch& batch, MonotonicTime now) {
  Actions actions;
  FollowView();
  for (const PlannedSubquery& subquery : batch.subqueries) {
    const Attempt& attempt = attempts_.Get(subquery.attempt_id);
    if (attempt.status == AttemptStatus::kOutstanding) {
      LoseAttempt(subquery.attempt_id, OwnerLoss::kNothingSent, now, actions);
    }
  }
  Settle(now, actions);
  return actions;
}

// The owner failed, which is no evidence about its backends, so that no backend
// failure is recorded.
void QueryRun::LoseAttempt(AttemptId id, OwnerLoss loss, MonotonicTime now,
                           Actions& actions) {
  const Attempt attempt = attempts_.Get(id);
  CloseAttempt(id);
  if (attempt.probe) {
    front_.backends.OnProbeAbandoned(attempt.backend);
  }
  const bool nothing_sent = loss == OwnerLoss::kNothingSent;
  if (nothing_sent) {
    attempts_.MarkProvablyNotRun(id);
  }
  const SubqueryOutcome outcome =
      nothing_sent ? SubqueryOutcome::kUnreachable : SubqueryOutcome::kLost;
  OnFailure(partitions_[attempt.partition], outcome, now, actions);
}

void QueryRun::SendAgain(PartitionState& partition, SendKind kind,
                         MonotonicTime now, Actions& actions) {
  const bool waits = partition.outstanding > 0 || partition.resend_at;
  if (partition.status != PartitionStatus::kPending || waits) {
    return;
  }
  if (!MaySendAgain(partition, kind)) {
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
  WaitToResend(partition, kind, now);
}

bool QueryRun::MaySendAgain(const PartitionState& partition,
                            SendKind kind) const {
  if (!request_.repeatable && MayHaveRun(partition)) {
    return false;
  }
  return kind == SendKind::kRetry ? partition.retries < kMaximumRetries
                                  : partition.reroutes < kMaximumReroutes;
}

bool QueryRun::MayHaveRun(const PartitionState& partition) const {
  return std::ranges::any_of(partition.attempts, [this](AttemptId id) {
    return !attempts_.Get(id).provably_not_run;
  });
}

// Called when no other replica can take the partition: schedules a resend,
// which may go to a replica that already had the partition. Draining replicas
// would refuse again, and a resend to replicas that shed would only add load,
// so neither is sent again.
void QueryRun::WaitToResend(PartitionState& partition, SendKind kind,
                            MonotonicTime now) {
  const bool pointless = partition.reason == MissingReason::kDraining ||
                         partition.reason == MissingReason::kShed;
  const bool unaffordable =
      kind == SendKind::kRetry && shared_.budget.balance() < 1;
  const int doublings = partition.retries + partition.reroutes - 1;
  const Duration wait = Jittered(
      std::min(kShortestResendWait * (1 << doublings), kLongestResendWait));
  const bool too_late = now + wait + kShortestUsefulTime >= request_.deadline;
  if (pointless || unaffordable || too_late) {
    MarkMissing(partition, partition.reason);
    return;
  }
  partition.resend_at = now + wait;
  partition.resend_kind = kind;
  WakeAt(*partition.resend_at);
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
  FollowView();
  LearnHedgeDelay();
  next_timer_ = request_.deadline;
  const MonotonicTime soft_deadline =
      request_.received + service_->soft_deadline;
  if (service_->answer_policy == resources::AnswerPolicy::kLatency &&
      now < soft_deadline) {
    WakeAt(soft_deadline);
  }
  for (PartitionState& partition : partitions_) {
    if (partition.resend_at.has_value() && *partition.resend_at <= now) {
      Resend(partition, now, actions);
    }
    if (partition.hedge_at.has_value() && *partition.hedge_at <= now) {
      Hedge(partition, now, actions);
    }
    if (partition.resend_at.has_value()) {
      WakeAt(*partition.resend_at);
    }
    if (partition.hedge_at.has_value()) {
      WakeAt(*partition.hedge_at);
    }
  }
  Settle(now, actions);
  return actions;
}

void QueryRun::Resend(PartitionState& partition, MonotonicTime now,
                      Actions& actions) {
  const bool wrong_snapshot = partition.reason == MissingReason::kWrongSnapshot;
  if (wrong_snapshot && RestartAllowed(now)) {
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
    // Retry budget or a replica with free slots may become available.
    partition.hedge_at = now + *hedge_delay_;
  }
}

}  // namespace juniperway::routing
