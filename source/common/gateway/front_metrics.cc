#include "common/gateway/front_metrics.h"

#include <variant>

namespace juniperway::gateway {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Seconds. Fine where searches are, coarse towards the longest deadlines.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064,
    0.125, 0.25,  0.5,   1,     2,     4,     8};

std::string_view OutcomeName(const routing::QueryOutcome& outcome) {
  if (const auto* answer = std::get_if<routing::Answer>(&outcome)) {
    return answer->coverage.missing.empty() ? "whole" : "partial";
  }
  return std::holds_alternative<routing::Refusal>(outcome) ? "refused"
                                                           : "abandoned";
}

prometheus::Family<prometheus::Counter>& SubqueryFamily(
    prometheus::Registry& registry) {
  return BuildCounter()
      .Name("juniperway_front_subqueries_total")
      .Help("Subqueries sent to owners, by why they were sent")
      .Register(registry);
}

prometheus::Family<prometheus::Counter>& DroppedFamily(
    prometheus::Registry& registry) {
  return BuildCounter()
      .Name("juniperway_front_dropped_results_total")
      .Help("Results of owners that did not count, by why")
      .Register(registry);
}

prometheus::Family<prometheus::Counter>& PeerBytesFamily(
    prometheus::Registry& registry) {
  return BuildCounter()
      .Name("juniperway_front_peer_bytes_total")
      .Help("Bytes on the connections to owners, by direction")
      .Register(registry);
}

prometheus::Counter* PlainCounter(prometheus::Registry& registry,
                                  const std::string& name,
                                  const std::string& help) {
  return &BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

FrontMetrics::FrontMetrics(prometheus::Registry& registry)
    : queries_(BuildCounter()
                   .Name("juniperway_front_queries_total")
                   .Help("Admitted queries, by service and outcome")
                   .Register(registry)),
      refusals_(BuildCounter()
                    .Name("juniperway_front_refusals_total")
                    .Help("Refusals, by error code and execution state")
                    .Register(registry)),
      seconds_(BuildHistogram()
                   .Name("juniperway_front_query_seconds")
                   .Help("Time from the whole request to the answer")
                   .Register(registry)),
      running_(BuildGauge()
                   .Name("juniperway_front_queries_running")
                   .Help("Queries in flight")
                   .Register(registry)
                   .Add({})),
      peers_(BuildGauge()
                 .Name("juniperway_front_peers_connected")
                 .Help("Owners with a connection")
                 .Register(registry)
                 .Add({})) {
  auto& subqueries = SubqueryFamily(registry);
  first_subqueries_.counter = &subqueries.Add({{"kind", "first"}});
  hedges_.counter = &subqueries.Add({{"kind", "hedge"}});
  retries_.counter = &subqueries.Add({{"kind", "retry"}});
  reroutes_.counter = &subqueries.Add({{"kind", "reroute"}});
  restarted_subqueries_.counter = &subqueries.Add({{"kind", "restart"}});
  auto& dropped = DroppedFamily(registry);
  late_results_.counter = &dropped.Add({{"reason", "late"}});
  duplicate_results_.counter = &dropped.Add({{"reason", "duplicate"}});
  foreign_results_.counter = &dropped.Add({{"reason", "foreign"}});
  auto& bytes = PeerBytesFamily(registry);
  peer_sent_bytes_.counter = &bytes.Add({{"direction", "sent"}});
  peer_received_bytes_.counter = &bytes.Add({{"direction", "received"}});
  restarts_.counter = PlainCounter(registry, "juniperway_front_restarts_total",
                                   "Queries started over on a newer snapshot");
  budget_refusals_.counter =
      PlainCounter(registry, "juniperway_front_budget_refusals_total",
                   "Hedges and retries not sent for want of budget");
  admission_refusals_.counter = PlainCounter(
      registry, "juniperway_front_admission_refusals_total",
      "Queries refused as the service's back ends were overloaded");
  out_of_range_rows_.counter =
      PlainCounter(registry, "juniperway_front_out_of_range_rows_total",
                   "Rows outside their subquery's range, dropped");
}

void FrontMetrics::OnOutcome(const std::string& service,
                             const routing::QueryOutcome& outcome,
                             Duration elapsed) {
  queries_
      .Add({{"service", service},
            {"outcome", std::string(OutcomeName(outcome))}})
      .Increment();
  const std::chrono::duration<double> as_seconds = elapsed;
  seconds_.Add({{"service", service}}, kLatencyBuckets)
      .Observe(as_seconds.count());
  if (const auto* refusal = std::get_if<routing::Refusal>(&outcome)) {
    CountRefusal(*refusal);
  }
}

void FrontMetrics::OnRefusedAtEntry(const routing::Refusal& refusal) {
  CountRefusal(refusal);
}

void FrontMetrics::CountRefusal(const routing::Refusal& refusal) {
  refusals_
      .Add({{"code", std::string(ErrorCodeName(refusal.error.code))},
            {"execution", std::string(ExecutionStateName(refusal.execution))}})
      .Increment();
}

void FrontMetrics::Update(const routing::FrontCounters& counters,
                          std::size_t running, std::size_t connected_peers,
                          std::uint64_t peer_sent_bytes,
                          std::uint64_t peer_received_bytes) {
  running_.Set(static_cast<double>(running));
  peers_.Set(static_cast<double>(connected_peers));
  first_subqueries_.Set(counters.first_subqueries);
  hedges_.Set(counters.hedges);
  retries_.Set(counters.retries);
  reroutes_.Set(counters.reroutes);
  restarted_subqueries_.Set(counters.restarted_subqueries);
  restarts_.Set(counters.restarts);
  budget_refusals_.Set(counters.budget_refusals);
  admission_refusals_.Set(counters.admission_refusals);
  late_results_.Set(counters.late_results);
  duplicate_results_.Set(counters.duplicate_results);
  foreign_results_.Set(counters.foreign_results);
  out_of_range_rows_.Set(counters.out_of_range_rows);
  peer_sent_bytes_.Set(peer_sent_bytes);
  peer_received_bytes_.Set(peer_received_bytes);
}

void FrontMetrics::MirroredTotal::Set(std::uint64_t total) {
  counter->Increment(static_cast<double>(total - seen));
  seen = total;
}

}  // namespace juniperway::gateway
