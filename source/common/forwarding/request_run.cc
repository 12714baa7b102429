#include "common/forwarding/request_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/forwarding/top_records.h"

namespace juniperway::forwarding {
namespace {

// Attempts that a backend did not run (shed, misplaced or unsent) do not count
// towards the route's maximum. This bounds how many of them a shard may add to
// that maximum.
constexpr std::size_t kMaximumUnrunAttempts = 2;
// Delay until the run tries again to send a hedge that it could not send.
constexpr Duration kHedgeRetryDelay = milliseconds(20);
// Number of lost backends, while none has answered, after which the run sends
// the request to only one more backend. Otherwise, a scatter that crashes
// backends would continue with the next replica of each shard and reach 8
// instead of 5 of 12 backends (integration.forwarding/crashing_requests).
constexpr std::size_t kSuspectedAfterLost = 3;
// A router that processes a due hedge later than this is itself overloaded: it
// has not yet read answers that have arrived, or not yet sent earlier requests.
// Hedges add to that load. Without this limit, routers opened 192,295
// connections for 138,455 requests that reached a backend, partly for hedges
// that were cancelled before they were sent. An event loop without backlog is
// less than 1 ms late; reading an answer takes 0.3 ms at 0.12 of a core.
constexpr Duration kMaximumHedgeLateness = milliseconds(4);
// An overloaded router checks the hedge again after a delay equal to the
// lateness of the check, up to this maximum, which suits a target of 100 ms.
constexpr Duration kMaximumHedgeRecheckDelay = milliseconds(20);
constexpr Duration kMinimumHedgeDelay = milliseconds(5);
// Quantile of hedge latencies, including connection setup, that the hedge delay
// must leave before the target.
constexpr double kHedgeLatencyQuantile = 0.9;

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Unique across all runs of the process. Not synchronized: the process has one
// event loop.
AttemptId NextAttemptId() {
  static AttemptId last = 0;
  return ++last;
}

}  // namespace

RequestRun::RequestRun(const routes::Route& route, const std::string& service,
                       MonotonicTime deadline, const RunOptions& options,
                       BackendPool& pool, RouteLatency& latency, bool suspected)
    : route_(route),
      scatter_(std::get_if<routes::ScatterTarget>(&route.destination)),
      home_regions_(route.home_regions),
      options_(options),
      pool_(pool),
      latency_(latency),
      deadline_(deadline),
      suspected_before_(suspected) {
  if (scatter_ == nullptr) {
    shards_.emplace_back().service = service;
    return;
  }
  shards_.resize(scatter_->shards.size());
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shards_[i].service = scatter_->shards[i];
  }
}

void RequestRun::RestrictTo(const routes::HomeRegions& regions) {
  home_regions_ = routes::HomeRegions::Intersection(home_regions_, regions);
}

std::size_t RequestRun::RequiredShards() const {
  constexpr double kRounding = 1e-9;
  const double share =
      scatter_->minimum_coverage * static_cast<double>(shards_.size());
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(share - kRounding)));
}

void RequestRun::Start(MonotonicTime now, Duration elapsed_before) {
  deadline_ = std::min(deadline_, now + route_.timeout);
  target_by_ = now + route_.target - elapsed_before;
  wait_until_ =
      now + Scaled(Duration(deadline_ - now), options_.maximum_wait_share);
  Admit(now);
}

bool RequestRun::Admit(MonotonicTime now) {
  std::size_t usable = 0;
  std::size_t busy = 0;
  for (const Shard& shard : shards_) {
    const Availability availability = pool_.AvailabilityOf(NeedOf(shard), now);
    usable += availability == Availability::kUsable ? 1 : 0;
    busy += availability == Availability::kBusy ? 1 : 0;
  }
  const std::size_t required = IsScatter() ? RequiredShards() : 1;
  if (usable + busy < required) {
    // The run sends nothing, so the request has not run and the client may send
    // it again.
    Finish(RunResult::kNotRun, "too few shards have backends", now);
    return true;
  }
  if (usable < required) {
    return false;
  }
  admitted_ = true;
  // A request that is already late still gets half of the target to complete.
  answer_by_ = std::max(target_by_ - AnswerMargin(), now + route_.target / 2);
  // A request that is not late stops waiting early enough for its client to
  // send it again. The client of a late request has most likely used up its
  // retries.
  shards_wait_until_ = target_by_ < now ? wait_until_ : now + route_.target;
  for (Shard& shard : shards_) {
    pool_.OnFirstRequest(shard.service, now);
    SendOrWait(shard, now);
  }
  ResumeShardsAwaitingEvidence(now);
  Evaluate(now);
  return true;
}

void RequestRun::StopWaiting(MonotonicTime now) {
  if (waiting()) {
    Finish(RunResult::kNotRun, "too many requests wait", now);
  }
}

bool RequestRun::short_of_backends() const {
  return !over_ && std::ranges::any_of(shards_, &Shard::waits_for_backend);
}

void RequestRun::OnBackendsAvailable(MonotonicTime now) {
  if (over_) {
    return;
  }
  for (Shard& shard : shards_) {
    if (shard.waits_for_backend) {
      SendOrWait(shard, now);
    }
  }
  ResumeShardsAwaitingEvidence(now);
  Evaluate(now);
}

// --- Attempts ----------------------------------------------------------------

BackendCriteria RequestRun::NeedOf(const Shard& shard) const {
  return {.service = shard.service,
          .home_regions = home_regions_,
          .tried = shard.tried};
}

bool RequestRun::Send(Shard& shard, MonotonicTime now) {
  const BackendPool::Backend* backend = pool_.Choose(NeedOf(shard), now);
  if (backend == nullptr) {
    shard.extra_refusal = ExtraRefusal::kNoBackend;
    return false;
  }
  const bool extra = shard.may_have_arrived || !shard.in_flight.empty();
  if (extra && !pool_.TryTakeExtraAttempt(shard.service, now)) {
    shard.extra_refusal = ExtraRefusal::kBudget;
    return false;
  }
  shard.extra_refusal = ExtraRefusal::kNone;
  const AttemptId attempt = NextAttemptId();
  const std::string& id = backend->info.id;
  const bool hedge = !shard.in_flight.empty();
  shard.in_flight.push_back({.id = attempt,
                             .backend = id,
                             .incarnation = IncarnationName(backend->info),
                             .address = backend->info.address,
                             .sent = now,
                             .hedge = hedge});
  shard.tried.push_back(id);
  ++shard.runs;
  ++attempts_sent_;
  const Duration delay = HedgeDelay();
  shard.next_hedge = now + delay;
  actions_.emplace_back(SendAction{
      .attempt = attempt,
      .backend = id,
      .address = backend->info.address,
      .deadline = deadline_,
      .names_request = backend->service->names_requests,
      .names_request_in_failures = backend->service->names_requests_in_failures,
      .version = backend->info.version,
      .canary = backend->info.canary});
  pool_.OnSent(id, attempt, now);
  return true;
}

void RequestRun::SendOrWait(Shard& shard, MonotonicTime now) {
  shard.waits_for_backend = false;
  if (IsSuspected() || MustAwaitAnswer()) {
    AwaitEvidence(shard);
  } else if (!Send(shard, now)) {
    WaitOrFail(shard, now);
  }
}

void RequestRun::WaitOrFail(Shard& shard, MonotonicTime now) {
  shard.waits_for_backend =
      shard.extra_refusal == ExtraRefusal::kNoBackend &&
      now < shards_wait_until_ &&
      pool_.AvailabilityOf(NeedOf(shard), now) == Availability::kBusy;
  shard.failed = !shard.waits_for_backend;
}

// --- Requests that may crash backends ----------------------------------------

bool RequestRun::IsSuspected() const {
  const bool suspected =
      suspected_before_ || crash_evidence_.lost.size() >= kSuspectedAfterLost;
  return suspected && !crash_evidence_.survived;
}

bool RequestRun::MustAwaitAnswer() const {
  return !crash_evidence_.lost.empty() && !crash_evidence_.survived &&
         HasAttemptInFlight();
}

bool RequestRun::HasAttemptInFlight() const {
  return std::ranges::any_of(
      shards_, [](const Shard& shard) { return !shard.in_flight.empty(); });
}

void RequestRun::RecordCrashEvidence(const Attempt& attempt,
                                     const AttemptEnd& end) {
  // An error answer is no evidence that the backend survived the request: the
  // backend may send it before it runs the request.
  crash_evidence_.survived |= end.result == AttemptResult::kAnswered;
  if (end.connection_lost) {
    crash_evidence_.lost.push_back({attempt.incarnation, attempt.address});
  }
  switch (end.result) {
    case AttemptResult::kShed:
    case AttemptResult::kWrongBackend:
    case AttemptResult::kUnsent:
    case AttemptResult::kRefused:
      // The backend did not run the request, so the trial attempt is no
      // evidence.
      trial_sent_ = false;
      break;
    case AttemptResult::kAnswered:
    case AttemptResult::kFailed:
    case AttemptResult::kReset:
    case AttemptResult::kIncompleteAnswer:
    case AttemptResult::kCancelled:
      break;
  }
}

void RequestRun::AwaitEvidence(Shard& shard) {
  shard.awaits_evidence = true;
  shard.next_hedge = MonotonicTime::max();
  ++shards_awaiting_evidence_;
}

void RequestRun::SendTrial(MonotonicTime now) {
  for (Shard& shard : shards_) {
    if (!shard.awaits_evidence) {
      continue;
    }
    shard.awaits_evidence = false;
    --shards_awaiting_evidence_;
    trial_sent_ = Send(shard, now);
    if (trial_sent_) {
      return;
    }
    WaitOrFail(shard, now);
  }
}

void RequestRun::ResumeShardsAwaitingEvidence(MonotonicTime now) {
  if (over_ || shards_awaiting_evidence_ == 0) {
    return;
  }
  if (!crash_evidence_.survived && HasAttemptInFlight()) {
    return;
  }
  if (IsSuspected() && !trial_sent_) {
    SendTrial(now);
    return;
  }
  shards_awaiting_evidence_ = 0;
  for (Shard& shard : shards_) {
    if (!std::exchange(shard.awaits_evidence, false)) {
      continue;
    }
    if (IsSuspected()) {
      shard.failed = true;
    } else {
      SendOrWait(shard, now);
    }
  }
}

// --- Hedges and retries ------------------------------------------------------

Duration RequestRun::AnswerMargin() const {
  return options_.answer_margin +
         options_.part_margin * static_cast<Duration::rep>(shards_.size());
}

Duration RequestRun::MaximumHedgeDelay() const {
  const Duration minimum =
      Scaled(route_.target, options_.minimum_hedge_delay_share);
  const Duration maximum =
      Scaled(route_.target, options_.maximum_hedge_delay_share);
  const auto hedge = latency_.hedges.Quantile(kHedgeLatencyQuantile);
  if (!hedge) {
    return minimum;
  }
  const Duration in_time = route_.target - AnswerMargin() - *hedge;
  return std::clamp(in_time, minimum, maximum);
}

Duration RequestRun::HedgeDelay() const {
  const auto typical = latency_.attempts.Quantile(options_.hedge_quantile);
  const Duration maximum = MaximumHedgeDelay();
  return std::max(kMinimumHedgeDelay,
                  typical ? std::min(*typical, maximum) : maximum);
}

bool RequestRun::MaySendAgain(const Shard& shard) const {
  const std::size_t maximum_sent =
      route_.maximum_attempts + kMaximumUnrunAttempts;
  return shard.runs < route_.maximum_attempts &&
         shard.tried.size() < maximum_sent;
}

void RequestRun::Hedge(Shard& shard, MonotonicTime now) {
  if (!route_.repeatable || !MaySendAgain(shard)) {
    shard.next_hedge = MonotonicTime::max();
    return;
  }
  if (!IsSuspected() && Send(shard, now)) {
    ++hedges_;
  } else {
    shard.next_hedge = now + kHedgeRetryDelay;
  }
}

void RequestRun::Retry(Shard& shard, MonotonicTime now) {
  if (!shard.in_flight.empty()) {
    if (MaySendAgain(shard) && !IsSuspected()) {
      Send(shard, now);
    }
  } else if (MaySendAgain(shard)) {
    SendOrWait(shard, now);
  } else {
    shard.failed = true;
  }
}

void RequestRun::OnEnded(AttemptId attempt, AttemptEnd end, MonotonicTime now) {
  if (over_) {
    return;
  }
  for (Shard& shard : shards_) {
    const auto found =
        std::ranges::find(shard.in_flight, attempt, &Attempt::id);
    if (found == shard.in_flight.end()) {
      continue;
    }
    const Attempt ended = *found;
    shard.in_flight.erase(found);
    RecordCrashEvidence(ended, end);
    ReportAttemptEnd(ended, end.result, now);
    shard.may_have_arrived |= end.result != AttemptResult::kUnsent &&
                              end.result != AttemptResult::kRefused;
    sheds_ += end.result == AttemptResult::kShed ? 1 : 0;
    if (end.names_request) {
      pool_.OnNamedRequest(shard.service,
                           end.result == AttemptResult::kAnswered);
    }
    switch (end.result) {
      case AttemptResult::kAnswered:
        latency_.attempts.Record(now - ended.sent);
        if (ended.hedge) {
          latency_.hedges.Record(now - ended.sent);
        }
        may_have_run_ = true;
        shard.answered = true;
        shard.answer = std::move(end.answer);
        shard.answered_attempt = ended.id;
        shard.answered_by = ended.backend;
        CancelInFlight(shard, now);
        break;
      case AttemptResult::kRefused:
        // The run sent nothing to the backend, which may get the request after
        // its backoff.
        std::erase(shard.tried, ended.backend);
        [[fallthrough]];
      case AttemptResult::kUnsent:
      case AttemptResult::kShed:
      case AttemptResult::kWrongBackend:
        --shard.runs;
        Retry(shard, now);
        break;
      case AttemptResult::kFailed:
        shard.failure = std::move(end.answer);
        [[fallthrough]];
      case AttemptResult::kReset:
      case AttemptResult::kIncompleteAnswer:
      case AttemptResult::kCancelled:
        may_have_run_ = true;
        if (route_.repeatable) {
          Retry(shard, now);
        } else {
          shard.failed = shard.in_flight.empty();
        }
        break;
    }
    break;
  }
  ResumeShardsAwaitingEvidence(now);
  Evaluate(now);
}

void RequestRun::OnDeadline(MonotonicTime now) {
  if (over_) {
    return;
  }
  if (!admitted_) {
    if (now >= wait_until_) {
      Finish(RunResult::kNotRun, "no backend became free in time", now);
    }
    return;
  }
  for (Shard& shard : shards_) {
    const bool open = !shard.answered && !shard.failed &&
                      !shard.awaits_evidence && !shard.waits_for_backend;
    if (!open || now < shard.next_hedge) {
      continue;
    }
    const Duration lateness = now - shard.next_hedge;
    if (lateness > kMaximumHedgeLateness) {
      shard.next_hedge = now + std::min(lateness, kMaximumHedgeRecheckDelay);
    } else {
      Hedge(shard, now);
    }
  }
  Evaluate(now);
}

void RequestRun::OnClientGone(MonotonicTime now) {
  if (!over_) {
    over_ = true;
    CancelAll(now);
  }
}

void RequestRun::CancelAll(MonotonicTime now) {
  for (Shard& shard : shards_) {
    may_have_run_ |= !shard.in_flight.empty();
    CancelInFlight(shard, now);
  }
}

void RequestRun::CancelInFlight(Shard& shard, MonotonicTime now) {
  for (const Attempt& attempt : shard.in_flight) {
    ReportAttemptEnd(attempt, AttemptResult::kCancelled, now);
    actions_.emplace_back(CancelAction{attempt.id});
  }
  shard.in_flight.clear();
}

void RequestRun::ReportAttemptEnd(const Attempt& attempt, AttemptResult result,
                                  MonotonicTime now) {
  pool_.CountForRollout(route_.name, attempt.backend,
                        {.result = result, .elapsed = now - attempt.sent});
  pool_.OnEnded(attempt.backend, attempt.id, result, now);
}

// --- Outcome -----------------------------------------------------------------

void RequestRun::Evaluate(MonotonicTime now) {
  if (over_) {
    return;
  }
  const auto count = [this](auto is) {
    return static_cast<std::size_t>(std::ranges::count_if(shards_, is));
  };
  const std::size_t answered =
      count([](const Shard& shard) { return shard.answered; });
  const std::size_t failed =
      count([](const Shard& shard) { return shard.failed; });
  const std::size_t required = IsScatter() ? RequiredShards() : 1;
  const bool all_ended = answered + failed == shards_.size();
  if (answered >= required && (all_ended || now >= answer_by_)) {
    Finish(RunResult::kSuccess, all_ended ? "all ended" : "target", now);
  } else if (shards_.size() - failed < required) {
    const Shard& first = shards_.front();
    if (!IsScatter() && first.failure) {
      Finish(RunResult::kBackendFailure, "the backend failed", now);
      return;
    }
    CancelAll(now);
    Finish(may_have_run_ ? RunResult::kFailed : RunResult::kNotRun,
           "no backend answered", now);
  } else if (now >= deadline_) {
    CancelAll(now);
    Finish(may_have_run_ ? RunResult::kTimedOut : RunResult::kNotRun,
           "deadline", now);
  }
}

void RequestRun::Finish(RunResult result, const char* reason,
                        MonotonicTime now) {
  over_ = true;
  succeeded_in_target_ = result == RunResult::kSuccess && now <= target_by_;
  RunOutcome outcome;
  outcome.result = result;
  outcome.reason = reason;
  if (result == RunResult::kFailed && IsSuspected()) {
    outcome.retry_after = options_.suspect_retry_after;
  }
  if (IsScatter()) {
    ListMissingShards(outcome);
  }
  if (result == RunResult::kSuccess) {
    ListAcceptedAnswers(outcome);
  }
  if (result == RunResult::kSuccess && IsScatter()) {
    MergeParts(outcome);
  } else if (result == RunResult::kSuccess) {
    outcome.answer = std::move(shards_.front().answer);
  } else if (result == RunResult::kBackendFailure) {
    outcome.answer = std::move(*shards_.front().failure);
  }
  CancelAll(now);
  outcome_ = std::move(outcome);
}

void RequestRun::ListMissingShards(RunOutcome& outcome) const {
  for (const Shard& shard : shards_) {
    if (!shard.answered) {
      outcome.missing.push_back(
          {shard.service, shard.tried, shard.failed, shard.extra_refusal});
    }
  }
}

void RequestRun::ListAcceptedAnswers(RunOutcome& outcome) const {
  for (const Shard& shard : shards_) {
    if (shard.answered) {
      outcome.accepted.push_back({.service = shard.service,
                                  .backend = shard.answered_by,
                                  .attempt = shard.answered_attempt,
                                  .framing = shard.answer.framing,
                                  .body_bytes = shard.answer.body.size()});
    }
  }
}

void RequestRun::MergeParts(RunOutcome& outcome) const {
  std::vector<std::string_view> parts;
  for (const Shard& shard : shards_) {
    if (shard.answered) {
      outcome.signatures.push_back(shard.answer.signature);
      parts.push_back(shard.answer.body);
    }
  }
  outcome.merged_records = MergeTopRecords(parts, scatter_->top_k);
}

std::vector<RunAction> RequestRun::TakeActions() {
  return std::exchange(actions_, {});
}

MonotonicTime RequestRun::NextDeadline() const {
  if (over_) {
    return MonotonicTime::max();
  }
  if (!admitted_) {
    return wait_until_;
  }
  MonotonicTime next = deadline_;
  const bool enough =
      IsScatter() &&
      static_cast<std::size_t>(std::ranges::count_if(
          shards_, [](const Shard& shard) { return shard.answered; })) >=
          RequiredShards();
  if (enough) {
    next = std::min(next, answer_by_);
  }
  for (const Shard& shard : shards_) {
    if (!shard.answered && !shard.failed && !shard.waits_for_backend) {
      next = std::min(next, shard.next_hedge);
    }
  }
  return next;
}

}  // namespace juniperway::forwarding
