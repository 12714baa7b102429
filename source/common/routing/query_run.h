// State machine of one query. QueryRun pins a snapshot, splits the requested
// range by the snapshot's partitions, sends one subquery per partition, hedges
// and retries subqueries, and ends with exactly one outcome. Its caller passes
// in time, results and connection losses, and carries out the returned Actions.
//
// - Snapshot: every subquery names the pinned index version. When a backend
//   refuses a subquery because of that version and no replica still holds the
//   version, the whole query restarts on the newer snapshot. An answer never
//   contains rows of two versions.
// - Extra attempts: each hedge and retry takes a token from the service's
//   RetryBudget. A reroute, after a refusal that cost the backend no work (not
//   owner, draining, wrong snapshot, unreachable), takes no token and is
//   bounded by kMaximumReroutes per partition.
// - Queries that are not repeatable: QueryRun sends no hedges, and sends a
//   partition again only when every earlier attempt was provably not run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/routing/attempt_log.h"
#include "common/routing/front_state.h"
#include "common/routing/query_types.h"

namespace juniperway::routing {

// Owned by the front's query executor, one per query. Reads no clock and does
// no I/O.
class QueryRun {
 public:
  // Maximum reroutes of one partition, which take no retry budget.
  static constexpr std::uint8_t kMaximumReroutes = 8;
  // Maximum retries of one partition, which take retry budget.
  static constexpr std::uint8_t kMaximumRetries = 3;
  // Maximum hedges of one partition.
  static constexpr std::uint8_t kMaximumHedges = 1;
  // Maximum restarts of one query on a newer snapshot.
  static constexpr std::uint8_t kMaximumRestarts = 3;
  // QueryRun sends nothing when less time than this remains.
  static constexpr Duration kMinimumUsefulTime = microseconds(500);

  // Creates the run of an admitted query.
  // @param front state of the front. It must outlive the run, and its view must
  //   contain the service.
  QueryRun(QueryRequest request, FrontState& front);

  // Sends the first subqueries. Called once.
  Actions Start(MonotonicTime now);
  // Processes results that `owner` sent. QueryRun counts and discards late and
  // duplicate results, and foreign ones, whose attempt does not exist or
  // belongs to another owner; see ResultVerdict.
  Actions OnSubqueryResults(OwnerId owner, std::vector<OwnerResult> replies,
                            MonotonicTime now);
  // Handles the loss of the connection to `owner`: all outstanding attempts at
  // `owner` are lost.
  Actions OnOwnerLost(OwnerId owner, OwnerConnectionLoss loss,
                      MonotonicTime now);
  // Handles a batch of the last actions that the caller could not send: no byte
  // of the batch left this process.
  Actions OnBatchUnsent(const Batch& batch, MonotonicTime now);
  // Sends due hedges and retries, and ends the query at its deadline.
  Actions OnTimer(MonotonicTime now);
  // Abandons the query, because the client disconnected.
  Actions OnClientGone(MonotonicTime now);

  // Returns when the caller must call OnTimer next. The time may be earlier
  // than the next due action, never later.
  MonotonicTime next_timer() const { return next_timer_; }
  bool finished() const { return finished_; }
  // Returns how the admission limit counts the end of the query with `outcome`.
  AdmissionLimit::LoadEvidence LoadEvidenceOf(
      const QueryOutcome& outcome) const;
  const QueryRequest& request() const { return request_; }
  // Returns the revision of the view with which the query was admitted or last
  // restarted.
  resources::Revision revision() const { return pinned_view_->revision; }

 private:
  enum class PartitionStatus : std::uint8_t { kPending, kSearched, kMissing };
  enum class SendKind : std::uint8_t { kFirst, kHedge, kRetry, kReroute };

  // State of one partition of the requested range.
  struct PartitionState {
    // Index of the partition in the pinned snapshot.
    std::uint32_t route_index = 0;
    // Key range of the partition, clipped to the requested range.
    KeyRange range;
    PartitionStatus status = PartitionStatus::kPending;
    // Why the partition is missing, or why its last attempt was refused.
    MissingReason reason = MissingReason::kDeadline;
    RowBlock block;
    std::vector<AttemptId> attempts;
    std::uint32_t outstanding = 0;
    std::uint8_t hedges = 0;
    std::uint8_t retries = 0;
    std::uint8_t reroutes = 0;
    // Whether a backend without free slots shed the subquery or let the
    // subquery expire before its start.
    bool shed_by_busy_backend = false;
    std::optional<MonotonicTime> hedge_at;
    // When to send the partition again, as `resend_kind`; empty when no resend
    // is scheduled.
    std::optional<MonotonicTime> resend_at;
    SendKind resend_kind = SendKind::kReroute;
  };

  // --- Start ---
  // Takes over the front's newest routing table.
  void UpdateRoutes();
  // Pins the snapshot that the service serves.
  // @return false when the service serves no snapshot.
  bool PinSnapshot();
  // Creates the partition states of the requested range.
  void SplitByPartition();
  void SendFirstSubqueries(MonotonicTime now, Actions& actions);
  // Returns why QueryRun did not send a first subquery.
  MissingReason ReasonUnsent(const PartitionState& partition,
                             MonotonicTime now) const;
  // Sets the hedge delay from the service's latency quantile.
  void UpdateHedgeDelay();
  // Cancels all attempts and sends the query on the newer snapshot, if allowed.
  void TryRestart(MonotonicTime now, Actions& actions);
  bool CanRestart(MonotonicTime now) const;

  // --- Sending ---
  // Chooses a replica and adds the subquery to `actions`.
  // @return false when too little time, no replica or no budget remains.
  bool Send(PartitionState& partition, SendKind kind, MonotonicTime now,
            Actions& actions);
  std::optional<ReplicaChoice> Choose(const PartitionState& partition,
                                      SendKind kind, MonotonicTime now);
  // Returns the newest route of the partition.
  // @return null when the view no longer has the pinned version with the same
  //   partition.
  const PartitionRoute* CurrentRoute(const PartitionState& partition) const;
  // Counts the attempt and adds or takes its retry budget.
  // @return false when the budget refuses the attempt.
  bool TryChargeBudget(SendKind kind, MonotonicTime now);
  // Returns the batch for the owner in `actions`; adds the batch if there is
  // none.
  Batch& BatchFor(OwnerId owner, MonotonicTime now, Actions& actions);
  // Logs a new attempt and adds its subquery to a batch.
  void Record(PartitionState& partition, const ReplicaChoice& choice,
              SendKind kind, MonotonicTime now, Actions& actions);
  // Returns the time until the deadline minus a margin for the transfer of the
  // result to the front.
  Duration RemainingTimeForOwner(MonotonicTime now) const;
  void Hedge(PartitionState& partition, MonotonicTime now, Actions& actions);
  void Resend(PartitionState& partition, MonotonicTime now, Actions& actions);
  void ScheduleResend(PartitionState& partition, SendKind kind,
                      MonotonicTime now);

  // --- Results ---
  void OnReply(OwnerId owner, OwnerResult& reply, MonotonicTime now,
               Actions& actions);
  // Ends an outstanding attempt that has a result or is lost.
  void CloseAttempt(AttemptId id);
  void OnAttemptLost(AttemptId id, OwnerConnectionLoss loss, MonotonicTime now,
                     Actions& actions);
  void OnRows(PartitionState& partition, OwnerResult& reply, MonotonicTime now,
              Actions& actions);
  void OnFailure(PartitionState& partition, SubqueryOutcome outcome,
                 MonotonicTime now, Actions& actions);
  void StoreRows(PartitionState& partition, OwnerResult& reply);
  void RecordObservations(const Attempt& attempt, const OwnerResult& reply,
                          MonotonicTime now);
  // Sends a failed partition to another replica, or schedules a resend.
  void SendAgainOrSchedule(PartitionState& partition, SendKind kind,
                           MonotonicTime now, Actions& actions);
  bool CanSendAgain(const PartitionState& partition, SendKind kind) const;
  // Whether any attempt at the partition may have run.
  bool MayHaveRun(const PartitionState& partition) const;
  void MarkMissing(PartitionState& partition, MissingReason reason);

  // --- End ---
  // Restarts the query if a restart is wanted, and ends the query if its answer
  // is due.
  void RestartOrFinish(MonotonicTime now, Actions& actions);
  bool IsAnswerDue(MonotonicTime now) const;
  void Finish(MonotonicTime now, Actions& actions);
  void CancelAll(MonotonicTime now, Actions& actions);
  // Removes the batches planned in this call, which have not left the process.
  void DropPlannedBatches(Actions& actions);
  void AbandonAttempt(AttemptId id, MonotonicTime now, Actions& actions);
  // Records the wait for an attempt that ended without a result, and a failure
  // of the backend if the wait was too long.
  void RecordUnansweredAttempt(const Attempt& attempt, MonotonicTime now);
  Answer MakeAnswer();
  Refusal MakeRefusal(MonotonicTime now);
  // Returns `duration` plus a random addition of at most half of it, so that
  // clients do not retry at the same time.
  Duration Jittered(Duration duration);
  // Moves the next timer to `time` if `time` is earlier.
  void ScheduleTimer(MonotonicTime time);

  QueryRequest request_;
  FrontState& front_;
  ServiceState& service_state_;
  session::FleetViewPointer pinned_view_;
  const resources::Service* service_ = nullptr;
  SnapshotRoutePointer pinned_route_;
  // The newest routing table, and its routes of the pinned version (null when
  // the view no longer has that version). The replicas change with the view
  // while the partitions stay those of the pinned snapshot.
  std::shared_ptr<RoutingTable> routes_;
  SnapshotRoutePointer current_route_;
  KeyRange requested_range_;
  std::vector<PartitionState> partitions_;
  AttemptLog attempt_log_;
  std::size_t pending_ = 0;
  Key searched_width_ = 0;
  std::uint8_t restarts_ = 0;
  // Number of attempts on earlier snapshots for which the retry budget was
  // charged.
  AttemptId charged_attempts_ = 0;
  // Whether a partition could not be sent again, and either no replica holds
  // the pinned version any more or the last attempt was refused for that
  // version.
  bool restart_wanted_ = false;
  // Delay after which a hedge is sent; empty when the query sends no hedges.
  std::optional<Duration> hedge_delay_;
  // Longest retry-after that an owner sent for this query.
  Duration retry_after_hint_{};
  MonotonicTime next_timer_{};
  bool finished_ = false;
  // Scratch buffer for the backends that a choice of a replica excludes; kept
  // between choices to avoid allocations.
  std::vector<BackendId> excluded_;
};

}  // namespace juniperway::routing
