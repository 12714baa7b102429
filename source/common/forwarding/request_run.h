// One request of a client, from its route to its answer: which back ends it is
// sent to, when another one is asked besides (hedge) or after it (retry), when
// to stop waiting, and what the client is told. A request to one service is a
// run with one shard. Pure: time is an argument, actions are values.
//
// Use: Start, then OnEnded for each attempt and OnTime at NextDeadline(); after
// each, carry out TakeActions(). Once outcome() is there the run is over, and
// what was under way has been cancelled by actions.
//
// While the back ends that it needs are all busy, a run waits: nothing is sent
// before Admit() finds enough of them free. An admitted run that lacks back
// ends for some shards looks for them again at OnCapacity().
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/base/time.h"
#include "common/forwarding/backend_pool.h"
#include "common/routes/route_table.h"
#include "common/routing/latency_tracker.h"

namespace juniperway::forwarding {

// Send the request to this back end.
struct SendAction {
  AttemptId attempt = 0;
  std::string backend;
  std::string address;
  // The client's, shortened by the route's timeout.
  MonotonicTime deadline;
  // Back ends of this service name the request in their answers: an answer that
  // names none is another request's.
  bool names_request = false;
  // Of a service with a roll-out: what the back end runs.
  std::string version{};
  bool canary = false;
};
// Break an attempt off.
struct CancelAction {
  AttemptId attempt = 0;
};
using RunAction = std::variant<SendAction, CancelAction>;

// A back end whose connection was lost while it had the request.
struct LostBackend {
  // See session::IncarnationName: one that starts again under its id may be
  // lost again.
  std::string incarnation;
  std::string address;
};

// What a run shows of whether its request ends the back ends that run it.
struct CrashEvidence {
  std::vector<LostBackend> lost;
  // Some back end ran the request to a successful answer.
  bool survived = false;
};

// A whole answer of a back end.
struct BackendAnswer {
  int status = 0;
  // As they came, without those of the connection.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string signature;
  std::string body;
};

struct AttemptEnd {
  AttemptResult result = AttemptResult::kBroken;
  // Of kReset and kBroken: the connection was lost while the back end had the
  // request, without a byte of an answer.
  bool connection_lost = false;
  // Of kAnswered: the answer names the request.
  bool names_request = false;
  // Of kAnswered and kFailed.
  BackendAnswer answer;
};

enum class RunResult {
  kSuccess,         // Of a scatter: enough shards are in.
  kBackendFailure,  // The back end's own failure is passed on.
  kNotRun,          // Nothing ran, and nothing will.
  kFailed,          // Something may have run; no back end could answer.
  kTimedOut,        // The time was up; something may have run.
};

// Why a further attempt at a shard was not sent when it was last due.
enum class ExtraRefusal { kNone, kBudget, kNoBackend };

// A shard that is left out of an answer.
struct MissingShard {
  std::string service;
  // Ids of the back ends that it was sent to, in this order.
  std::vector<std::string> tried;
  // Nothing was under way any more; else it was not waited for.
  bool failed = false;
  ExtraRefusal extra_refusal = ExtraRefusal::kNone;
};

// What the client is told.
struct RunOutcome {
  RunResult result = RunResult::kNotRun;
  // Of a split: the answer to pass on.
  BackendAnswer answer;
  // Of a scatter: shards that are not in, whatever the result.
  std::vector<MissingShard> missing;
  // Of a scatter that succeeded.
  std::vector<std::string> signatures;
  std::string records;
  // Of kFailed: the client should not come back before. Zero: not said.
  Duration retry_after{};
  // For the log: why it ended so.
  const char* reason = "";
};

// How long a route's attempts take, whatever back ends they go to.
struct RouteLatency {
  routing::LatencyTracker attempts;
  // Of them, those that were sent beside another one and answered first: the
  // way to another region and new connections are in it.
  routing::LatencyTracker hedges;
};

struct RunOptions {
  // Between this router and the client, both ways, with what an answer takes
  // to be written: an answer leaves this long before the target.
  Duration answer_margin = milliseconds(18);
  // And this long for each part: merging it and writing its signature takes
  // some 7 us of a whole core, and routers have 0.12 of one. With 90 parts and
  // 18 ms alone half of the urgent answers came 0.5 ms late (median 120.5 ms
  // of 120, a fleet of 985 routers, simulated).
  Duration part_margin = microseconds(60);
  // Attempts that take longer than this share of the others are hedged. Mean
  // worth of five days with trouble and 70 machines 0.566 at 0.99 and half of
  // the target, 0.583 at 0.95 and a quarter, 0.613 and 0.615 with other changes
  // at 0.90 and 0.95 (simulated).
  double hedge_quantile = 0.95;
  // But none waits longer for its hedge than leaves the hedge time to be
  // answered within the target, between these shares of the target: where many
  // back ends are slow, the quantile says nothing about the others.
  double earliest_hedge_share = 0.25;
  double latest_hedge_share = 0.5;
  // Where back ends may end under the request: its client should not repeat it
  // before the fleet has judged it (control/crash_attribution.h), which takes
  // less than this.
  Duration suspect_retry_after = seconds(1);
  // A request waits for back ends that are busy no longer than this share of
  // its time; then it is refused, and its client has time to try elsewhere.
  double longest_wait_share = 0.75;
};

class RequestRun {
 public:
  // @param service picks the part of a split; not used by a scatter.
  // @param deadline when the client leaves.
  // @param suspected back ends have ended under the request before: one attempt
  //   goes ahead of the others, which wait until it is answered.
  // @param latency of the route's attempts.
  // All references must stay valid for the lifetime of the run.
  RequestRun(const routes::Route& route, const std::string& service,
             MonotonicTime deadline, const RunOptions& options,
             BackendPool& pool, RouteLatency& latency, bool suspected = false);

  // Before Start: only back ends of these regions, besides the route's own
  // limit, may get the request.
  void RestrictTo(const routes::HomeRegions& regions);

  // @param elapsed_before how long ago the client asked for the first time.
  void Start(MonotonicTime now, Duration elapsed_before = Duration(0));
  // Of a run that waits: sends the request if enough back ends are free now.
  // @return false when it has to go on waiting.
  bool Admit(MonotonicTime now);
  // Of a run that waits: refuses the request.
  void StopWaiting(MonotonicTime now);
  // Back ends may have become free: sends what had to wait for one.
  void OnCapacity(MonotonicTime now);
  void OnEnded(AttemptId attempt, AttemptEnd end, MonotonicTime now);
  void OnTime(MonotonicTime now);
  // The client left: everything is cancelled; there is no outcome.
  void OnClientGone(MonotonicTime now);

  std::vector<RunAction> TakeActions();
  MonotonicTime NextDeadline() const;
  const std::optional<RunOutcome>& outcome() const { return outcome_; }

  // Answers of several services are merged.
  bool IsScatter() const { return scatter_ != nullptr; }
  // Nothing was sent yet, because too many back ends are busy.
  bool waiting() const { return !over_ && !admitted_; }
  // Some shards wait for a back end.
  bool short_of_backends() const;
  // An answer after this is late.
  MonotonicTime target_by() const { return target_by_; }

  // Back ends shed some of its attempts, and no answer came within the target:
  // more is asked of them than they can do.
  bool overloaded() const { return sheds_ > 0 && !in_target_; }

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
    // It was sent beside another one.
    bool hedge = false;
  };
  struct Shard {
    std::string service;
    std::vector<Attempt> under_way;
    std::vector<std::string> tried;
    // Attempts that ran or may have run, those under way among them.
    std::uint32_t runs = 0;
    // Some attempt reached a back end, or may have: what is sent from then on
    // is extra load.
    bool arrived = false;
    MonotonicTime next_hedge = MonotonicTime::max();
    // Nothing is under way, and every back end that may be asked is busy.
    bool waits_for_backend = false;
    // Nothing is under way, and nothing is sent before a back end has shown
    // that it survives the request.
    bool held = false;
    bool in = false;
    bool failed = false;
    ExtraRefusal extra_refusal = ExtraRefusal::kNone;
    BackendAnswer answer;
    // The last whole failure of a back end, if any.
    std::optional<BackendAnswer> failure;
  };

  // What the shard's next attempt needs.
  BackendNeed NeedOf(const Shard& shard) const;
  // @return false when no back end may be used, or the budget refused.
  bool Send(Shard& shard, MonotonicTime now);
  // Of a shard with nothing under way: sends, or waits for a busy back end, or
  // gives the shard up; holds it while the request is suspected.
  void SendOrWait(Shard& shard, MonotonicTime now);
  // Of a shard that could not be sent: waits where a back end is expected to
  // become free in time, else gives the shard up.
  void WaitOrFail(Shard& shard, MonotonicTime now);
  // The request may end back ends: several were lost under it, in this run or
  // before, and none has survived it.
  bool IsSuspected() const;
  // A back end was lost, and attempts are under way that will show whether that
  // was the request's doing.
  bool MustAwaitAnswer() const;
  bool IsAnythingUnderWay() const;
  void Hold(Shard& shard);
  // Decides on held shards once nothing is under way, or the request is not
  // suspected any more: one of them goes ahead, all are sent, or all given up.
  void ResumeHeld(MonotonicTime now);
  // Sends one held shard's attempt, which shows whether back ends survive.
  void SendTrial(MonotonicTime now);
  void NoteCrashEvidence(const Attempt& attempt, const AttemptEnd& end);
  // Tells the pool how an attempt ended.
  void NoteEnd(const Attempt& attempt, AttemptResult result, MonotonicTime now);
  // Gives up all that is under way for a shard.
  void CancelUnderWay(Shard& shard, MonotonicTime now);
  void Hedge(Shard& shard, MonotonicTime now);
  void Retry(Shard& shard, MonotonicTime now);
  // How long before its target an answer has to leave.
  Duration AnswerMargin() const;
  // The longest wait that leaves a hedge time to be answered within the target.
  Duration LatestHedgeDelay() const;
  Duration HedgeDelay() const;
  // Ends the run where it can be ended now.
  void Evaluate(MonotonicTime now);
  void Finish(RunResult result, const char* reason, MonotonicTime now);
  void NameMissing(RunOutcome& outcome) const;
  void MergeParts(RunOutcome& outcome) const;
  void CancelAll(MonotonicTime now);
  std::size_t RequiredShards() const;
  // May the request be sent once more, as far as promises go?
  bool MayRepeat(const Shard& shard) const;

  const routes::Route& route_;
  const routes::ScatterTarget* scatter_;
  routes::HomeRegions home_regions_;
  RunOptions options_;
  BackendPool& pool_;
  RouteLatency& latency_;
  MonotonicTime deadline_;
  // A run that still waits then is refused.
  MonotonicTime wait_until_;
  MonotonicTime target_by_;
  bool admitted_ = false;
  // A shard that still lacks a back end then is given up.
  MonotonicTime shards_wait_until_;
  // From then on a scatter that is complete enough is answered.
  MonotonicTime answer_by_;
  std::vector<Shard> shards_;
  CrashEvidence crash_evidence_;
  bool suspected_before_;
  // An attempt went ahead of the held shards, and may have run.
  bool trial_sent_ = false;
  std::size_t held_shards_ = 0;
  // Something was sent and did not come back as not run.
  bool may_have_run_ = false;
  std::size_t attempts_sent_ = 0;
  std::size_t hedges_ = 0;
  std::size_t sheds_ = 0;
  // It ended with an answer within its target.
  bool in_target_ = false;
  std::vector<RunAction> actions_;
  std::optional<RunOutcome> outcome_;
  bool over_ = false;
};

}  // namespace juniperway::forwarding
