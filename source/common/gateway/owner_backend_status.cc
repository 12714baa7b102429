#include "common/gateway/owner_backend_status.h"

#include <chrono>
#include <utility>

#include "common/logging/event_log.h"
#include "common/owner/events.h"

namespace juniperway::gateway {

using owner::BreakerState;
using owner::DrainSource;
using owner::GateAccess;

OwnerBackendStatus::OwnerBackendStatus(std::string backend,
                                       OwnerMetrics& metrics)
    : backend_(std::move(backend)),
      gauges_(metrics.backend_gauges(), backend_) {}

void OwnerBackendStatus::OnStoredReport(
    const std::optional<session::BackendReport>& stored) {
  if (stored == stored_) {
    return;
  }
  stored_ = stored;
  if (stored_ != reported_) {
    reported_.reset();
  }
}

std::optional<session::BackendReport> OwnerBackendStatus::TakeReport(
    const owner::BackendGate& gate, const owner::HeldVersions& held) {
  const DrainSource source = gate.drain_source();
  // Operator and platform are in the view already; before the first probe
  // nothing is known that the previous owner had not reported.
  const bool own_word =
      source == DrainSource::kAnswer || source == DrainSource::kHealth;
  if (gate.access() != GateAccess::kOpen || (!probed_ && !own_word)) {
    return std::nullopt;
  }
  if (reported_ && reported_->held_versions == held.held() &&
      reported_->draining == own_word) {
    return std::nullopt;
  }
  reported_ = session::BackendReport{held.held(), own_word};
  return reported_;
}

bool OwnerBackendStatus::Update(const owner::BackendGate& gate,
                                MonotonicTime now) {
  LogDrain(gate.drain_source());
  SetGauges(gate, now);
  const bool open = gate.breaker_state(now) != BreakerState::kClosed;
  if (open == logged_breaker_open_) {
    return false;
  }
  logging::LogEvent(open ? owner::kBreakerOpened : owner::kBreakerClosed,
                    {{"backend", backend_}});
  logged_breaker_open_ = open;
  return open;
}

void OwnerBackendStatus::LogDrain(DrainSource source) {
  if (source == logged_drain_) {
    return;
  }
  const bool draining = source != DrainSource::kNone;
  logging::LogEvent(
      draining ? owner::kBackendDraining : owner::kBackendDrainEnded,
      {{"backend", backend_},
       {"source", owner::DrainSourceName(draining ? source : logged_drain_)}});
  logged_drain_ = source;
}

void OwnerBackendStatus::SetGauges(const owner::BackendGate& gate,
                                   MonotonicTime now) {
  gauges_.Set(BackendFigure::kOwned, gate.access() == GateAccess::kOpen);
  gauges_.Set(BackendFigure::kRunning, gate.running());
  gauges_.Set(BackendFigure::kQueued, static_cast<double>(gate.queued()));
  gauges_.Set(BackendFigure::kUsableSlots, gate.UsableSlots(now));
  gauges_.Set(BackendFigure::kConnections, gate.connections());
  gauges_.Set(BackendFigure::kDraining,
              gate.drain_source() != DrainSource::kNone);
  gauges_.Set(BackendFigure::kBreakerOpen,
              gate.breaker_state(now) != BreakerState::kClosed);
  gauges_.Set(BackendFigure::kMeanServiceTime,
              std::chrono::duration<double>(gate.mean_service_time()).count());
}

}  // namespace juniperway::gateway
