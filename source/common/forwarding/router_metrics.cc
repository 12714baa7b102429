#include "common/forwarding/router_metrics.h"

#include <string>

namespace juniperway::forwarding {
namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

// Upper bounds, in seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1, 2, 4, 8, 16};

prometheus::Counter* PlainCounter(prometheus::Registry& registry,
                                  const std::string& name,
                                  const std::string& help) {
  return &BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge* PlainGauge(prometheus::Registry& registry,
                              const std::string& name,
                              const std::string& help) {
  return &BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

const char* NameOf(RequestEnd end) {
  switch (end) {
    case RequestEnd::kWhole:
      return "whole";
    case RequestEnd::kPartial:
      return "partial";
    case RequestEnd::kBackendFailure:
      return "backend_failure";
    case RequestEnd::kNotRun:
      return "not_run";
    case RequestEnd::kFailed:
      return "failed";
    case RequestEnd::kTimedOut:
      return "timed_out";
    case RequestEnd::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

const char* NameOf(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kShed:
      return "shed";
    case AttemptResult::kWrongBackend:
      return "misplaced";
    case AttemptResult::kUnsent:
      return "unsent";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kReset:
      return "reset";
    case AttemptResult::kIncompleteAnswer:
      return "broken";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

RequestEnd EndOf(const RunOutcome& outcome) {
  switch (outcome.result) {
    case RunResult::kSuccess:
      return outcome.missing.empty() ? RequestEnd::kWhole
                                     : RequestEnd::kPartial;
    case RunResult::kBackendFailure:
      return RequestEnd::kBackendFailure;
    case RunResult::kNotRun:
      return RequestEnd::kNotRun;
    case RunResult::kFailed:
      return RequestEnd::kFailed;
    case RunResult::kTimedOut:
      return RequestEnd::kTimedOut;
  }
  return RequestEnd::kFailed;
}

RouterMetrics::RouterMetrics(prometheus::Registry& registry)
    : refusals_(BuildCounter()
                    .Name("juniperway_router_refusals_total")
                    .Help("Requests answered before they were routed")
                    .Register(registry)),
      tenant_requests_(
          BuildCounter()
              .Name("juniperway_router_tenant_requests_total")
              .Help("Requests of tenants with a limit, by what was decided")
              .Register(registry)),
      canary_attempts_(
          BuildCounter()
              .Name("juniperway_router_canary_attempts_total")
              .Help("Attempts at canaries of roll-outs, by how they ended")
              .Register(registry)),
      seconds_(&BuildHistogram()
                    .Name("juniperway_router_request_seconds")
                    .Help("Time from the whole request to the answer")
                    .Register(registry)
                    .Add({}, kLatencyBuckets)),
      hedges_(PlainCounter(registry, "juniperway_router_hedges_total",
                           "Attempts sent beside one that took too long")),
      missing_(PlainCounter(registry, "juniperway_router_missing_shards_total",
                            "Shards left out of answers")),
      throttled_(PlainCounter(registry, "juniperway_router_throttled_total",
                              "Requests refused as back ends are overloaded")),
      running_(PlainGauge(registry, "juniperway_router_requests_running",
                          "Requests in flight")),
      backends_(PlainGauge(registry, "juniperway_router_backends",
                           "Back ends that may get requests")),
      routers_(PlainGauge(registry, "juniperway_router_routers",
                          "Routers that share connections and budgets")),
      shared_failures_(
          PlainGauge(registry, "juniperway_router_shared_failures",
                     "Back ends that other routers had failures at")),
      evacuated_zones_(PlainGauge(registry, "juniperway_router_evacuated_zones",
                                  "Zones whose back ends get no new work")),
      quarantine_refusals_(
          PlainCounter(registry, "juniperway_router_quarantine_refusals_total",
                       "Requests refused as back ends end under them")),
      quarantined_requests_(
          PlainGauge(registry, "juniperway_router_quarantined_requests",
                     "Requests that are refused as back ends end under them")),
      revision_(PlainGauge(registry, "juniperway_router_view_revision",
                           "Revision in use here")),
      table_version_(PlainGauge(registry, "juniperway_router_table_version",
                                "Version of the route table in use here")) {
  auto& requests = BuildCounter()
                       .Name("juniperway_router_requests_total")
                       .Help("Routed requests, by how they ended")
                       .Register(registry);
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    requests_.at(i) =
        &requests.Add({{"result", NameOf(static_cast<RequestEnd>(i))}});
  }
  auto& attempts = BuildCounter()
                       .Name("juniperway_router_attempts_total")
                       .Help("Attempts at back ends, by how they ended")
                       .Register(registry);
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    attempts_.at(i) =
        &attempts.Add({{"result", NameOf(static_cast<AttemptResult>(i))}});
  }
}

void RouterMetrics::OnBegan() { running_->Increment(); }

void RouterMetrics::OnEnded(RequestEnd end, const RequestRun& run,
                            std::size_t missing, Duration elapsed) {
  running_->Decrement();
  requests_.at(static_cast<std::size_t>(end))->Increment();
  hedges_->Increment(static_cast<double>(run.hedges()));
  missing_->Increment(static_cast<double>(missing));
  seconds_->Observe(std::chrono::duration<double>(elapsed).count());
}

void RouterMetrics::OnAttemptEnded(AttemptResult result) {
  attempts_.at(static_cast<std::size_t>(result))->Increment();
}

void RouterMetrics::OnObservations(std::size_t backends) {
  shared_failures_->Set(static_cast<double>(backends));
}

void RouterMetrics::OnEvacuations(std::size_t zones) {
  evacuated_zones_->Set(static_cast<double>(zones));
}

void RouterMetrics::OnQuarantine(std::size_t requests) {
  quarantined_requests_->Set(static_cast<double>(requests));
}

void RouterMetrics::OnQuarantineRefused() { quarantine_refusals_->Increment(); }

void RouterMetrics::OnTenantRequest(const std::string& tenant,
                                    LimitDecision decision) {
  if (named_tenants_.size() < kNamedTenants) {
    named_tenants_.insert(tenant);
  }
  const std::string name = named_tenants_.contains(tenant) ? tenant : "others";
  tenant_requests_.Add({{"tenant", name}, {"decision", NameOf(decision)}})
      .Increment();
}

void RouterMetrics::OnThrottled() { throttled_->Increment(); }

void RouterMetrics::OnCanaryAttemptEnded(AttemptResult result) {
  canary_attempts_.Add({{"result", NameOf(result)}}).Increment();
}

void RouterMetrics::OnRefused(int status) {
  refusals_.Add({{"status", std::to_string(status)}}).Increment();
}

void RouterMetrics::OnView(std::uint64_t revision, std::uint64_t table_version,
                           const BackendPool& pool) {
  revision_->Set(static_cast<double>(revision));
  table_version_->Set(static_cast<double>(table_version));
  backends_->Set(static_cast<double>(pool.live_backends()));
  routers_->Set(static_cast<double>(pool.routers()));
}

}  // namespace juniperway::forwarding
