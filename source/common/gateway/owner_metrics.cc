#include "common/gateway/owner_metrics.h"

namespace juniperway::gateway {
namespace {

prometheus::Counter& PlainCounter(prometheus::Registry& registry,
                                  const std::string& name,
                                  const std::string& help) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({});
}

struct GaugeDescription {
  const char* name;
  const char* help;
};

// In the order of BackendFigure.
constexpr std::array<GaugeDescription, kBackendFigures> kBackendGauges = {{
    {"juniperway_owner_backend_owned", "1: in use, 0: waiting or letting go"},
    {"juniperway_owner_backend_running", "Slots taken"},
    {"juniperway_owner_backend_queued", "Subqueries that wait for a slot"},
    {"juniperway_owner_backend_usable_slots",
     "Slots less those held back by shedding or slow start"},
    {"juniperway_owner_backend_connections", "Exchanges under way"},
    {"juniperway_owner_backend_draining", "1: gets no new work"},
    {"juniperway_owner_backend_breaker_open", "1: not asked for now"},
    {"juniperway_owner_backend_mean_service_seconds",
     "Moving mean of the service time"},
}};

BackendGaugeFamilies RegisterBackendGauges(prometheus::Registry& registry) {
  BackendGaugeFamilies families{};
  for (std::size_t index = 0; index < kBackendFigures; ++index) {
    families[index] = &prometheus::BuildGauge()
                           .Name(kBackendGauges[index].name)
                           .Help(kBackendGauges[index].help)
                           .Register(registry);
  }
  return families;
}

// "kExpiredStarted" -> "expired_started".
std::string LabelOf(protocol::SubqueryOutcome outcome) {
  std::string label;
  const std::string name = protocol::EnumNameSubqueryOutcome(outcome);
  for (const char letter : name.substr(1)) {
    const bool upper = letter >= 'A' && letter <= 'Z';
    if (upper && !label.empty()) {
      label += '_';
    }
    label += upper ? static_cast<char>(letter - 'A' + 'a') : letter;
  }
  return label;
}

}  // namespace

BackendGauges::BackendGauges(const BackendGaugeFamilies& families,
                             const std::string& backend)
    : families_(families) {
  for (std::size_t index = 0; index < kBackendFigures; ++index) {
    gauges_[index] = &families[index]->Add({{"backend", backend}});
  }
}

BackendGauges::~BackendGauges() {
  for (std::size_t index = 0; index < kBackendFigures; ++index) {
    families_[index]->Remove(gauges_[index]);
  }
}

OwnerMetrics::OwnerMetrics(prometheus::Registry& registry)
    : started_(&PlainCounter(registry, "juniperway_owner_started_total",
                             "Searches sent to back ends")),
      cancels_(&PlainCounter(registry, "juniperway_owner_cancels_total",
                             "Cancellations sent to back ends")),
      closed_connections_(&PlainCounter(
          registry, "juniperway_owner_closed_connections_total",
          "Searches whose connection was closed for want of an answer")),
      late_answers_(&PlainCounter(
          registry, "juniperway_owner_late_answers_total",
          "Answers of back ends that came after their result was sent")),
      dropped_rows_(&PlainCounter(registry,
                                  "juniperway_owner_dropped_rows_total",
                                  "Rows outside the asked range")),
      foreign_bodies_(&PlainCounter(
          registry, "juniperway_owner_foreign_bodies_total",
          "Answers not passed on: malformed, other shard or index version")),
      probes_(&PlainCounter(registry, "juniperway_owner_probes_total",
                            "Health probes sent")),
      failed_probes_(&PlainCounter(registry,
                                   "juniperway_owner_failed_probes_total",
                                   "Health probes without a usable answer")),
      backend_gauges_(RegisterBackendGauges(registry)) {
  auto& results = prometheus::BuildCounter()
                      .Name("juniperway_owner_results_total")
                      .Help("Subquery results sent to fronts, by outcome")
                      .Register(registry);
  for (const protocol::SubqueryOutcome outcome :
       protocol::EnumValuesSubqueryOutcome()) {
    results_[static_cast<std::size_t>(outcome)] =
        &results.Add({{"outcome", LabelOf(outcome)}});
  }
}

prometheus::Counter& OwnerMetrics::Results(protocol::SubqueryOutcome outcome) {
  return *results_[static_cast<std::size_t>(outcome)];
}

}  // namespace juniperway::gateway
