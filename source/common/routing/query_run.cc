// Starts a query and sends its subqueries. query_run_results.cc processes the
// results, query_run_outcome.cc ends the query.
#include "common/routing/query_run.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace juniperway::routing {
namespace {

// Owners get this much less time than remains until the deadline, so that a
// result sent at the end of that time still arrives. The margin is at most
// 1 / kHopMarginDivisor of the remaining time.
constexpr Duration kHopMargin = milliseconds(2);
constexpr int kHopMarginDivisor = 10;
// Lower bound of the hedge delay, also when the latency quantile is lower.
constexpr Duration kMinimumHedgeDelay = milliseconds(1);
// Retry-after for clients of a service that serves no snapshot.
constexpr Duration kNoSnapshotRetryAfter = seconds(1);

}  // namespace

QueryRun::QueryRun(QueryRequest request, FrontState& front)
    : request_(std::move(request)),
      front_(front),
      service_state_(front.services[request_.service]),
      next_timer_(request_.deadline) {}

Actions QueryRun::Start(MonotonicTime now) {
  Actions actions;
  if (!PinSnapshot()) {
    const Error error{ErrorCode::kUnavailable, "",
                      "the service does not serve an index snapshot yet"};
    actions.outcome = Refusal{error, ExecutionState::kNotRun,
                              Jittered(kNoSnapshotRetryAfter)};
    finished_ = true;
    return actions;
  }
  SplitByPartition();
  UpdateHedgeDelay();
  SendFirstSubqueries(now, actions);
  if (service_->answer_policy == resources::AnswerPolicy::kLatency) {
    ScheduleTimer(request_.received + service_->soft_deadline);
  }
  RestartOrFinish(now, actions);
  return actions;
}

void QueryRun::UpdateRoutes() {
  if (routes_ != front_.routes) {
    routes_ = front_.routes;
    current_route_ =
        routes_->Route(request_.service, pinned_route_->index_version);
  }
}

bool QueryRun::PinSnapshot() {
  routes_ = front_.routes;
  pinned_view_ = front_.routes->view_pointer();
  service_ = front_.routes->FindService(request_.service);
  CHECK(service_ != nullptr)
      << "a query was admitted for a service that the view does not contain";
  pinned_route_ = front_.routes->Serving(request_.service);
  current_route_ = pinned_route_;
  if (pinned_route_ == nullptr) {
    return false;
  }
  const KeyRange extent = pinned_route_->Extent();
  requested_range_ = request_.range.value_or(extent).Intersection(extent);
  if (requested_range_.empty()) {
    requested_range_ = {};
  }
  return true;
}

void QueryRun::SplitByPartition() {
  partitions_.clear();
  searched_width_ = 0;
  const auto& routes = pinned_route_->partitions;
  const auto first = std::ranges::upper_bound(
      routes, requested_range_.begin, {},
      [](const PartitionRoute& route) { return route.range.end; });
  for (auto route = first;
       route != routes.end() && route->range.begin < requested_range_.end;
       ++route) {
    PartitionState partition;
    partition.route_index = static_cast<std::uint32_t>(route - routes.begin());
    partition.range = route->range.Intersection(requested_range_);
    partitions_.push_back(std::move(partition));
  }
  pending_ = partitions_.size();
}

void QueryRun::UpdateHedgeDelay() {
  hedge_delay_.reset();
  if (!request_.repeatable || !service_->hedging) {
    return;
  }
  const auto quantile =
      service_state_.latency.Quantile(service_->hedge_quantile);
  if (quantile.has_value()) {
    hedge_delay_ = std::max(*quantile, kMinimumHedgeDelay);
  }
}

void QueryRun::SendFirstSubqueries(MonotonicTime now, Actions& actions) {
  for (PartitionState& partition : partitions_) {
    if (!Send(partition, SendKind::kFirst, now, actions)) {
      MarkMissing(partition, ReasonUnsent(partition, now));
    }
  }
}

MissingReason QueryRun::ReasonUnsent(const PartitionState& partition,
                                     MonotonicTime now) const {
  if (RemainingTimeForOwner(now) < kMinimumUsefulTime) {
    return MissingReason::kDeadline;
  }
  const PartitionRoute* route = CurrentRoute(partition);
  const bool all_draining = route != nullptr && route->all_draining;
  return all_draining ? MissingReason::kDraining : MissingReason::kUnreachable;
}

bool QueryRun::CanRestart(MonotonicTime now) const {
  const auto& serving = front_.routes->view().serving;
  const auto newest = serving.find(request_.service);
  const bool newer =
      newest != serving.end() && newest->second > pinned_route_->index_version;
  const bool safe = request_.repeatable ||
                    attempt_log_.Execution() == ExecutionState::kNotRun;
  return newer && safe && restarts_ < kMaximumRestarts &&
         now + kMinimumUsefulTime < request_.deadline;
}

void QueryRun::TryRestart(MonotonicTime now, Actions& actions) {
  restart_wanted_ = false;
  if (!CanRestart(now)) {
    return;
  }
  if (front_.routes->Serving(request_.service) == nullptr) {
    return;
  }
  CancelAll(now, actions);
  // The work of the attempts on the earlier snapshot is wasted, so the retry
  // budget is charged for these attempts.
  service_state_.budget.Charge(attempt_log_.CountOfPossiblyRun() -
                               charged_attempts_);
  charged_attempts_ = attempt_log_.CountOfPossiblyRun();
  ++restarts_;
  ++front_.counters.restarts;
  PinSnapshot();
  SplitByPartition();
  UpdateHedgeDelay();
  SendFirstSubqueries(now, actions);
}

bool QueryRun::Send(PartitionState& partition, SendKind kind, MonotonicTime now,
                    Actions& actions) {
  if (RemainingTimeForOwner(now) < kMinimumUsefulTime) {
    return false;
  }
  const std::optional<ReplicaChoice> choice = Choose(partition, kind, now);
  if (!choice.has_value()) {
    return false;
  }
  const ReplicaRoute& replica = choice->replica;
  const bool busy = front_.backends.Load(replica.backend, now) >= replica.slots;
  if (kind == SendKind::kHedge && busy) {
    // A hedge to this backend would only queue and delay other subqueries.
    return false;
  }
  if (!TryChargeBudget(kind, now)) {
    return false;
  }
  Record(partition, *choice, kind, now, actions);
  return true;
}

std::optional<ReplicaChoice> QueryRun::Choose(const PartitionState& partition,
                                              SendKind kind,
                                              MonotonicTime now) {
  const PartitionRoute* route = CurrentRoute(partition);
  if (route == nullptr) {
    return std::nullopt;
  }
  excluded_.clear();
  for (const AttemptId id : partition.attempts) {
    excluded_.push_back(attempt_log_.Get(id).backend);
  }
  ReplicaRequest request{*route, service_->maximum_ejected_share, excluded_,
                         std::nullopt, request_.repeatable};
  if (!partition.attempts.empty()) {
    request.avoided_owner = attempt_log_.Get(partition.attempts.back()).owner;
  }
  auto choice = front_.Choose(request, now);
  const bool waited = partition.resend_at.has_value();
  if (!choice.has_value() && kind != SendKind::kHedge && waited) {
    // After the resend delay, a backend may be chosen a second time.
    request.excluded = {};
    choice = front_.Choose(request, now);
  }
  return choice;
}

const PartitionRoute* QueryRun::CurrentRoute(
    const PartitionState& partition) const {
  if (current_route_ == nullptr ||
      partition.route_index >= current_route_->partitions.size()) {
    return nullptr;
  }
  const PartitionRoute& pinned =
      pinned_route_->partitions[partition.route_index];
  const PartitionRoute& route =
      current_route_->partitions[partition.route_index];
  const bool same = route.range == pinned.range && route.shard == pinned.shard;
  return same ? &route : nullptr;
}

bool QueryRun::TryChargeBudget(SendKind kind, MonotonicTime now) {
  switch (kind) {
    case SendKind::kFirst:
      if (restarts_ == 0) {
        service_state_.budget.Deposit(service_->retry_budget, now);
        ++front_.counters.first_subqueries;
      } else {
        ++front_.counters.restarted_subqueries;
      }
      return true;
    case SendKind::kReroute:
      ++front_.counters.reroutes;
      return true;
    case SendKind::kHedge:
    case SendKind::kRetry:
      break;
  }
  if (!service_state_.budget.TryWithdraw()) {
    ++front_.counters.budget_refusals;
    return false;
  }
  ++(kind == SendKind::kHedge ? front_.counters.hedges
                              : front_.counters.retries);
  return true;
}

void QueryRun::Record(PartitionState& partition, const ReplicaChoice& choice,
                      SendKind kind, MonotonicTime now, Actions& actions) {
  const auto index =
      static_cast<std::uint32_t>(&partition - partitions_.data());
  const ReplicaRoute& replica = choice.replica;
  Attempt attempt;
  attempt.partition = index;
  attempt.backend = replica.backend;
  attempt.owner = replica.owner;
  attempt.sent_at = now;
  attempt.probe = choice.probe;
  const AttemptId id = attempt_log_.Add(attempt);
  partition.attempts.push_back(id);
  ++partition.outstanding;
  partition.resend_at.reset();
  front_.backends.OnSent(replica.backend);
  if (choice.probe) {
    front_.backends.OnProbe(replica.backend);
  }
  const bool may_hedge =
      kind != SendKind::kHedge && partition.hedges < kMaximumHedges;
  if (may_hedge && hedge_delay_.has_value()) {
    partition.hedge_at = now + *hedge_delay_;
    ScheduleTimer(*partition.hedge_at);
  }
  Batch& batch = BatchFor(replica.owner, now, actions);
  batch.subqueries.push_back(
      {id, front_.backend_names.NameOf(replica.backend),
       pinned_route_->partitions[partition.route_index].shard,
       partition.range});
}

Batch& QueryRun::BatchFor(OwnerId owner, MonotonicTime now, Actions& actions) {
  const auto found = std::ranges::find(actions.batches, owner, &Batch::owner);
  if (found != actions.batches.end()) {
    return *found;
  }
  Batch batch;
  batch.owner = owner;
  batch.index_version = pinned_route_->index_version;
  // One more row than requested shows whether the answer is truncated.
  batch.row_limit = request_.row_limit + 1;
  batch.remaining = RemainingTimeForOwner(now);
  actions.batches.push_back(std::move(batch));
  return actions.batches.back();
}

Duration QueryRun::RemainingTimeForOwner(MonotonicTime now) const {
  const Duration remaining_time = request_.deadline - now;
  return remaining_time -
         std::min(kHopMargin, remaining_time / kHopMarginDivisor);
}

void QueryRun::ScheduleTimer(MonotonicTime time) {
  next_timer_ = std::min(next_timer_, time);
}

Duration QueryRun::Jittered(Duration duration) {
  const auto width = static_cast<std::uint64_t>(duration.count() / 2 + 1);
  return duration + Duration(front_.random() % width);
}

}  // namespace juniperway::routing
