// What the owner tier counts, as Prometheus metrics.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <string>

#include "common/protocol/query_generated.h"

namespace juniperway::gateway {

// What is shown of each back end.
enum class BackendFigure {
  kOwned,
  kRunning,
  kQueued,
  kUsableSlots,
  kConnections,
  kDraining,
  kBreakerOpen,
  kMeanServiceTime,
  kCount
};

using GaugeFamily = prometheus::Family<prometheus::Gauge>;
inline constexpr std::size_t kBackendFigures =
    static_cast<std::size_t>(BackendFigure::kCount);
using BackendGaugeFamilies = std::array<GaugeFamily*, kBackendFigures>;

// One back end's gauges; they go with the object.
class BackendGauges {
 public:
  BackendGauges(const BackendGaugeFamilies& families,
                const std::string& backend);
  ~BackendGauges();
  BackendGauges(const BackendGauges&) = delete;
  BackendGauges& operator=(const BackendGauges&) = delete;

  void Set(BackendFigure figure, double value) {
    gauges_[static_cast<std::size_t>(figure)]->Set(value);
  }

 private:
  BackendGaugeFamilies families_;
  std::array<prometheus::Gauge*, kBackendFigures> gauges_{};
};

class OwnerMetrics {
 public:
  explicit OwnerMetrics(prometheus::Registry& registry);

  // Results sent to fronts.
  prometheus::Counter& Results(protocol::SubqueryOutcome outcome);
  prometheus::Counter& started() { return *started_; }
  prometheus::Counter& cancels() { return *cancels_; }
  prometheus::Counter& closed_connections() { return *closed_connections_; }
  prometheus::Counter& late_answers() { return *late_answers_; }
  prometheus::Counter& dropped_rows() { return *dropped_rows_; }
  prometheus::Counter& foreign_bodies() { return *foreign_bodies_; }
  prometheus::Counter& probes() { return *probes_; }
  prometheus::Counter& failed_probes() { return *failed_probes_; }
  const BackendGaugeFamilies& backend_gauges() const { return backend_gauges_; }

 private:
  static constexpr std::size_t kOutcomes =
      static_cast<std::size_t>(protocol::SubqueryOutcome::MAX) + 1;

  std::array<prometheus::Counter*, kOutcomes> results_{};
  prometheus::Counter* started_;
  prometheus::Counter* cancels_;
  prometheus::Counter* closed_connections_;
  prometheus::Counter* late_answers_;
  prometheus::Counter* dropped_rows_;
  prometheus::Counter* foreign_bodies_;
  prometheus::Counter* probes_;
  prometheus::Counter* failed_probes_;
  BackendGaugeFamilies backend_gauges_;
};

}  // namespace juniperway::gateway
