// Admission to one back end: decides what starts, waits, is refused, cancelled
// or cut off, so that the back end's slots and connections are never exceeded.
// Pure: time is an argument, decisions come back as actions.
//
// A slot is taken from kStart until the back end answered or the connection was
// closed, whether or not anyone still waits for the answer. Every submitted
// subquery gets exactly one kFinish or one answer from the back end; after its
// kFinish an answer is late and not to be passed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/owner/backend_reply.h"
#include "common/owner/circuit_breaker.h"
#include "common/owner/concurrency_limit.h"
#include "common/owner/drain_state.h"
#include "common/owner/fair_queue.h"
#include "common/owner/service_time.h"
#include "common/protocol/query_generated.h"

namespace juniperway::owner {

struct GateSettings {
  std::uint32_t slots = 1;
  std::uint32_t maximum_connections = 1;
  std::uint32_t queue_limit = 64;
  Duration slow_start{0};
  // Of the service's request classes, in their order.
  std::vector<std::uint32_t> class_weights = {1};
  bool operator==(const GateSettings&) const = default;
};

// Whether this daemon may use the back end.
enum class GateAccess {
  kClosed,   // Not the owner (any more): nothing starts, the rest finishes.
  kWaiting,  // The owner, but the previous one may still be using it.
  kOpen,     // The owner.
};

enum class GateActionKind {
  kStart,            // Send the search.
  kFinish,           // Tell the front `outcome`; a later answer is late.
  kSendCancel,       // POST /v1/cancel; then call OnCancelDone.
  kCloseConnection,  // Abandon the search's exchange.
  kProbe,            // GET /v1/health; then call OnProbeDone.
};

struct GateAction {
  GateActionKind kind = GateActionKind::kFinish;
  SubqueryId id = 0;
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kShed;
  // For refusals: when to come back; 0 if unknown.
  Duration retry_after{0};
};

using GateActions = std::vector<GateAction>;

class BackendGate {
 public:
  // How long the answer to a cancelled or expired search is awaited before its
  // connection is closed.
  static constexpr Duration kAnswerGrace = milliseconds(50);
  // How long a closed connection and its slot still count: what starts in their
  // place opens another connection, which must not reach the back end before
  // the close does. Many times what a back end takes to read one event after
  // the other; integration.gateway/owner_flood shows the race without it.
  static constexpr Duration kCloseNotice = milliseconds(5);

  // Starts as kClosed.
  // @param seed of the jitter of back-off and probes.
  BackendGate(const GateSettings& settings, Duration probe_interval,
              std::uint64_t seed);

  GateActions Configure(const GateSettings& settings, MonotonicTime now);
  GateActions SetAccess(GateAccess access, MonotonicTime now);
  // See CircuitBreaker::SetMayOpen.
  GateActions SetMayEject(bool may_eject, MonotonicTime now);
  GateActions SetDraining(DrainSource level, bool draining, MonotonicTime now);
  // What the previous owner reported; see DrainState.
  GateActions SetReportedDraining(bool draining, MonotonicTime now);

  // @param deadline when an answer from the back end is of no more use.
  // @param class_index of its request class; beyond the last: the first.
  GateActions Submit(SubqueryId id, MonotonicTime deadline,
                     ClassIndex class_index, MonotonicTime now);
  GateActions Submit(SubqueryId id, MonotonicTime deadline, MonotonicTime now) {
    return Submit(id, deadline, 0, now);
  }

  // Nobody waits for `id` any more. Unknown ids are ignored.
  GateActions Cancel(SubqueryId id, MonotonicTime now);

  // The exchange of a started search ended.
  GateActions OnReply(SubqueryId id, const BackendReply& reply,
                      MonotonicTime now);
  GateActions OnCancelDone(MonotonicTime now);
  // @param cold, draining as health says; nothing when the probe failed.
  struct ProbeResult {
    bool cold = false;
    bool draining = false;
  };
  GateActions OnProbeDone(const std::optional<ProbeResult>& result,
                          MonotonicTime now);

  // Call at NextTimer(); harmless at any other time.
  GateActions OnTimer(MonotonicTime now);
  std::optional<MonotonicTime> NextTimer(MonotonicTime now) const;

  // The planned stop: queued subqueries are refused, nothing new starts.
  GateActions Stop(MonotonicTime now);

  // Closes every connection at once: for the end of the lease. Started searches
  // end as kLost. The caller closes cancels and probes along with them.
  GateActions CutOff(MonotonicTime now);

  // Nothing is queued, running, being cancelled or probed.
  bool idle() const { return queue_.empty() && connections() == 0; }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::size_t queued() const { return queue_.size(); }
  // In use: searches, cancels, the probe, and those closed just now.
  std::uint32_t connections() const {
    return taken_slots() + cancels_ + (probe_sent_ ? 1 : 0);
  }
  // Slots usable at `now`.
  std::uint32_t UsableSlots(MonotonicTime now) const;
  GateAccess access() const { return access_; }
  DrainSource drain_source() const { return drain_.source(); }
  BreakerState breaker_state(MonotonicTime now) const {
    return breaker_.State(now);
  }
  Duration mean_service_time() const { return service_time_.mean(); }
  const GateSettings& settings() const { return settings_; }

 private:
  struct Running {
    MonotonicTime started;
    MonotonicTime deadline;
    // The front has its outcome; the slot is kept all the same.
    bool abandoned = false;
    // It was cancelled, so a missing answer says nothing of the back end.
    bool cancelled = false;
    // When the connection is closed if no answer comes.
    MonotonicTime close_at;
  };

  // Why nothing may be submitted at all, if so.
  std::optional<GateAction> Barred(SubqueryId id, MonotonicTime now) const;
  // By searches that run and by those whose connection was closed just now.
  std::uint32_t taken_slots() const {
    return running() + static_cast<std::uint32_t>(closed_until_.size());
  }
  bool CanStart(MonotonicTime now) const;
  void Start(FairQueue::Entry entry, MonotonicTime now);
  // Starts what may start, refuses what cannot finish, probes when due.
  void Dispatch(MonotonicTime now);
  void RefuseExpired(MonotonicTime now);
  void RefuseInfeasible(MonotonicTime now);
  void RefuseAll(MonotonicTime now);
  void ExpireRunning(MonotonicTime now);
  void Close(SubqueryId id, MonotonicTime now);
  void ProbeWhenDue(MonotonicTime now);
  void LearnFrom(const Running& search, const BackendReply& reply,
                 MonotonicTime now);
  void OnShed(const Running& search, const BackendReply& reply,
              MonotonicTime now);
  void Finish(SubqueryId id, protocol::SubqueryOutcome outcome,
              Duration retry_after = Duration::zero());
  Duration RetryAfter(MonotonicTime now) const;
  Duration Jittered(Duration duration);
  GateActions TakeActions() { return std::exchange(actions_, {}); }

  GateSettings settings_;
  Duration probe_interval_;
  std::mt19937_64 random_;
  GateAccess access_ = GateAccess::kClosed;
  bool stopped_ = false;
  FairQueue queue_;
  std::map<SubqueryId, Running> running_;
  // Of connections closed just now: until when each counts, in this order.
  std::deque<MonotonicTime> closed_until_;
  std::uint32_t cancels_ = 0;
  std::optional<MonotonicTime> probe_sent_;
  MonotonicTime next_probe_;
  bool cold_ = false;
  // The back end shed with nothing else running: pause before the next one.
  MonotonicTime paused_until_;
  Duration pause_{0};
  ServiceTimeEstimate service_time_;
  AdaptiveLimit limit_;
  SlowStart slow_start_;
  CircuitBreaker breaker_;
  DrainState drain_;
  GateActions actions_;
};

}  // namespace juniperway::owner
