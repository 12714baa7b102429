#include "common/gateway/owner_backend.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "common/logging/event_log.h"
#include "common/owner/events.h"

namespace juniperway::gateway {
namespace {

using owner::DrainSource;
using owner::GateAccess;
using owner::GateAction;
using owner::GateActionKind;
using owner::SubqueryId;

// Exchanges end by the gate's own timers; this only bounds a fault of it.
constexpr Duration kTimeoutSlack = seconds(1);
constexpr Duration kProbeTimeout = seconds(1);
// A timer that fires later than this shows that the process stood still.
constexpr Duration kLateTimer = milliseconds(10);
// What arrived meanwhile is read in this time, before the timer counts.
constexpr Duration kCatchUpTime = milliseconds(5);

// The shards that `resource` is to hold at each declared version.
owner::RequiredShards RequiredShardsOf(const resources::Backend& resource,
                                       const session::FleetView& view) {
  owner::RequiredShards required;
  for (auto entry = view.snapshots.lower_bound({resource.service, 0});
       entry != view.snapshots.end() && entry->first.first == resource.service;
       ++entry) {
    std::set<std::string>& shards = required[entry->first.second];
    for (const resources::Partition& partition : entry->second.partitions) {
      if (resource.shards.contains(partition.shard)) {
        shards.insert(partition.shard);
      }
    }
  }
  return required;
}

bool LeavesByPlatform(const std::string& backend,
                      const session::FleetView& view) {
  const auto machine = view.machines.find(backend);
  return machine != view.machines.end() && machine->second.leaving;
}

}  // namespace

OwnerBackend::OwnerBackend(asio::io_context& context,
                           OwnerBackendOptions options,
                           const session::FleetView& view,
                           OwnerMetrics& metrics, Listener& listener)
    : context_(context),
      options_(std::move(options)),
      metrics_(metrics),
      listener_(listener),
      status_(options_.name, metrics),
      resource_(view.backends.at(options_.name)),
      required_shards_(RequiredShardsOf(resource_, view)),
      gate_(SettingsFrom(view), options_.probe_interval, options_.seed),
      timer_(context) {
  ReplaceClient();
  const MonotonicTime now = ReadMonotonicClock();
  const auto report = StoredReport(view);
  if (report) {
    held_.Start(report->held_versions);
    gate_.SetReportedDraining(report->draining, now);
  }
  status_.OnStoredReport(report);
  gate_.SetEjectionAllowed(may_eject_, now);
  gate_.SetDraining(DrainSource::kOperator, resource_.drain, now);
  gate_.SetDraining(DrainSource::kPlatform,
                    LeavesByPlatform(options_.name, view), now);
}

std::optional<session::BackendReport> OwnerBackend::StoredReport(
    const session::FleetView& view) const {
  const auto report = view.reports.find(options_.name);
  return report == view.reports.end() ? std::nullopt
                                      : std::optional(report->second);
}

owner::GateSettings OwnerBackend::SettingsFrom(const session::FleetView& view) {
  owner::GateSettings settings;
  settings.slots = resource_.slots;
  settings.maximum_connections = resource_.maximum_connections;
  settings.slow_start = resource_.slow_start;
  const auto service = view.services.find(resource_.service);
  if (service != view.services.end()) {
    settings.queue_limit = service->second.queue_limit;
    settings.class_weights.clear();
    request_classes_.clear();
    for (const auto& request_class : service->second.request_classes) {
      settings.class_weights.push_back(request_class.weight);
      request_classes_.push_back(request_class.name);
    }
  }
  return settings;
}

void OwnerBackend::ReplaceClient() {
  // Destroyed later, as this may run inside one of its callbacks.
  asio::post(context_,
             [old = std::shared_ptr<BackendClient>(std::move(client_))] {});
  ++client_generation_;
  client_outdated_ = false;
  client_ = std::make_unique<BackendClient>(context_, resource_.address,
                                            resource_.maximum_connections);
}

void OwnerBackend::OnView(const session::FleetView& view, MonotonicTime now) {
  const auto found = view.backends.find(options_.name);
  if (found == view.backends.end()) {
    return;  // Deleted: access is closed as well.
  }
  const resources::Backend before = std::exchange(resource_, found->second);
  required_shards_ = RequiredShardsOf(resource_, view);
  if (resource_.address != before.address) {
    const GateAccess access = gate_.access();
    CutOff(now);
    SetAccess(access, now);
  } else if (resource_.maximum_connections != before.maximum_connections) {
    client_outdated_ = true;
  }
  Perform(gate_.SetDraining(DrainSource::kOperator, resource_.drain, now), now);
  Perform(gate_.SetDraining(DrainSource::kPlatform,
                            LeavesByPlatform(options_.name, view), now),
          now);
  status_.OnStoredReport(StoredReport(view));
  const owner::GateSettings settings = SettingsFrom(view);
  if (settings != gate_.settings()) {
    Perform(gate_.Configure(settings, now), now);
  }
  AfterChange(now);
}

void OwnerBackend::SetAccess(GateAccess access, MonotonicTime now) {
  if (access == gate_.access()) {
    return;
  }
  Perform(gate_.SetAccess(access, now), now);
  AfterChange(now);
}

void OwnerBackend::SetMayEject(bool may_eject, MonotonicTime now) {
  if (may_eject == may_eject_) {
    return;
  }
  may_eject_ = may_eject;
  Perform(gate_.SetEjectionAllowed(may_eject, now), now);
  AfterChange(now);
}

void OwnerBackend::Submit(SubqueryId id, SubqueryOrder order,
                          MonotonicTime deadline, MonotonicTime now) {
  const owner::ClassIndex class_index = ClassOf(*order.query);
  open_.emplace(id, Open{std::move(order), deadline, std::nullopt});
  Perform(gate_.Submit(id, deadline, class_index, now), now);
  AfterChange(now);
}

// A class that this view does not know counts as the first.
owner::ClassIndex OwnerBackend::ClassOf(const QueryContext& query) const {
  const auto found = std::ranges::find(request_classes_, query.request_class);
  return found == request_classes_.end()
             ? 0
             : static_cast<owner::ClassIndex>(found - request_classes_.begin());
}

void OwnerBackend::Cancel(SubqueryId id, MonotonicTime now) {
  Perform(gate_.Cancel(id, now), now);
  AfterChange(now);
}

void OwnerBackend::Stop(MonotonicTime now) {
  Perform(gate_.Stop(now), now);
  AfterChange(now);
}

void OwnerBackend::CutOff(MonotonicTime now) {
  Perform(gate_.CloseAllConnections(now), now);
  ReplaceClient();
  AfterChange(now);
}

void OwnerBackend::Perform(const owner::GateActions& actions,
                           MonotonicTime now) {
  for (const GateAction& action : actions) {
    PerformOne(action, now);
  }
}

void OwnerBackend::PerformOne(const GateAction& action, MonotonicTime now) {
  switch (action.kind) {
    case GateActionKind::kStart:
      StartSearch(action.id, now);
      return;
    case GateActionKind::kFinish: {
      SubqueryAnswer answer;
      answer.outcome = action.outcome;
      answer.retry_after = action.retry_after;
      const auto open = open_.find(action.id);
      if (open != open_.end() && open->second.started) {
        answer.service_time = now - *open->second.started;
      }
      Answer(action.id, std::move(answer));
      return;
    }
    case GateActionKind::kSendCancel:
      SendCancel(action.id);
      return;
    case GateActionKind::kCloseConnection:
      metrics_.closed_connections().Increment();
      client_->Abandon(action.id);
      return;
    case GateActionKind::kProbe:
      SendProbe();
      return;
  }
}

std::string OwnerBackend::AttemptId(SubqueryId id) const {
  return options_.attempt_prefix + std::to_string(id);
}

void OwnerBackend::StartSearch(SubqueryId id, MonotonicTime now) {
  Open& open = open_.at(id);
  open.started = now;
  const Duration remaining = open.deadline - now;
  const SearchRequest request{open.order.query, AttemptId(id), open.order.shard,
                              open.order.range};
  owner::SearchExpectation expected{
      open.order.shard, open.order.query->index_version, open.order.range};
  metrics_.started().Increment();
  client_->Search(id, request, remaining, remaining + kTimeoutSlack,
                  [this, id, expected = std::move(expected)](
                      const net::HttpClientResponse& response) {
                    OnSearchDone(id, expected, response);
                  });
}

void OwnerBackend::OnSearchDone(SubqueryId id,
                                const owner::SearchExpectation& expected,
                                const net::HttpClientResponse& response) {
  const MonotonicTime now = ReadMonotonicClock();
  owner::BackendReply reply = owner::InterpretSearchReply(response, expected);
  NoteFaults(reply);
  const bool refused = reply.kind == owner::ReplyKind::kRefused;
  if (refused || reply.kind == owner::ReplyKind::kServed) {
    held_.OnAnswer(expected.index_version, !refused, now);
  }
  const auto open = open_.find(id);
  if (open == open_.end()) {
    metrics_.late_answers().Increment();
  } else {
    SubqueryAnswer answer;
    answer.outcome = reply.outcome;
    answer.rows = std::move(reply.rows);
    answer.dropped_rows = reply.dropped_rows;
    answer.service_time = now - *open->second.started;
    answer.retry_after = reply.retry_after;
    Answer(id, std::move(answer));
  }
  listener_.CheckLease(now);
  Perform(gate_.OnReply(id, reply, now), now);
  AfterChange(now);
}

void OwnerBackend::NoteFaults(const owner::BackendReply& reply) {
  if (!reply.discard_reason.empty()) {
    metrics_.foreign_bodies().Increment();
    logging::LogEvent(owner::kBodyMismatch, {{"backend", options_.name},
                                             {"fault", reply.discard_reason}});
  }
  if (reply.dropped_rows > 0) {
    metrics_.dropped_rows().Increment(reply.dropped_rows);
    logging::LogEvent(owner::kRowsOutOfRange, {{"backend", options_.name},
                                               {"rows", reply.dropped_rows}});
  }
}

void OwnerBackend::SendCancel(SubqueryId id) {
  metrics_.cancels().Increment();
  const auto generation = client_generation_;
  client_->Cancel(AttemptId(id), owner::BackendGate::kLateAnswerTimeout,
                  [this, generation](const net::HttpClientResponse&) {
                    if (generation == client_generation_) {
                      const MonotonicTime now = ReadMonotonicClock();
                      listener_.CheckLease(now);
                      Perform(gate_.OnCancelDone(now), now);
                      AfterChange(now);
                    }
                  });
}

void OwnerBackend::SendProbe() {
  metrics_.probes().Increment();
  const auto generation = client_generation_;
  client_->Probe(kProbeTimeout,
                 [this, generation](const net::HttpClientResponse& response) {
                   if (generation == client_generation_) {
                     OnProbeDone(response);
                   }
                 });
}

void OwnerBackend::OnProbeDone(const net::HttpClientResponse& response) {
  const MonotonicTime now = ReadMonotonicClock();
  std::optional<owner::BackendGate::ProbeResult> result;
  if (const auto health = owner::ParseHealth(response)) {
    held_.OnHealth(*health, required_shards_, now);
    status_.OnProbed();
    result = {health->cold, health->draining};
  } else {
    metrics_.failed_probes().Increment();
  }
  listener_.CheckLease(now);
  Perform(gate_.OnProbeDone(result, now), now);
  AfterChange(now);
}

void OwnerBackend::Answer(SubqueryId id, SubqueryAnswer answer) {
  if (open_.erase(id) == 0) {
    return;
  }
  answer.load = gate_.running() + static_cast<std::uint32_t>(gate_.queued());
  answer.slots = resource_.slots;
  metrics_.Results(answer.outcome).Increment();
  listener_.OnResult(id, std::move(answer));
}

void OwnerBackend::AfterChange(MonotonicTime now) {
  if (client_outdated_ && gate_.connections() == 0) {
    ReplaceClient();
  }
  if (const auto report = status_.TakeReport(gate_, held_)) {
    listener_.OnReport(options_.name, *report);
  }
  if (status_.Update(gate_, now)) {
    listener_.OnBreakerOpened();
  }
  ArmTimer(now);
  if (gate_.access() == GateAccess::kOpen) {
    let_go_ = false;
  } else if (gate_.idle() && !let_go_) {
    let_go_ = true;
    ReplaceClient();  // Idle connections count at the back end, too.
    listener_.OnLetGo(options_.name);
  }
}

void OwnerBackend::ArmTimer(MonotonicTime now) {
  const auto next = gate_.NextTimer(now);
  if (!next) {
    armed_for_.reset();
    catching_up_ = false;
    timer_.cancel();
    return;
  }
  if (armed_for_ && (catching_up_ || *armed_for_ <= *next)) {
    return;  // Fires early enough; it is armed again then.
  }
  StartTimer(*next, now);
}

void OwnerBackend::StartTimer(MonotonicTime due, MonotonicTime now) {
  armed_for_ = due;
  timer_.expires_after(std::max(Duration::zero(), due - now));
  timer_.async_wait([this, due, alive = std::weak_ptr<char>(alive_)](
                        const asio::error_code& error) {
    if (!error && !alive.expired()) {
      OnTimer(due);
    }
  });
}

void OwnerBackend::OnTimer(MonotonicTime due) {
  const MonotonicTime now = ReadMonotonicClock();
  listener_.CheckLease(now);
  if (!catching_up_ && now - due > kLateTimer) {
    catching_up_ = true;
    StartTimer(now + kCatchUpTime, now);
    return;
  }
  catching_up_ = false;
  armed_for_.reset();
  Perform(gate_.OnTimer(now), now);
  AfterChange(now);
}

}  // namespace juniperway::gateway
