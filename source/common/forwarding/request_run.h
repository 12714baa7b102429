// Decides how one client's request is processed, from its route to its answer:
// which backends the router sends it to, when it hedges or retries an attempt,
// when it stops waiting, and what the client's answer contains. A request to
// one service is a run with one shard. An Exchange owns the run and performs
// its I/O. The run reads no clock: time is an argument, and actions are values.
//
// Use: call Start, then OnEnded for each attempt and OnDeadline at
// NextDeadline(); after each call, carry out TakeActions(). Once outcome() has
// a value the run is over, and the pending actions cancel the attempts in
// flight.
//
// While too many of the backends that it needs are busy, a run waits: it sends
// nothing before Admit() finds enough of them free. An admitted run that lacks
// free backends for some shards looks for them again in OnBackendsAvailable().
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/base/time.h"
#include "common/forwarding/backend_pool.h"
#include "common/net/response_message.h"
#include "common/routes/route_table.h"
#include "common/routing/latency_tracker.h"

namespace juniperway::forwarding {

// Sends the request to one backend.
struct SendAction {
  AttemptId attempt = 0;
  // Id of the backend.
  std::string backend;
  std::string address;
  // The client's deadline, shortened by the route's timeout.
  MonotonicTime deadline;
  // Whether backends of this service echo the request id. An answer without one
  // then belongs to another request.
  bool names_request = false;
  // The same for answers that are no successes.
  bool names_request_in_failures = false;
  // The version that the backend runs, when its service has a rollout.
  std::string version{};
  bool canary = false;
};
// Cancels an attempt in flight.
struct CancelAction {
  AttemptId attempt = 0;
};
using RunAction = std::variant<SendAction, CancelAction>;

// A backend whose connection was lost while it had the request.
struct LostBackend {
  // See session::IncarnationName. A backend that restarts under the same id may
  // be lost again and counts as another one.
  std::string incarnation;
  std::string address;
};

// What a run observed about whether its request crashes backends.
struct CrashEvidence {
  std::vector<LostBackend> lost;
  // Whether a backend ran the request and sent a successful answer.
  bool survived = false;
};

// A complete answer of a backend.
struct BackendAnswer {
  int status = 0;
  // How the end of its body was determined.
  net::BodyFraming framing = net::BodyFraming::kUnknown;
  // Headers in the order received, without those of the connection.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string signature;
  std::string body;
};

// How an attempt ended.
struct AttemptEnd {
  AttemptResult result = AttemptResult::kIncompleteAnswer;
  // For kReset and kIncompleteAnswer: whether the connection was lost while the
  // backend had the request, before the first byte of an answer.
  bool connection_lost = false;
  // Whether the answer echoes the request id, with any result.
  bool names_request = false;
  // Set for kAnswered and kFailed.
  BackendAnswer answer;
  // Why a whole answer is not taken, for the log; empty otherwise.
  const char* discard_reason = "";
};

// How a run ended.
enum class RunResult {
  kSuccess,         // A backend, or enough shards of a scatter, answered.
  kBackendFailure,  // The client gets the backend's own error answer.
  kNotRun,          // No backend ran the request, and none will.
  kFailed,          // A backend may have run the request; none answered.
  kTimedOut,        // The deadline passed; a backend may have run it.
};

// Why the run did not send the latest attempt that was due for a shard: the
// retry budget was used up, or no backend was available.
enum class ExtraRefusal { kNone, kBudget, kNoBackend };

// A shard whose part is missing from the client's answer.
struct MissingShard {
  std::string service;
  // Ids of the backends that the request was sent to, in this order.
  std::vector<std::string> tried;
  // Whether all attempts at the shard had ended. False when the run ended while
  // it still waited for the shard.
  bool failed = false;
  ExtraRefusal extra_refusal = ExtraRefusal::kNone;
};

// An answer that the client's answer contains, for the log.
struct AcceptedAnswer {
  std::string service;
  std::string backend;
  AttemptId attempt = 0;
  net::BodyFraming framing = net::BodyFraming::kUnknown;
  std::size_t body_bytes = 0;
};

// The content of the client's answer.
struct RunOutcome {
  RunResult result = RunResult::kNotRun;
  // For a split: the answer to pass on.
  BackendAnswer answer;
  // For a scatter with any result: the shards that have not answered.
  std::vector<MissingShard> missing;
  // For a scatter that succeeded: the shards' signatures and the merged
  // records.
  std::vector<std::string> signatures;
  std::string merged_records;
  // The answers of backends that the client's answer is made of.
  std::vector<AcceptedAnswer> accepted;
  // For kFailed: minimum time before the client sends the request again. Zero
  // omits it from the answer.
  Duration retry_after{};
  // The reason, for the log and the client's error message.
  const char* reason = "";
};

// Latencies of a route's attempts at all backends. RouterServer owns one for
// each route, and the route's exchanges share it.
struct RouteLatency {
  routing::LatencyTracker attempts;
  // Latencies of the hedges that were answered first. They include round trips
  // to other regions and new connections.
  routing::LatencyTracker hedges;
};

// Settings that all runs of a router share. The router's options own them.
struct RunOptions {
  // How long before the target the router sends its answer: the round trip
  // between router and client, and the time to write the answer.
  Duration answer_margin = milliseconds(18);
  // Additional time for each part. Merging a part and writing its signature
  // takes about 7 us of a core, and routers have 0.12 of a core. Without this
  // margin, half of the answers with 90 parts miss a target of 120 ms by at
  // least 0.5 ms.
  Duration part_margin = microseconds(60);
  // An attempt that is slower than this quantile of the route's latencies is
  // hedged. A higher quantile, such as 0.99, starts hedges too late to answer
  // before the target when backends are slow.
  double hedge_quantile = 0.95;
  // The hedge delay also has an upper bound that leaves the hedge time to be
  // answered within the target. The bound lies between these two shares of the
  // target. It takes effect when many backends are slow, because the quantile
  // then describes only the slow backends.
  double minimum_hedge_delay_share = 0.25;
  double maximum_hedge_delay_share = 0.5;
  // Retry-After of a request that is suspected of crashing backends. The
  // control group attributes a crash in less time
  // (control/crash_attribution.h).
  Duration suspect_retry_after = seconds(1);
  // Maximum share of a request's time for which the request waits for busy
  // backends. The router then refuses the request, so that the client has time
  // to send it to another router.
  double maximum_wait_share = 0.75;
};

// The state machine of one request; see the top of this file.
class RequestRun {
 public:
  // @param service the service that was chosen for a split; a scatter
  //   ignores it.
  // @param deadline when the client stops waiting.
  // @param suspected whether backends have crashed while they ran the request
  //   before. The run then sends one trial attempt first, and the other
  //   attempts wait until it is answered.
  // @param latency of the route's attempts.
  // All references must stay valid for the lifetime of the run.
  RequestRun(const routes::Route& route, const std::string& service,
             MonotonicTime deadline, const RunOptions& options,
             BackendPool& pool, RouteLatency& latency, bool suspected = false);

  // Restricts the request to backends of these regions, in addition to the
  // route's own regions. Must be called before Start.
  void RestrictTo(const routes::HomeRegions& regions);

  // @param elapsed_before how long ago the client first sent the request.
  void Start(MonotonicTime now, Duration elapsed_before = Duration(0));
  // Sends the request of a waiting run if enough backends are free. Refuses it
  // if too few shards have backends at all.
  // @return false when the run has to keep waiting.
  bool Admit(MonotonicTime now);
  // Refuses the request of a waiting run.
  void StopWaiting(MonotonicTime now);
  // Sends the attempts that wait for a backend. Call this when backends may
  // have become free.
  void OnBackendsAvailable(MonotonicTime now);
  void OnEnded(AttemptId attempt, AttemptEnd end, MonotonicTime now);
  // Processes what is due: call this at NextDeadline().
  void OnDeadline(MonotonicTime now);
  // Cancels all attempts in flight because the client has disconnected. The run
  // gets no outcome.
  void OnClientGone(MonotonicTime now);

  // @return the actions since the previous call, in the order of execution.
  std::vector<RunAction> TakeActions();
  // Returns when OnDeadline must be called next; max() once the run is over.
  MonotonicTime NextDeadline() const;
  const std::optional<RunOutcome>& outcome() const { return outcome_; }

  // Whether the run merges the answers of several services.
  bool IsScatter() const { return scatter_ != nullptr; }
  // Whether the run has sent nothing yet because too many backends are busy.
  bool waiting() const { return !over_ && !admitted_; }
  // Whether the run is admitted and some of its shards wait for a busy backend.
  bool short_of_backends() const;
  // An answer after this time is late.
  MonotonicTime target_by() const { return target_by_; }

  // Whether backends shed some of the run's attempts and the run did not
  // succeed within the target.
  bool overloaded() const { return sheds_ > 0 && !succeeded_in_target_; }

  const CrashEvidence& crash_evidence() const { return crash_evidence_; }

  std::size_t attempts() const { return attempts_sent_; }
  std::size_t hedges() const { return hedges_; }

 private:
  struct Attempt {
    AttemptId id = 0;
    std::string backend;
    std::string incarnation;
    std::string address;
    MonotonicTime sent;
    // Whether the attempt was sent while an earlier one was in flight.
    bool hedge = false;
  };
  // One service that the run needs an answer from.
  struct Shard {
    std::string service;
    std::vector<Attempt> in_flight;
    // Ids of backends that were sent the request, without those that refused
    // the connection.
    std::vector<std::string> tried;
    // Attempts that ran or may have run, including those in flight.
    std::uint32_t runs = 0;
    // Whether an attempt reached a backend or may have reached one. Each later
    // attempt then takes from the retry budget.
    bool may_have_arrived = false;
    MonotonicTime next_hedge = MonotonicTime::max();
    // This shard has no attempt in flight, and every backend that may get one
    // is busy.
    bool waits_for_backend = false;
    // This shard has no attempt in flight, and the run sends none for it until
    // the attempts in flight for other shards, or the trial attempt, have shown
    // whether backends survive the request.
    bool awaits_evidence = false;
    bool answered = false;
    bool failed = false;
    ExtraRefusal extra_refusal = ExtraRefusal::kNone;
    BackendAnswer answer;
    // The attempt that brought `answer`, and its backend.
    AttemptId answered_attempt = 0;
    std::string answered_by;
    // The latest error answer of a backend, if any.
    std::optional<BackendAnswer> failure;
  };

  // Returns the criteria for the backend of the shard's next attempt.
  BackendCriteria NeedOf(const Shard& shard) const;
  // Sends an attempt for the shard.
  // @return false when no backend is available, or the retry budget is used up.
  bool Send(Shard& shard, MonotonicTime now);
  // For a shard without attempts in flight: sends an attempt, or waits for a
  // busy backend, or marks the shard as failed. While the request is suspected
  // or an answer must be awaited, the shard awaits evidence instead: an answer
  // shows whether backends survive the request.
  void SendOrWait(Shard& shard, MonotonicTime now);
  // For a shard whose attempt could not be sent: waits if a backend may become
  // free in time, and otherwise marks the shard as failed.
  void WaitOrFail(Shard& shard, MonotonicTime now);
  // Whether the request may crash backends: several were lost while they ran
  // it, in this run or before, and none has survived it.
  bool IsSuspected() const;
  // Whether the run must wait before it sends further attempts: a backend was
  // lost, and attempts in flight will show whether the request crashes
  // backends.
  bool MustAwaitAnswer() const;
  bool HasAttemptInFlight() const;
  void AwaitEvidence(Shard& shard);
  // Decides on the shards that await evidence, once no attempt is in flight or
  // a backend has survived the request: sends the trial attempt, or sends an
  // attempt for each of these shards, or marks all of them as failed.
  void ResumeShardsAwaitingEvidence(MonotonicTime now);
  // Sends the trial: one attempt, which shows whether backends survive the
  // request.
  void SendTrial(MonotonicTime now);
  void RecordCrashEvidence(const Attempt& attempt, const AttemptEnd& end);
  // Reports to the pool how an attempt ended.
  void ReportAttemptEnd(const Attempt& attempt, AttemptResult result,
                        MonotonicTime now);
  // Cancels the shard's attempts in flight.
  void CancelInFlight(Shard& shard, MonotonicTime now);
  // Sends a hedge for the shard if the route and the budget allow it.
  void Hedge(Shard& shard, MonotonicTime now);
  // Processes an attempt of the shard that ended without an answer: sends
  // another one if that is allowed, and marks the shard as failed if no further
  // attempt is allowed and none is in flight.
  void Retry(Shard& shard, MonotonicTime now);
  // Returns how long before the target the run must send the answer.
  Duration AnswerMargin() const;
  // Returns the maximum delay that leaves a hedge time to be answered within
  // the target.
  Duration MaximumHedgeDelay() const;
  Duration HedgeDelay() const;
  // Ends the run if its outcome is certain or its time is over.
  void Evaluate(MonotonicTime now);
  void Finish(RunResult result, const char* reason, MonotonicTime now);
  void ListMissingShards(RunOutcome& outcome) const;
  void ListAcceptedAnswers(RunOutcome& outcome) const;
  void MergeParts(RunOutcome& outcome) const;
  void CancelAll(MonotonicTime now);
  std::size_t RequiredShards() const;
  // Whether the route's maximum attempts allow another attempt for the shard.
  bool MaySendAgain(const Shard& shard) const;

  const routes::Route& route_;
  const routes::ScatterTarget* scatter_;
  routes::HomeRegions home_regions_;
  RunOptions options_;
  BackendPool& pool_;
  RouteLatency& latency_;
  MonotonicTime deadline_;
  // The run refuses a request that still waits at this time.
  MonotonicTime wait_until_;
  MonotonicTime target_by_;
  bool admitted_ = false;
  // A shard that still lacks a free backend at this time fails.
  MonotonicTime shards_wait_until_;
  // From this time on, a scatter ends once enough shards have answered.
  MonotonicTime answer_by_;
  std::vector<Shard> shards_;
  CrashEvidence crash_evidence_;
  bool suspected_before_;
  // Whether the trial attempt was sent and a backend may have run it.
  bool trial_sent_ = false;
  std::size_t shards_awaiting_evidence_ = 0;
  // Whether a backend may have run the request in some attempt.
  bool may_have_run_ = false;
  std::size_t attempts_sent_ = 0;
  std::size_t hedges_ = 0;
  std::size_t sheds_ = 0;
  // Whether the run succeeded within its target.
  bool succeeded_in_target_ = false;
  std::vector<RunAction> actions_;
  std::optional<RunOutcome> outcome_;
  bool over_ = false;
};

}  // namespace juniperway::forwarding
