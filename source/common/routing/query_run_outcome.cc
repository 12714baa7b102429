// Ends a query: decides when the answer is due, cancels outstanding attempts,
// and builds the answer or refusal.
#include <algorithm>
#include <string>
#include <utility>

#include "common/routing/coverage.h"
#include "common/routing/query_run.h"

namespace juniperway::routing {
namespace {

// Minimum retry-after of a refusal, by its reason. A longer hint from an owner
// takes precedence.
constexpr Duration kShedRetryAfter = milliseconds(100);
constexpr Duration kRelocationRetryAfter = milliseconds(200);
constexpr Duration kFailureRetryAfter = seconds(1);

Duration RetryAfterOf(MissingReason reason) {
  switch (reason) {
    case MissingReason::kDeadline:
    case MissingReason::kShed:
      return kShedRetryAfter;
    case MissingReason::kDraining:
    case MissingReason::kWrongSnapshot:
      return kRelocationRetryAfter;
    case MissingReason::kLost:
    case MissingReason::kUnreachable:
      return kFailureRetryAfter;
  }
  return kFailureRetryAfter;
}

}  // namespace

Actions QueryRun::OnClientGone(MonotonicTime now) {
  Actions actions;
  if (!finished_) {
    CancelAll(now, actions);
    actions.outcome = Abandoned{attempt_log_.Execution()};
    finished_ = true;
  }
  return actions;
}

void QueryRun::RestartOrFinish(MonotonicTime now, Actions& actions) {
  if (finished_) {
    return;
  }
  if (restart_wanted_) {
    TryRestart(now, actions);
  }
  if (IsAnswerDue(now)) {
    Finish(now, actions);
  }
}

bool QueryRun::IsAnswerDue(MonotonicTime now) const {
  if (pending_ == 0 || now >= request_.deadline) {
    return true;
  }
  const bool may_be_partial =
      service_->answer_policy == resources::AnswerPolicy::kLatency &&
      now >= request_.received + service_->soft_deadline;
  const double share =
      static_cast<double>(searched_width_) /
      static_cast<double>(requested_range_.end - requested_range_.begin);
  return may_be_partial && searched_width_ > 0 &&
         share >= service_->minimum_coverage;
}

void QueryRun::Finish(MonotonicTime now, Actions& actions) {
  CancelAll(now, actions);
  finished_ = true;
  for (PartitionState& partition : partitions_) {
    if (partition.status != PartitionStatus::kPending) {
      continue;
    }
    const bool refused = partition.resend_at.has_value();
    MarkMissing(partition,
                refused ? partition.reason : MissingReason::kDeadline);
  }
  if (searched_width_ > 0) {
    actions.outcome = MakeAnswer();
  } else {
    actions.outcome = MakeRefusal(now);
  }
}

void QueryRun::CancelAll(MonotonicTime now, Actions& actions) {
  DropPlannedBatches(actions);
  for (AttemptId id = 0; id < attempt_log_.size(); ++id) {
    if (attempt_log_.Get(id).status == AttemptStatus::kOutstanding) {
      AbandonAttempt(id, now, actions);
    }
  }
}

// The batches planned during this call have not been sent, so dropping them
// needs no cancellation.
void QueryRun::DropPlannedBatches(Actions& actions) {
  for (const Batch& batch : actions.batches) {
    for (const PlannedSubquery& subquery : batch.subqueries) {
      Attempt& attempt = attempt_log_.Get(subquery.attempt_id);
      attempt_log_.MarkProvablyNotRun(subquery.attempt_id);
      attempt.status = AttemptStatus::kAbandoned;
      --partitions_[attempt.partition].outstanding;
      front_.backends.OnAttemptEnded(attempt.backend);
      if (attempt.probe) {
        front_.backends.OnProbeAbandoned(attempt.backend);
      }
    }
  }
  actions.batches.clear();
}

void QueryRun::AbandonAttempt(AttemptId id, MonotonicTime now,
                              Actions& actions) {
  Attempt& attempt = attempt_log_.Get(id);
  attempt.status = AttemptStatus::kAbandoned;
  --partitions_[attempt.partition].outstanding;
  front_.backends.OnAttemptEnded(attempt.backend);
  RecordUnansweredAttempt(attempt, now);
  const auto known = std::ranges::find(actions.cancellations, attempt.owner,
                                       &Cancellation::owner);
  if (known != actions.cancellations.end()) {
    known->attempts.push_back(id);
  } else {
    actions.cancellations.push_back({attempt.owner, {id}});
  }
}

AdmissionLimit::LoadEvidence QueryRun::LoadEvidenceOf(
    const QueryOutcome& outcome) const {
  if (std::holds_alternative<Abandoned>(outcome)) {
    return AdmissionLimit::LoadEvidence::kOther;
  }
  const bool some_shed =
      std::ranges::any_of(partitions_, [](const PartitionState& partition) {
        return partition.status == PartitionStatus::kMissing &&
               partition.shed_by_busy_backend;
      });
  const auto* answer = std::get_if<Answer>(&outcome);
  const double wanted =
      service_->answer_policy == resources::AnswerPolicy::kLatency
          ? service_->minimum_coverage
          : 1;
  const bool enough = answer != nullptr && answer->coverage.share >= wanted;
  if (enough) {
    return AdmissionLimit::LoadEvidence::kServed;
  }
  return some_shed ? AdmissionLimit::LoadEvidence::kOverloaded
                   : AdmissionLimit::LoadEvidence::kOther;
}

Answer QueryRun::MakeAnswer() {
  Answer answer;
  answer.index_version = pinned_route_->index_version;
  std::vector<RangeOutcome> outcomes;
  outcomes.reserve(partitions_.size());
  for (PartitionState& partition : partitions_) {
    if (partition.status != PartitionStatus::kSearched) {
      outcomes.push_back({partition.range, partition.reason});
      continue;
    }
    outcomes.push_back({partition.range, std::nullopt});
    const std::size_t space = request_.row_limit - answer.rows.size();
    const std::vector<ResultRow>& rows = partition.block.rows;
    const std::size_t taken = std::min(space, rows.size());
    answer.truncated |= taken < rows.size();
    answer.rows.insert(answer.rows.end(), rows.begin(),
                       rows.begin() + static_cast<std::ptrdiff_t>(taken));
    answer.storage.push_back(std::move(partition.block.storage));
  }
  answer.coverage = MakeCoverage(outcomes);
  answer.execution = answer.coverage.missing.empty()
                         ? ExecutionState::kRan
                         : ExecutionState::kMayHaveRun;
  return answer;
}

Refusal QueryRun::MakeRefusal(MonotonicTime now) {
  Refusal refusal;
  refusal.execution = attempt_log_.Execution();
  if (partitions_.empty()) {
    refusal.error = {ErrorCode::kInvalidArgument, "range",
                     "contains no key of the served index snapshot"};
    return refusal;
  }
  // The reasons may differ between partitions; the refusal names the first one.
  const MissingReason reason = partitions_.front().reason;
  const bool late =
      now >= request_.deadline || reason == MissingReason::kDeadline;
  refusal.error.code =
      late ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable;
  refusal.error.message =
      "no partition was searched: " + std::string(MissingReasonName(reason));
  const Duration base = std::max(RetryAfterOf(reason), retry_after_hint_);
  refusal.retry_after = Jittered(base);
  return refusal;
}

}  // namespace juniperway::routing
