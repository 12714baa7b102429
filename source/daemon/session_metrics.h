// What the daemon counts of its session with control, as Prometheus metrics.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "common/session/control_session_client.h"

namespace juniperway::daemon {

class SessionMetrics {
 public:
  explicit SessionMetrics(prometheus::Registry& registry);

  void Update(const session::ControlSessionClient& session);

 private:
  prometheus::Gauge& lease_;
  prometheus::Gauge& view_revision_;
  prometheus::Gauge& in_force_revision_;
  prometheus::Gauge& zone_released_revision_;
  prometheus::Counter& connects_;
  prometheus::Counter& updates_;
  prometheus::Counter& full_updates_;
  prometheus::Counter& sent_bytes_;
  prometheus::Counter& received_bytes_;
};

}  // namespace juniperway::daemon
