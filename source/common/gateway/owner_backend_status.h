// What is told of one owned back end: reports to control, log events and
// gauges, each only when it changed.
#pragma once

#include <optional>
#include <string>

#include "common/base/time.h"
#include "common/gateway/owner_metrics.h"
#include "common/owner/backend_gate.h"
#include "common/owner/backend_health.h"
#include "common/session/fleet_view.h"

namespace juniperway::gateway {

class OwnerBackendStatus {
 public:
  OwnerBackendStatus(std::string backend, OwnerMetrics& metrics);

  // Health was answered: from now on what is held is known at first hand.
  void OnProbed() { probed_ = true; }

  // Takes the report that the control group stores, nullopt for none. A late
  // report of an earlier owner, or a late copy of one of this owner's, may have
  // replaced the latest, which is then to be sent again.
  void OnStoredReport(const std::optional<session::BackendReport>& stored);

  // @return what control is to be told, if that changed or was replaced.
  std::optional<session::BackendReport> TakeReport(
      const owner::BackendGate& gate, const owner::HeldVersions& held);

  // Logs drains and breaker changes, and sets the gauges.
  // @return whether the breaker opened.
  bool Update(const owner::BackendGate& gate, MonotonicTime now);

 private:
  void LogDrain(owner::DrainSource source);
  void SetGauges(const owner::BackendGate& gate, MonotonicTime now);

  std::string backend_;
  BackendGauges gauges_;
  bool probed_ = false;
  std::optional<session::BackendReport> reported_;
  std::optional<session::BackendReport> stored_;
  owner::DrainSource logged_drain_ = owner::DrainSource::kNone;
  bool logged_breaker_open_ = false;
};

}  // namespace juniperway::gateway
