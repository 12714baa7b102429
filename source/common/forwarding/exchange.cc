#include "common/forwarding/exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/forwarding/events.h"

namespace juniperway::forwarding {
namespace {

using logging::LogEvent;

const char* NameOf(RunResult result) {
  switch (result) {
    case RunResult::kSuccess:
      return "success";
    case RunResult::kBackendFailure:
      return "backend_failure";
    case RunResult::kNotRun:
      return "not_run";
    case RunResult::kFailed:
      return "failed";
    case RunResult::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

const char* SuffixOf(ExtraRefusal refusal) {
  switch (refusal) {
    case ExtraRefusal::kNone:
      return "";
    case ExtraRefusal::kBudget:
      return "/no_budget";
    case ExtraRefusal::kNoBackend:
      return "/no_backend";
  }
  return "";
}

// Maximum number of missing shards that a log line names: a scatter may have
// hundreds of shards.
constexpr std::size_t kMaximumNamedShards = 8;
// Maximum number of accepted answers that a log line names.
constexpr std::size_t kMaximumNamedAnswers = 64;

std::string DescribeShard(const MissingShard& shard) {
  std::string tried;
  for (const std::string& id : shard.tried) {
    tried += (tried.empty() ? "" : "+") + id;
  }
  return shard.service + (shard.failed ? "!:" : ":") +
         (tried.empty() ? "none" : tried) + SuffixOf(shard.extra_refusal);
}

// Formats missing shards for the log: "s4!:i-7+i-9,s5:none/no_backend,+3". Each
// entry has the shard, the backends that the router sent it to, and the reason
// why there was no further attempt. "!" marks a shard whose attempts all
// failed; these come first. "+3" counts the shards that are not named.
std::string DescribeMissing(std::vector<MissingShard> missing) {
  std::stable_partition(missing.begin(), missing.end(),
                        [](const MissingShard& shard) { return shard.failed; });
  std::string text;
  for (std::size_t i = 0; i < std::min(missing.size(), kMaximumNamedShards);
       ++i) {
    text += (text.empty() ? "" : ",") + DescribeShard(missing[i]);
  }
  if (missing.size() > kMaximumNamedShards) {
    text += ",+" + std::to_string(missing.size() - kMaximumNamedShards);
  }
  return text;
}

// Formats accepted answers for the log: "s4:i-7#12/length/160,+3". Each entry
// has the service, the backend, the attempt, how the end of the body was
// determined, and the bytes of the body. "+3" counts those that are not named.
std::string DescribeAccepted(const std::vector<AcceptedAnswer>& accepted) {
  std::string text;
  const std::size_t named = std::min(accepted.size(), kMaximumNamedAnswers);
  for (std::size_t i = 0; i < named; ++i) {
    const AcceptedAnswer& answer = accepted[i];
    fmt::format_to(std::back_inserter(text), "{}{}:{}#{}/{}/{}",
                   text.empty() ? "" : ",", answer.service, answer.backend,
                   answer.attempt, net::NameOf(answer.framing),
                   answer.body_bytes);
  }
  if (accepted.size() > named) {
    text += ",+" + std::to_string(accepted.size() - named);
  }
  return text;
}

}  // namespace

Exchange::Exchange(Environment& environment, Request request,
                   std::shared_ptr<net::HttpResponder> responder,
                   std::shared_ptr<RouteLatency> latency)
    : environment_(environment),
      request_(std::move(request)),
      responder_(std::move(responder)),
      latency_(std::move(latency)),
      run_(*request_.route, request_.service, request_.deadline,
           environment.run_options, environment.pool, *latency_,
           request_.suspected),
      timer_(environment.context) {
  run_.RestrictTo(request_.home_regions);
}

void Exchange::Start() {
  responder_->OnClientGone([weak = weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientGone();
    }
  });
  environment_.metrics.OnBegan();
  run_.Start(ReadMonotonicClock(), request_.elapsed_before);
  admitted_at_ = ReadMonotonicClock();
  CarryOutActions();
}

bool Exchange::Admit() {
  const MonotonicTime now = ReadMonotonicClock();
  if (!HasToken(now) || !run_.Admit(now)) {
    return false;
  }
  admitted_at_ = now;
  CarryOutActions();
  return true;
}

// A request must not use an expired token: the request would run in addition to
// those with tokens granted later, and the tenant would exceed its limit.
bool Exchange::HasToken(MonotonicTime now) {
  if (now > request_.token_until) {
    const auto renewed = environment_.renew_token(request_.limited_tenant);
    request_.token_until = renewed.value_or(request_.token_until);
  }
  return now <= request_.token_until;
}

void Exchange::StopWaiting() {
  run_.StopWaiting(ReadMonotonicClock());
  CarryOutActions();
}

void Exchange::OnCapacity() {
  run_.OnBackendsAvailable(ReadMonotonicClock());
  CarryOutActions();
}

void Exchange::CarryOutActions() {
  const auto alive = shared_from_this();
  for (const RunAction& action : run_.TakeActions()) {
    if (const auto* send = std::get_if<SendAction>(&action)) {
      Send(*send);
    } else {
      const auto handle = handles_.find(std::get<CancelAction>(action).attempt);
      if (handle != handles_.end()) {
        environment_.metrics.OnAttemptEnded(AttemptResult::kCancelled);
        environment_.client.Cancel(handle->second);
        handles_.erase(handle);
      }
    }
  }
  if (over_) {
    return;
  }
  if (run_.outcome()) {
    Finish();
    return;
  }
  ArmTimer();
}

void Exchange::Send(const SendAction& action) {
  net::HttpClientRequest request = MakeBackendRequest(
      request_.forwarded, action, environment_.names, ReadMonotonicClock());
  handles_[action.attempt] = environment_.client.Start(
      std::move(request),
      [self = shared_from_this(), action,
       sent = ReadMonotonicClock()](net::HttpClientResponse response) {
        self->OnResponse(action, sent, std::move(response));
      });
}

void Exchange::OnResponse(const SendAction& action, MonotonicTime sent,
                          net::HttpClientResponse response) {
  handles_.erase(action.attempt);
  if (over_) {
    return;
  }
  const net::ReceivedBytes received = response.received;
  const std::string transport_error = response.transport_error;
  const Duration attempt_elapsed = ReadMonotonicClock() - sent;
  AttemptEnd end = ReadBackendResponse(
      std::move(response), environment_.names,
      run_.IsScatter() ? AnswerUse::kMerged : AnswerUse::kPassedOn);
  if (end.result != AttemptResult::kAnswered) {
    LogEvent(kAttemptFailed, {{"request", request_.forwarded.request_id},
                              {"route", request_.route->name},
                              {"attempt", action.attempt},
                              {"backend", action.backend},
                              {"address", action.address},
                              {"version", action.version},
                              {"canary", action.canary},
                              {"result", NameOf(end.result)},
                              {"status", received.status},
                              {"framing", net::NameOf(received.framing)},
                              {"body_bytes", received.body},
                              {"error", transport_error + end.discard_reason},
                              {"connection_lost", end.connection_lost},
                              {"after_ms", ToMilliseconds(attempt_elapsed)},
                              {"fingerprint", Fingerprint()}});
  }
  environment_.metrics.OnAttemptEnded(end.result);
  if (action.canary) {
    environment_.metrics.OnCanaryAttemptEnded(end.result);
  }
  run_.OnEnded(action.attempt, std::move(end), ReadMonotonicClock());
  CarryOutActions();
  environment_.on_progress(*this);
}

void Exchange::OnClientGone() {
  if (over_) {
    return;
  }
  const MonotonicTime now = ReadMonotonicClock();
  LogEvent(kClientGone, {{"request", request_.forwarded.request_id},
                         {"route", request_.route->name},
                         {"after_ms", ToMilliseconds(now - request_.began)}});
  over_ = true;
  timer_.cancel();
  run_.OnClientGone(now);
  CarryOutActions();
  environment_.metrics.OnEnded(RequestEnd::kClientGone, run_, /*missing=*/0,
                               now - request_.began);
  environment_.on_over(*this);
}

void Exchange::Abandon() {
  if (over_) {
    return;
  }
  over_ = true;
  timer_.cancel();
  run_.OnClientGone(ReadMonotonicClock());
  CarryOutActions();
  RunOutcome outcome;
  outcome.result =
      run_.attempts() == 0 ? RunResult::kNotRun : RunResult::kFailed;
  outcome.reason = "this router is shutting down";
  Answer(std::move(outcome));
}

void Exchange::ArmTimer() {
  const MonotonicTime deadline = run_.NextDeadline();
  if (timer_due_ <= deadline) {
    return;
  }
  timer_due_ = deadline;
  const MonotonicTime now = ReadMonotonicClock();
  timer_.expires_after(std::max(Duration(deadline - now), Duration(0)));
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    const auto self = weak.lock();
    if (error || !self || self->over_) {
      return;
    }
    self->timer_due_ = MonotonicTime::max();
    self->run_.OnDeadline(ReadMonotonicClock());
    self->CarryOutActions();
  });
}

void Exchange::Finish() {
  over_ = true;
  timer_.cancel();
  Answer(*run_.outcome());
}

void Exchange::Answer(RunOutcome outcome) {
  const Duration elapsed = ReadMonotonicClock() - request_.began;
  LogEnd(outcome, elapsed);
  environment_.metrics.OnEnded(EndOf(outcome), run_, outcome.missing.size(),
                               elapsed);
  responder_->Send(MakeClientResponse(std::move(outcome), environment_.names));
  environment_.on_over(*this);
}

std::string Exchange::Fingerprint() const {
  return ToText(request_.fingerprint);
}

void Exchange::LogEnd(const RunOutcome& outcome, Duration elapsed) const {
  if (EndOf(outcome) == RequestEnd::kWhole) {
    if (!logging::IsLogged(kRequestServed)) {
      return;
    }
    LogEvent(kRequestServed, {{"request", request_.forwarded.request_id},
                              {"route", request_.route->name},
                              {"table", request_.table->version},
                              {"revision", request_.revision},
                              {"attempts", run_.attempts()},
                              {"hedges", run_.hedges()},
                              {"answers", DescribeAccepted(outcome.accepted)},
                              {"elapsed_ms", ToMilliseconds(elapsed)}});
    return;
  }
  const Duration allowed = request_.deadline - request_.began;
  const Duration waited =
      run_.attempts() == 0 ? elapsed : admitted_at_ - request_.began;
  LogEvent(kRequestEnded, {{"request", request_.forwarded.request_id},
                           {"route", request_.route->name},
                           {"table", request_.table->version},
                           {"revision", request_.revision},
                           {"result", NameOf(outcome.result)},
                           {"reason", outcome.reason},
                           {"missing", outcome.missing.size()},
                           {"missing_shards", DescribeMissing(outcome.missing)},
                           {"answers", DescribeAccepted(outcome.accepted)},
                           {"attempts", run_.attempts()},
                           {"hedges", run_.hedges()},
                           {"fingerprint", Fingerprint()},
                           {"caller", request_.client_address},
                           {"allowed_ms", ToMilliseconds(allowed)},
                           {"waited_ms", ToMilliseconds(waited)},
                           {"elapsed_ms", ToMilliseconds(elapsed)}});
}

}  // namespace juniperway::forwarding
