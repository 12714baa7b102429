// What a router counts of the requests that it forwards, as Prometheus metrics.
// Page: docs/operations/metrics.md.
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

// How a request ended, as the metrics have it.
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

const char* NameOf(RequestEnd end);
const char* NameOf(AttemptResult result);
RequestEnd EndOf(const RunOutcome& outcome);

class RouterMetrics {
 public:
  explicit RouterMetrics(prometheus::Registry& registry);

  void OnBegan();
  // @param run as it was when the request ended.
  void OnEnded(RequestEnd end, const RequestRun& run, std::size_t missing,
               Duration elapsed);
  void OnAttemptEnded(AttemptResult result);
  // Of an attempt at a canary of a roll-out, besides OnAttemptEnded.
  void OnCanaryAttemptEnded(AttemptResult result);
  // Answered before it was routed.
  void OnRefused(int status);
  // Refused because the route's back ends are overloaded.
  void OnThrottled();
  void OnView(std::uint64_t revision, std::uint64_t table_version,
              const BackendPool& pool);
  // @param backends that other routers had failures at of late.
  void OnObservations(std::size_t backends);
  // @param zones that are evacuated now.
  void OnEvacuations(std::size_t zones);
  // Tenants that are counted by name; others are counted together.
  static constexpr std::size_t kNamedTenants = 100;
  void OnTenantRequest(const std::string& tenant, LimitDecision decision);
  // Refused because back ends end under it.
  void OnQuarantineRefused();
  // @param requests that are refused for this now.
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
