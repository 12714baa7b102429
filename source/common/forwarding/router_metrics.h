// Prometheus metrics of the requests that a router forwards. RouterServer owns
// the RouterMetrics object; the registry owns the counters. See
// docs/operations/metrics.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "common/base/time.h"
#include "common/forwarding/backend_pool.h"
#include "common/forwarding/request_run.h"
#include "common/forwarding/tenant_admission.h"

namespace juniperway::forwarding {

// How a request ended: the values of the label `result`.
enum class RequestEnd {
  kWhole,
  kPartial,
  kBackendFailure,
  kNotRun,
  kFailed,
  kTimedOut,
  kClientGone,
};
inline constexpr std::size_t kRequestEnds = 7;
inline constexpr std::size_t kAttemptResults = 9;

// Returns the value of the label `result`.
const char* NameOf(RequestEnd end);
const char* NameOf(AttemptResult result);
RequestEnd EndOf(const RunOutcome& outcome);

// Updates the router's metrics, one function per event.
class RouterMetrics {
 public:
  explicit RouterMetrics(prometheus::Registry& registry);

  void OnBegan();
  // @param run the request's run, which is over.
  // @param missing number of shards that the answer lacks.
  // @param elapsed time since the request arrived.
  void OnEnded(RequestEnd end, const RequestRun& run, std::size_t missing,
               Duration elapsed);
  void OnAttemptEnded(AttemptResult result);
  // Counts an attempt at a canary of a rollout. Call it in addition to
  // OnAttemptEnded.
  void OnCanaryAttemptEnded(AttemptResult result);
  // Counts a request that the router refused before it routed it.
  void OnRefused(int status);
  // Counts a request that the router refused because the route's backends are
  // overloaded.
  void OnThrottled();
  void OnView(std::uint64_t revision, std::uint64_t table_version,
              const BackendPool& pool);
  // @param backends number of backends with recent failures at other routers.
  void OnObservations(std::size_t backends);
  // @param zones number of zones that are evacuated now.
  void OnEvacuations(std::size_t zones);
  // Maximum number of tenants with a label value of their own; the others share
  // one.
  static constexpr std::size_t kNamedTenants = 100;
  void OnTenantRequest(const std::string& tenant, LimitDecision decision);
  // Counts a request that the router refused because the request crashes
  // backends.
  void OnQuarantineRefused();
  // @param requests number of requests that are quarantined now.
  void OnQuarantine(std::size_t requests);

 private:
  std::array<prometheus::Counter*, kRequestEnds> requests_{};
  std::array<prometheus::Counter*, kAttemptResults> attempts_{};
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& tenant_requests_;
  prometheus::Family<prometheus::Counter>& canary_attempts_;
  std::set<std::string> named_tenants_;
  prometheus::Histogram* seconds_ = nullptr;
  prometheus::Counter* hedges_ = nullptr;
  prometheus::Counter* missing_ = nullptr;
  prometheus::Counter* throttled_ = nullptr;
  prometheus::Gauge* running_ = nullptr;
  prometheus::Gauge* backends_ = nullptr;
  prometheus::Gauge* routers_ = nullptr;
  prometheus::Gauge* shared_failures_ = nullptr;
  prometheus::Gauge* evacuated_zones_ = nullptr;
  prometheus::Counter* quarantine_refusals_ = nullptr;
  prometheus::Gauge* quarantined_requests_ = nullptr;
  prometheus::Gauge* revision_ = nullptr;
  prometheus::Gauge* table_version_ = nullptr;
};

}  // namespace juniperway::forwarding
