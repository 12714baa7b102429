// Admission control for one backend. BackendGate decides which subqueries
// start, wait in the queue, are refused, are cancelled or lose their
// connection, so that the backend's slots and connections are never exceeded.
// The gate does no I/O: the caller passes the time and performs the returned
// actions.
//
// A search takes a slot from kStart until the backend has answered or the
// connection has been closed, even if nobody waits for the answer any more.
// Every submitted subquery gets exactly one kFinish or one answer from the
// backend. The caller discards an answer that arrives after kFinish.
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

// Limits of one backend, from its resource and its service.
struct GateSettings {
  // Searches that the backend runs at the same time.
  std::uint32_t slots = 1;
  std::uint32_t maximum_connections = 1;
  // Subqueries that wait for a slot, over all request classes.
  std::uint32_t queue_limit = 64;
  // Time after a cold start or an outage in which the slots open one after the
  // other; 0 opens all slots at once.
  Duration slow_start{0};
  // Weights of the service's request classes, in the order of the classes.
  std::vector<std::uint32_t> class_weights = {1};
  bool operator==(const GateSettings&) const = default;
};

// Whether this daemon may use the backend.
enum class GateAccess {
  // This daemon is not the owner: no search starts, and running ones finish.
  kClosed,
  // This daemon is the owner, but the previous owner may still send searches.
  kAwaitingRelease,
  // This daemon is the owner and may send searches.
  kOpen,
};

enum class GateActionKind {
  kStart,            // Send the search.
  kFinish,           // Send `outcome` to the front; discard a later answer.
  kSendCancel,       // POST /v1/cancel; then call OnCancelDone.
  kCloseConnection,  // Close the connection of the search.
  kProbe,            // GET /v1/health; then call OnProbeDone.
};

// One action that the caller of BackendGate has to perform.
struct GateAction {
  GateActionKind kind = GateActionKind::kFinish;
  SubqueryId id = 0;
  // Set for kFinish only.
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kShed;
  // For refusals: delay after which the front may send the subquery again; 0 if
  // unknown.
  Duration retry_after{0};
};

using GateActions = std::vector<GateAction>;

// Admission control for one backend. The owner half of a gateway keeps one
// BackendGate for each backend of its zone.
class BackendGate {
 public:
  // How long the gate waits for the answer to a cancelled or expired search
  // before it closes the connection.
  static constexpr Duration kLateAnswerTimeout = milliseconds(50);
  // How long a closed connection and its slot still count as used. The next
  // search may open another connection. If that connection reached the backend
  // before the close, the backend would exceed its limits
  // (integration.gateway/owner_flood shows this race). The value is many times
  // the time that a backend takes to read one event after the other.
  static constexpr Duration kClosePropagationDelay = milliseconds(5);

  // The gate is kClosed until the caller calls SetAccess.
  // @param seed seed of the jitter of backoffs and probe intervals.
  BackendGate(const GateSettings& settings, Duration probe_interval,
              std::uint64_t seed);

  GateActions Configure(const GateSettings& settings, MonotonicTime now);
  GateActions SetAccess(GateAccess access, MonotonicTime now);
  // Sets whether the backend may be ejected; see CircuitBreaker::SetMayOpen.
  GateActions SetEjectionAllowed(bool may_eject, MonotonicTime now);
  GateActions SetDraining(DrainSource level, bool draining, MonotonicTime now);
  // Sets the state that the previous owner reported; see DrainState.
  GateActions SetReportedDraining(bool draining, MonotonicTime now);

  // Submits a new subquery.
  // @param deadline time by which the backend's answer must be there.
  // @param class_index position of the request class; a position beyond the
  //   last class counts as the first class.
  GateActions Submit(SubqueryId id, MonotonicTime deadline,
                     ClassIndex class_index, MonotonicTime now);
  GateActions Submit(SubqueryId id, MonotonicTime deadline, MonotonicTime now) {
    return Submit(id, deadline, 0, now);
  }

  // Cancels subquery `id`, for which the front no longer waits. Unknown ids are
  // ignored.
  GateActions Cancel(SubqueryId id, MonotonicTime now);

  // Processes the end of the HTTP exchange of a started search.
  GateActions OnReply(SubqueryId id, const BackendReply& reply,
                      MonotonicTime now);
  GateActions OnCancelDone(MonotonicTime now);
  // State of the backend according to its health endpoint.
  struct ProbeResult {
    bool cold = false;
    bool draining = false;
  };
  // Processes the end of a probe.
  // @param result state that the backend answered; nothing if the probe failed.
  GateActions OnProbeDone(const std::optional<ProbeResult>& result,
                          MonotonicTime now);

  // Performs the actions that are due. The caller calls OnTimer at NextTimer();
  // calls at other times are harmless.
  GateActions OnTimer(MonotonicTime now);
  std::optional<MonotonicTime> NextTimer(MonotonicTime now) const;

  // Begins a graceful shutdown: refuses the queued subqueries and all later
  // ones. Running searches finish.
  GateActions Stop(MonotonicTime now);

  // Closes every connection at once, because the lease ended. Started searches
  // end as kLost. The caller also closes the connections of cancel requests and
  // probes.
  GateActions CloseAllConnections(MonotonicTime now);

  // Whether no subquery is queued and no connection is in use.
  bool idle() const { return queue_.empty() && connections() == 0; }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(running_.size());
  }
  std::size_t queued() const { return queue_.size(); }
  // Returns the number of connections in use: those of searches, cancel
  // requests and the probe, and those closed less than kClosePropagationDelay
  // ago.
  std::uint32_t connections() const {
    return taken_slots() + cancels_ + (probe_sent_ ? 1 : 0);
  }
  // Returns the concurrency limit at `now`: the minimum of the slots, the
  // maximum connections, the adaptive limit and the slow start.
  std::uint32_t UsableSlots(MonotonicTime now) const;
  GateAccess access() const { return access_; }
  DrainSource drain_source() const { return drain_.source(); }
  BreakerState breaker_state(MonotonicTime now) const {
    return breaker_.State(now);
  }
  Duration mean_service_time() const { return service_time_.mean(); }
  const GateSettings& settings() const { return settings_; }

 private:
  // A search that was sent and whose connection is still open.
  struct RunningSearch {
    MonotonicTime started;
    MonotonicTime deadline;
    // Whether the front has the outcome already. The search then keeps its slot
    // until the backend answers, or at the latest until the gate closes the
    // connection at `close_at`.
    bool abandoned = false;
    // Whether the search was cancelled; a missing answer is then not a backend
    // failure.
    bool cancelled = false;
    // When the gate closes the connection if no answer has come.
    MonotonicTime close_at;
  };

  // Returns the refusal of `id` while the gate admits no subquery at all, or
  // nothing while the gate admits subqueries.
  std::optional<GateAction> RefusalForAll(SubqueryId id,
                                          MonotonicTime now) const;
  // Returns the number of slots taken by running searches and by searches whose
  // connection was closed less than kClosePropagationDelay ago.
  std::uint32_t taken_slots() const {
    return running() + static_cast<std::uint32_t>(closed_until_.size());
  }
  bool CanStart(MonotonicTime now) const;
  void Start(FairQueue::Entry entry, MonotonicTime now);
  // Starts the subqueries that may start, refuses those that cannot finish in
  // time, and sends a probe when it is due.
  void Dispatch(MonotonicTime now);
  void RefuseExpired(MonotonicTime now);
  void RefuseInfeasible(MonotonicTime now);
  void RefuseAll(MonotonicTime now);
  void ExpireRunning(MonotonicTime now);
  void Close(SubqueryId id, MonotonicTime now);
  void ProbeWhenDue(MonotonicTime now);
  void RecordReply(const RunningSearch& search, const BackendReply& reply,
                   MonotonicTime now);
  void OnShed(const RunningSearch& search, const BackendReply& reply,
              MonotonicTime now);
  void Finish(SubqueryId id, protocol::SubqueryOutcome outcome,
              Duration retry_after = Duration::zero());
  Duration RetryAfter(MonotonicTime now) const;
  Duration WithJitter(Duration duration);
  GateActions TakeActions() { return std::exchange(actions_, {}); }

  GateSettings settings_;
  Duration probe_interval_;
  std::mt19937_64 random_;
  GateAccess access_ = GateAccess::kClosed;
  bool stopped_ = false;
  FairQueue queue_;
  std::map<SubqueryId, RunningSearch> running_;
  // Times until which each recently closed connection counts as used;
  // ascending.
  std::deque<MonotonicTime> closed_until_;
  std::uint32_t cancels_ = 0;
  std::optional<MonotonicTime> probe_sent_;
  MonotonicTime next_probe_;
  bool cold_ = false;
  // Time before which no search starts, because the backend shed the only
  // running search.
  MonotonicTime backoff_until_;
  Duration backoff_{0};
  ServiceTimeEstimate service_time_;
  AdaptiveLimit limit_;
  SlowStart slow_start_;
  CircuitBreaker breaker_;
  DrainState drain_;
  GateActions actions_;
};

}  // namespace juniperway::owner
