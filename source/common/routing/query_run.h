// The life of one query as a pure state machine: pins a snapshot, splits the
// asked range by its partitions, sends a subquery per partition, hedges,
// retries, and ends with exactly one outcome. Time, results and losses come in
// as calls; what to send, cancel and answer comes out as Actions.
//
// - One snapshot: every subquery names the pinned version. When a partition is
//   refused for it and no replica still holds it, the whole query starts over
//   on the newer snapshot; rows of two versions never meet.
// - Extra subqueries: hedges and retries pay from the service's RetryBudget. A
//   re-route after a refusal that cost the back end nothing (not owner,
//   draining, wrong snapshot, unreachable) is free, and bounded by
//   kMaximumReroutes a partition.
// - Not repeatable: no hedge, and a partition is sent again only when every
//   earlier attempt at it was provably not run.
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

class QueryRun {
 public:
  // Re-routes of one partition, free ones.
  static constexpr std::uint8_t kMaximumReroutes = 8;
  // Retries of one partition, paid ones.
  static constexpr std::uint8_t kMaximumRetries = 3;
  // Hedges of one partition.
  static constexpr std::uint8_t kMaximumHedges = 1;
  // Times that a query starts over on a newer snapshot.
  static constexpr std::uint8_t kMaximumRestarts = 3;
  // With less time left than this, nothing new is sent.
  static constexpr Duration kShortestUsefulTime = microseconds(500);

  // @param front must outlive the run; its view must know the service.
  QueryRun(QueryRequest request, FrontState& front);

  Actions Start(MonotonicTime now);
  // Results that `owner` sent; those that do not belong are dropped, counted.
  Actions OnReplies(OwnerId owner, std::vector<SubqueryReply> replies,
                    MonotonicTime now);
  // The connection to `owner` ended with everything outstanding there.
  Actions OnOwnerLost(OwnerId owner, OwnerLoss loss, MonotonicTime now);
  // A batch of the last actions could not be sent: no byte of it left.
  Actions OnBatchUnsent(const Batch& batch, MonotonicTime now);
  Actions OnTimer(MonotonicTime now);
  Actions OnCallerGone(MonotonicTime now);

  // When OnTimer wants to be called; may be early, never late.
  MonotonicTime next_timer() const { return next_timer_; }
  bool finished() const { return finished_; }
  // What the end of the query, with `outcome`, says of the service's load.
  AdmissionLimit::End LoadSignal(const QueryOutcome& outcome) const;
  const QueryRequest& request() const { return request_; }
  // Of the view that the query was admitted or restarted with.
  resources::Revision revision() const { return pinned_view_->revision; }

 private:
  enum class PartitionStatus : std::uint8_t { kPending, kSearched, kMissing };
  enum class SendKind : std::uint8_t { kFirst, kHedge, kRetry, kReroute };

  struct PartitionState {
    // Index in the pinned snapshot.
    std::uint32_t route_index = 0;
    // Clipped to the asked range.
    KeyRange range;
    PartitionStatus status = PartitionStatus::kPending;
    // Why it is missing, or was refused last.
    MissingReason reason = MissingReason::kDeadline;
    RowBlock block;
    std::vector<AttemptId> attempts;
    std::uint32_t outstanding = 0;
    std::uint8_t hedges = 0;
    std::uint8_t retries = 0;
    std::uint8_t reroutes = 0;
    // A back end whose slots were all taken refused or expired it.
    bool shed_by_load = false;
    std::optional<MonotonicTime> hedge_at;
    // Waits to be sent again, as a retry or a re-route.
    std::optional<MonotonicTime> resend_at;
    SendKind resend_kind = SendKind::kReroute;
  };

  // --- Beginning ---
  void FollowView();
  bool Pin();
  void Split();
  void SendFirsts(MonotonicTime now, Actions& actions);
  MissingReason WhyUnsent(const PartitionState& partition,
                          MonotonicTime now) const;
  void LearnHedgeDelay();
  void TryRestart(MonotonicTime now, Actions& actions);
  bool RestartAllowed(MonotonicTime now) const;

  // --- Sending ---
  bool Send(PartitionState& partition, SendKind kind, MonotonicTime now,
            Actions& actions);
  std::optional<ReplicaChoice> Choose(const PartitionState& partition,
                                      SendKind kind, MonotonicTime now);
  const PartitionRoute* CurrentRoute(const PartitionState& partition) const;
  bool Pay(SendKind kind, MonotonicTime now);
  Batch& BatchFor(OwnerId owner, MonotonicTime now, Actions& actions);
  void Record(PartitionState& partition, const ReplicaChoice& choice,
              SendKind kind, MonotonicTime now, Actions& actions);
  Duration RemainingForOwner(MonotonicTime now) const;
  void Hedge(PartitionState& partition, MonotonicTime now, Actions& actions);
  void Resend(PartitionState& partition, MonotonicTime now, Actions& actions);
  void WaitToResend(PartitionState& partition, SendKind kind,
                    MonotonicTime now);

  // --- Results ---
  void OnReply(OwnerId owner, SubqueryReply& reply, MonotonicTime now,
               Actions& actions);
  void CloseAttempt(AttemptId id);
  void LoseAttempt(AttemptId id, OwnerLoss loss, MonotonicTime now,
                   Actions& actions);
  void OnRows(PartitionState& partition, SubqueryReply& reply,
              MonotonicTime now, Actions& actions);
  void OnFailure(PartitionState& partition, SubqueryOutcome outcome,
                 MonotonicTime now, Actions& actions);
  void TakeRows(PartitionState& partition, SubqueryReply& reply);
  void LearnFrom(const Attempt& attempt, const SubqueryReply& reply,
                 MonotonicTime now);
  void SendAgain(PartitionState& partition, SendKind kind, MonotonicTime now,
                 Actions& actions);
  bool MaySendAgain(const PartitionState& partition, SendKind kind) const;
  bool MayHaveRun(const PartitionState& partition) const;
  void MarkMissing(PartitionState& partition, MissingReason reason);

  // --- End ---
  void Settle(MonotonicTime now, Actions& actions);
  bool IsAnswerDue(MonotonicTime now) const;
  void Finish(MonotonicTime now, Actions& actions);
  void CancelAll(MonotonicTime now, Actions& actions);
  void Unsend(Actions& actions);
  void GiveUp(AttemptId id, MonotonicTime now, Actions& actions);
  void LearnFromSilence(const Attempt& attempt, MonotonicTime now);
  Answer MakeAnswer();
  Refusal MakeRefusal(MonotonicTime now);
  Duration Jittered(Duration duration);
  void WakeAt(MonotonicTime time);

  QueryRequest request_;
  FrontState& front_;
  ServiceState& shared_;
  session::FleetViewPointer pinned_view_;
  const resources::Service* service_ = nullptr;
  SnapshotRoutePointer pinned_;
  // The newest routing table and its routes of the pinned version: replicas
  // follow the view while the partitions stay. Null: the version is gone.
  std::shared_ptr<RoutingTable> routes_;
  SnapshotRoutePointer current_;
  KeyRange asked_;
  std::vector<PartitionState> partitions_;
  AttemptLog attempts_;
  std::size_t pending_ = 0;
  Key searched_width_ = 0;
  std::uint8_t restarts_ = 0;
  // Attempts of abandoned snapshots that the budget was charged for.
  AttemptId charged_attempts_ = 0;
  // A partition was refused for its snapshot and has no other replica.
  bool restart_wanted_ = false;
  std::optional<Duration> hedge_delay_;
  Duration retry_after_hint_{};
  MonotonicTime next_timer_{};
  bool finished_ = false;
  // Scratch space, kept to save allocations.
  std::vector<BackendId> excluded_;
};

}  // namespace juniperway::routing
