#include "common/forwarding/backend_pool.h"

#include <algorithm>
#include <utility>

namespace juniperway::forwarding {
namespace {

// How much longer a backend of this router's zone may take before the pool
// prefers one in another zone of the region, or one in another region. Each
// penalty exceeds the round trip time (2 to 3 ms within a region, 24 ms to
// another region), because traffic between zones and regions costs money.
constexpr Duration kSameRegionPenalty = milliseconds(10);
constexpr Duration kOtherRegionPenalty = milliseconds(60);
// Share of the connections of a backend that all routers together use. The
// remaining connections cover connections that are closing and routers that are
// not known yet.
constexpr double kConnectionShare = 0.9;

// Duration of the ejection after a failure. It doubles with each consecutive
// failure.
constexpr Duration kInitialEjection = milliseconds(300);
constexpr Duration kMaximumEjection = seconds(3);
// Backoff after a shed request. It doubles with each consecutive failure.
constexpr Duration kInitialShedBackoff = milliseconds(50);
constexpr Duration kMaximumShedBackoff = milliseconds(500);
// Backoff after a refused or reset connection. It doubles with each consecutive
// failure. Most often the backend has reached its maximum of connections, and
// another client soon closes one (docs/DECIDING.md).
constexpr Duration kInitialRefusalBackoff = milliseconds(30);
constexpr Duration kMaximumRefusalBackoff = seconds(1);
// After this many consecutive failures a backend counts as down rather than
// busy. If the failures are refused connections, the backoffs that the pool has
// set by then add up to 0.45 s.
constexpr std::uint32_t kDownAfterFailures = 4;
// A backend with an attempt in flight for longer than both this time and this
// many median latencies does not count as busy: the pool cannot expect it to
// take another attempt soon.
constexpr Duration kUnresponsiveAfter = milliseconds(300);
constexpr int kUnresponsiveAfterMedians = 3;
// Backoff of a backend whose address belongs to another backend. By its end the
// discovery list should show the change.
constexpr Duration kMisplacedBackoff = seconds(5);
constexpr std::uint32_t kMaximumDoublings = 10;
// Added cost of an attempt that brings no answer. While the retry budget of the
// service lasts, another attempt follows, and only the time of the first one is
// lost (30 ms is about a round trip to another region). Without budget the
// whole request most often fails. The cost grows between the two as the budget
// is spent.
constexpr Duration kRetryCost = milliseconds(30);
constexpr Duration kLostRequestCost = seconds(1);

// Time that a new connection adds to an attempt: 6 ms in the backend and a
// round trip within a zone. Without this cost a router that gets a scatter
// request every 17 s chooses another replica of each shard each time, over a
// new connection: 1.4 new connections per request to a backend in a fleet of
// 985 routers.
constexpr Duration kNewConnectionCost = milliseconds(7);

// A router that has made at least this many recent (decayed) attempts at a
// backend uses only its own observations, for two reasons. Other routers may
// reach the backend over another network path. And if routers that all send to
// each backend often used the reported failures, all of them would move to the
// same backends at once.
constexpr double kMinimumOwnAttempts = 1.5;
// Upper bound of the reported share of failures. At this bound the pool adds
// the cost of four failed attempts to the expected latency of the backend,
// which stays usable.
constexpr double kMaximumReportedShare = 0.8;

}  // namespace

BackendPool::BackendPool(PoolOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      shared_failures_(options_.seed) {}

Duration BackendPool::LocalityPenalty(const std::string& zone) const {
  const Place own = {options_.zone, RegionOf(options_.zone)};
  switch (LocalityBetween(own, {zone, RegionOf(zone)})) {
    case Locality::kSameZone:
      return Duration(0);
    case Locality::kSameRegion:
      return kSameRegionPenalty;
    case Locality::kOtherRegion:
      break;
  }
  return kOtherRegionPenalty;
}

std::string BackendPool::RegionOf(const std::string& zone) const {
  const auto region = options_.regions.find(zone);
  return region == options_.regions.end() ? "" : region->second;
}

std::size_t BackendPool::ConnectionShare(const Backend& backend) const {
  const double share = kConnectionShare * backend.service->maximum_connections /
                       static_cast<double>(routers_);
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool BackendPool::IsEligible(const Backend& backend,
                             const BackendCriteria& criteria) {
  return criteria.home_regions.Allows(backend.region) &&
         std::ranges::find(criteria.tried, backend.info.id) ==
             criteria.tried.end();
}

bool BackendPool::IsColdLimited(const Backend& backend, MonotonicTime now) {
  const bool cold = backend.info.cold || now < backend.assumed_cold_until;
  return cold && backend.service->cold_requests_per_second > 0;
}

bool BackendPool::CanTakeAttempt(const Backend& backend,
                                 MonotonicTime now) const {
  if (backend.retired || now < backend.backoff_until ||
      backend.in_flight.size() >=
          backend.connections.Get(ConnectionShare(backend))) {
    return false;
  }
  if (IsColdLimited(backend, now) &&
      !backend.cold_allowance.MaySend(backend.cold_share, now)) {
    return false;
  }
  // After failures, the pool allows one attempt at a time, which tests whether
  // the backend has recovered.
  return backend.failures == 0 || backend.in_flight.empty();
}

bool BackendPool::IsHealthy(const Backend& backend, MonotonicTime now) {
  return now >= backend.ejected_until;
}

bool BackendPool::IsBusy(const Backend& backend, MonotonicTime now) {
  if (backend.retired || backend.failures >= kDownAfterFailures ||
      backend.backoff_until > now + kMaximumShedBackoff) {
    return false;
  }
  if (IsColdLimited(backend, now) && backend.cold_share.requests == 0) {
    return false;
  }
  const Duration unresponsive_after =
      std::max(kUnresponsiveAfter,
               MedianLatency(backend, now) * kUnresponsiveAfterMedians);
  return std::ranges::all_of(backend.in_flight, [&](const auto& attempt) {
    return now - attempt.second <= unresponsive_after;
  });
}

Duration BackendPool::MedianLatency(const Backend& backend, MonotonicTime now) {
  const auto typical = backend.service->typical_latency.Get();
  return backend.latency.Median(now, typical.value_or(kInitialLatency));
}

Duration BackendPool::ExpectedLatency(const Backend& backend,
                                      MonotonicTime now) {
  Duration expected = MedianLatency(backend, now);
  for (const auto& [attempt, sent] : backend.in_flight) {
    // An attempt in flight for longer than expected shows that the backend is
    // slow or paused.
    expected = std::max(expected, Duration(now - sent));
  }
  const auto queue = static_cast<double>(backend.in_flight.size()) /
                     std::max(1U, backend.info.slots);
  const Duration connecting = backend.idle_connections.IsAnyOpen(now)
                                  ? Duration(0)
                                  : kNewConnectionCost;
  return Duration(static_cast<Duration::rep>(
             static_cast<double>(expected.count()) * (1 + queue))) +
         backend.locality_penalty + connecting;
}

double BackendPool::ExpectedFailureShare(const Backend& backend,
                                         MonotonicTime now) const {
  const double own = backend.failure_rate.Get(now);
  if (shared_failures_.size() == 0 ||
      backend.failure_rate.DecayedAttempts(now) >= kMinimumOwnAttempts) {
    return own;
  }
  const double reported = shared_failures_.SuspicionOf(backend.hash, now);
  return std::max(own, std::min(reported, kMaximumReportedShare));
}

Duration BackendPool::FailureCost(const Backend& backend,
                                  Duration failed_attempt,
                                  MonotonicTime now) const {
  const double failing = ExpectedFailureShare(backend, now);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(failed_attempt.count()) * failing / (1 - failing)));
}

bool BackendPool::WantsCanary(const Service& service,
                              const BackendCriteria& criteria) {
  return service.rollout != 0 && criteria.tried.empty() &&
         service.canary_allowance.MaySend();
}

const BackendPool::Backend* BackendPool::Choose(const BackendCriteria& criteria,
                                                MonotonicTime now) {
  const auto found = services_.find(criteria.service);
  if (found == services_.end()) {
    return nullptr;
  }
  Service& service = found->second;
  if (WantsCanary(service, criteria)) {
    const Backend* canary =
        ChooseAmong(service, criteria, /*canary=*/true, now);
    if (canary != nullptr) {
      return canary;
    }
  }
  const Backend* other = ChooseAmong(service, criteria, /*canary=*/false, now);
  return other == nullptr && service.CanariesGetAll()
             ? ChooseAmong(service, criteria, /*canary=*/true, now)
             : other;
}

const BackendPool::Backend* BackendPool::ChooseAmong(
    Service& service, const BackendCriteria& criteria, bool canary,
    MonotonicTime now) {
  const std::vector<Backend*>& backends = service.backends;
  const double spent =
      1 - service.budget.RemainingShare(BudgetLimits(now), now);
  const Duration failed_attempt = std::max(
      kRetryCost, Duration(static_cast<Duration::rep>(
                      static_cast<double>(kLostRequestCost.count()) * spent)));
  const Backend* best = nullptr;
  Duration best_latency{};
  std::uint64_t ties = 0;
  // When all backends are ejected, ejection does not distinguish them, and all
  // are candidates.
  const bool any_healthy =
      std::ranges::any_of(backends, [&](const Backend* backend) {
        return backend->info.canary == canary &&
               IsEligible(*backend, criteria) &&
               CanTakeAttempt(*backend, now) && IsHealthy(*backend, now);
      });
  for (const Backend* backend : backends) {
    if (backend->info.canary != canary || !IsEligible(*backend, criteria) ||
        !CanTakeAttempt(*backend, now) ||
        (any_healthy && !IsHealthy(*backend, now))) {
      continue;
    }
    const Duration latency = ExpectedLatency(*backend, now) +
                             FailureCost(*backend, failed_attempt, now);
    const bool tie = best != nullptr && latency == best_latency;
    // Backends with equal expected latency, including the failure cost, are
    // chosen with equal probability.
    if (best == nullptr || latency < best_latency ||
        (tie && random_() % ++ties == 0)) {
      ties = tie ? ties : 1;
      best = backend;
      best_latency = latency;
    }
  }
  return best;
}

Availability BackendPool::AvailabilityOf(const BackendCriteria& criteria,
                                         MonotonicTime now) const {
  const auto found = services_.find(criteria.service);
  if (found == services_.end()) {
    return Availability::kNone;
  }
  auto availability = Availability::kNone;
  const Service& service = found->second;
  const bool canaries =
      WantsCanary(service, criteria) || service.CanariesGetAll();
  for (const Backend* backend : service.backends) {
    if (!IsEligible(*backend, criteria) ||
        (backend->info.canary && !canaries)) {
      continue;
    }
    if (CanTakeAttempt(*backend, now)) {
      return Availability::kUsable;
    }
    if (IsBusy(*backend, now)) {
      availability = Availability::kBusy;
    }
  }
  return availability;
}

void BackendPool::OnSent(const std::string& id, AttemptId attempt,
                         MonotonicTime now) {
  const auto backend = backends_.find(id);
  if (backend == backends_.end()) {
    return;
  }
  backend->second.in_flight[attempt] = now;
  retired_in_flight_ += backend->second.retired ? 1 : 0;
  backend->second.idle_connections.OnSent(now);
  if (IsColdLimited(backend->second, now)) {
    backend->second.cold_allowance.OnSent(backend->second.cold_share, now);
  }
  if (backend->second.info.canary) {
    backend->second.service->canary_allowance.OnSent();
  }
}

Duration BackendPool::NextBackoff(Backend& backend, Duration initial,
                                  Duration maximum) {
  const std::uint32_t doublings = std::min(backend.failures, kMaximumDoublings);
  ++backend.failures;
  return std::min(maximum, initial * (1 << doublings));
}

void BackendPool::OnAnswered(Backend& backend, MonotonicTime sent,
                             MonotonicTime now) const {
  const Duration latency =
      std::max(Duration(0), Duration(now - sent) - backend.locality_penalty);
  backend.failures = 0;
  backend.connections.OnAnswered(ConnectionShare(backend));
  backend.latency.Record(latency, sent, now);
  backend.service->typical_latency.Record(latency);
}

void BackendPool::OnEnded(const std::string& id, AttemptId attempt,
                          AttemptResult result, MonotonicTime now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  Backend& backend = found->second;
  const auto in_flight = backend.in_flight.find(attempt);
  if (in_flight == backend.in_flight.end()) {
    return;
  }
  const MonotonicTime sent = in_flight->second;
  const Duration elapsed = now - sent;
  backend.in_flight.erase(in_flight);
  retired_in_flight_ -= backend.retired ? 1 : 0;
  if (result != AttemptResult::kCancelled) {
    backend.failure_rate.Record(result != AttemptResult::kAnswered, now);
  }
  LogObservation(backend, result, now);
  switch (result) {
    case AttemptResult::kAnswered:
      OnAnswered(backend, sent, now);
      backend.idle_connections.OnAnswered(now);
      break;
    case AttemptResult::kCancelled:
      // The latency of the answer would have been longer than `elapsed`.
      if (elapsed > MedianLatency(backend, now)) {
        backend.latency.Record(elapsed, sent, now);
      }
      break;
    case AttemptResult::kShed:
      backend.backoff_until =
          now + NextBackoff(backend, kInitialShedBackoff, kMaximumShedBackoff);
      break;
    case AttemptResult::kRefused:
    case AttemptResult::kReset:
      backend.connections.OnRefused();
      backend.backoff_until = now + NextBackoff(backend, kInitialRefusalBackoff,
                                                kMaximumRefusalBackoff);
      break;
    case AttemptResult::kWrongBackend:
      backend.backoff_until =
          now + NextBackoff(backend, kMisplacedBackoff, kMisplacedBackoff);
      break;
    case AttemptResult::kFailed:
    case AttemptResult::kUnsent:
    case AttemptResult::kIncompleteAnswer:
      backend.ejected_until =
          now + NextBackoff(backend, kInitialEjection, kMaximumEjection);
      break;
  }
}

void BackendPool::LogObservation(const Backend& backend, AttemptResult result,
                                 MonotonicTime now) {
  if (!options_.shares_observations) {
    return;
  }
  switch (result) {
    case AttemptResult::kAnswered:
      if (shared_failures_.HasFailures(backend.hash)) {
        observation_log_.OnAnswered(backend.hash, now);
      }
      break;
    case AttemptResult::kShed:
    case AttemptResult::kFailed:
    case AttemptResult::kUnsent:
    case AttemptResult::kIncompleteAnswer:
      observation_log_.OnFailed(backend.hash, now);
      break;
    case AttemptResult::kWrongBackend:
    case AttemptResult::kRefused:
    case AttemptResult::kReset:
    case AttemptResult::kCancelled:
      // These outcomes concern the discovery list or the connections of this
      // router, or say nothing about the backend, so other routers do not need
      // them.
      break;
  }
}

void BackendPool::OnObservations(
    const observation::BackendObservations& observations, MonotonicTime now) {
  if (!options_.shares_observations) {
    return;
  }
  for (const observation::BackendObservation& observation : observations) {
    shared_failures_.Add(observation, now);
  }
}

void BackendPool::CountForRollout(const std::string& route,
                                  const std::string& id,
                                  const AttemptOutcome& outcome) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  const Backend& backend = found->second;
  if (!answer_tally_.IsCounted(backend.info.service)) {
    return;
  }
  rollout::AttemptObservation observation;
  switch (outcome.result) {
    case AttemptResult::kFailed:
    case AttemptResult::kReset:
    case AttemptResult::kIncompleteAnswer:
      observation.failed = true;
      break;
    case AttemptResult::kAnswered:
    case AttemptResult::kCancelled:
      // An abandoned attempt would have taken longer than `outcome.elapsed`.
      observation.latency = outcome.elapsed;
      observation.timed =
          !backend.info.cold && backend.locality_penalty < kOtherRegionPenalty;
      break;
    case AttemptResult::kShed:
    case AttemptResult::kWrongBackend:
    case AttemptResult::kUnsent:
    case AttemptResult::kRefused:
      // The backend did not run the request.
      return;
  }
  answer_tally_.Count({.service = backend.info.service,
                       .route = route,
                       .canary = backend.info.canary},
                      observation);
}

bool BackendPool::IsShareExpired(const std::string& service,
                                 MonotonicTime now) const {
  const auto found = services_.find(service);
  return found != services_.end() &&
         found->second.canary_allowance.IsLeaseExpired(now);
}

void BackendPool::OnSharesRenewed(
    const std::vector<rollout::RolloutNumber>& rollouts, MonotonicTime until) {
  for (auto& [name, service] : services_) {
    if (service.rollout != 0 &&
        std::ranges::find(rollouts, service.rollout) != rollouts.end()) {
      service.canary_allowance.Renew(until);
    }
  }
}

void BackendPool::OnNamedRequest(const std::string& service, bool success) {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return;
  }
  (success ? found->second.names_requests
           : found->second.names_requests_in_failures) = true;
}

void BackendPool::OnFirstRequest(const std::string& service,
                                 MonotonicTime now) {
  Service& known = services_[service];
  known.budget.OnRequest(BudgetLimits(now), now);
  known.canary_allowance.DrawRequest(random_(), now);
}

bool BackendPool::TryTakeExtraAttempt(const std::string& service,
                                      MonotonicTime now) {
  return services_[service].budget.TryTakeAttempt(BudgetLimits(now), now);
}

}  // namespace juniperway::forwarding
