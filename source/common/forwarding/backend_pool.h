// BackendPool holds the backends that a router may use and what the router has
// observed of each, and chooses the backend for the next attempt. RequestRun
// objects of the router share one pool; the router owns it. The pool does no
// input or output, and callers pass the current time.
//
// The pool ranks backends by what this router observes: the latency of their
// answers, how long their oldest attempt has been in flight, and how their
// latest attempts ended. If this router has made few recent attempts at a
// backend, the pool uses the failures that other routers report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/base/locality.h"
#include "common/base/time.h"
#include "common/forwarding/cold_allowance.h"
#include "common/forwarding/connection_allowance.h"
#include "common/forwarding/extra_attempt_budget.h"
#include "common/forwarding/failure_rate.h"
#include "common/forwarding/idle_connections.h"
#include "common/forwarding/recent_latency.h"
#include "common/forwarding/typical_latency.h"
#include "common/observation/observation_log.h"
#include "common/observation/shared_failures.h"
#include "common/rollout/answer_tally.h"
#include "common/rollout/canary_allowance.h"
#include "common/routes/home_regions.h"
#include "common/session/fleet_view.h"

namespace juniperway::forwarding {

// How one attempt at a backend ended.
enum class AttemptResult {
  kAnswered,      // A complete answer to this request that counts as success.
  kFailed,        // A complete answer to this request that is a failure.
  kShed,          // The backend reports that it did not run the request.
  kWrongBackend,  // Another backend has the address; the request did not run.
  kUnsent,        // No connection was made: nothing was sent.
  kRefused,       // A new connection was refused: nothing was sent.
  kReset,         // A new connection was reset before an answer: may have run.
  kIncompleteAnswer,  // Sent, but no complete answer came: may have run.
  kCancelled,         // The router abandoned the attempt.
};

// Whether a service has a backend for one more request.
enum class Availability {
  kNone,    // No backend can take the request, and none is expected to soon.
  kBusy,    // No backend can take the request now; one is expected to soon.
  kUsable,  // A backend can be chosen now.
};

// Which backends an attempt may use.
struct BackendCriteria {
  const std::string& service;
  // Home regions of the route. Backends in other regions must not get the
  // request.
  const routes::HomeRegions& home_regions;
  // Ids of the backends that the request was already sent to.
  const std::vector<std::string>& tried;
};

// How an attempt ended, and how long it took.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCancelled;
  Duration elapsed{};
};

// Settings of a BackendPool.
struct PoolOptions {
  // Name of this router in the member list of the fleet view.
  std::string router{};
  // Zone of this router.
  std::string zone;
  // Maps zones to regions. A zone that is missing here counts as outside the
  // region of this router.
  std::map<std::string, std::string> regions;
  // Limits of the extra attempts, the same for each service.
  ExtraAttemptLimits extra;
  // Whether this router reports the backend failures that it observes to other
  // routers, and uses the failures that they report.
  bool shares_observations = true;
  // Seed of the random choices.
  std::uint64_t seed = 1;
};

// Identifies an attempt within one router.
using AttemptId = std::uint64_t;

// Chooses backends for the attempts of one router. Not thread-safe.
class BackendPool {
 public:
  // Latency that the pool assumes for a service while none of its backends has
  // answered.
  static constexpr Duration kInitialLatency = milliseconds(20);
  // How long a router keeps an unused connection open. Each backend bounds its
  // connections from all clients together, so an idle connection of one client
  // may keep another client from opening a connection. A new connection costs a
  // round trip and processing time at the backend and the router. With 1000
  // routers each router gets a scatter request every 17 s on average; 3 % of
  // the intervals between two are longer than this timeout, and 31 % are longer
  // than 20 s.
  static constexpr seconds kIdleConnectionTimeout{60};

  struct Backend;

  // State of one service.
  struct Service {
    // Backends that may get requests, sorted by id. The pool owns them.
    std::vector<Backend*> backends;
    // Number of all backends of the service, including those that get no
    // requests.
    std::size_t discovered_backends = 0;
    // Connections that each backend accepts from all clients together. 0 when
    // the service is not in the route table.
    std::uint32_t maximum_connections = 0;
    // See routes::RoutedService for the two warm-up settings.
    Duration warmup{};
    double cold_requests_per_second = 0;
    // Typical latency of all backends of the service, without their
    // locality_penalty.
    TypicalLatency typical_latency;
    // Whether a backend of the service has echoed the request id in a
    // successful answer, and in another one.
    bool names_requests = false;
    bool names_requests_in_failures = false;
    // Bounds the hedges and retries that this router sends to the service.
    ExtraAttemptBudget budget;
    // Number of the current rollout. 0 when the service has none.
    rollout::RolloutNumber rollout = 0;
    // Which requests may go to canaries.
    rollout::CanaryAllowance canary_allowance;

    // Whether canaries get all requests. Backends of the baseline version then
    // only get requests that canaries cannot take.
    bool CanariesGetAll() const {
      return canary_allowance.share() >= rollout::kFullPermille;
    }
  };

  // State of one backend.
  struct Backend {
    // The entry of the backend in the discovery list.
    session::DiscoveredBackend info;
    // Identifies the incarnation of the backend in observations.
    observation::BackendHash hash = 0;
    // The service of the backend. The pool owns it.
    Service* service = nullptr;
    // The pool adds this to the expected latency of a backend in another zone
    // or region.
    Duration locality_penalty{};
    // Recent latencies of the backend, without locality_penalty.
    RecentLatency latency;
    // Failure rate of the recent attempts of this router.
    FailureRate failure_rate;
    // Attempts in flight, with the time when each was sent.
    std::map<AttemptId, MonotonicTime> in_flight;
    // Bounds the attempts in flight, within the connection share of this
    // router.
    ConnectionAllowance connections;
    // Open and unused connections of this router to the backend.
    IdleConnections idle_connections{kIdleConnectionTimeout};
    // Number of consecutive failed attempts.
    std::uint32_t failures = 0;
    // After failures, the backend gets no attempt before this time while a
    // backend that is not ejected is available.
    MonotonicTime ejected_until = MonotonicTime::min();
    // The backend gets no attempt before this time because it shed a request,
    // refused a connection, or its address belongs to another backend.
    MonotonicTime backoff_until = MonotonicTime::min();
    // Region of the backend's zone. Empty when the region is not known.
    std::string region;
    // True when the backend has left the discovery list, drains or is in an
    // evacuated zone. The pool then keeps the backend only for its attempts in
    // flight. A backend that is not retired is in Service::backends.
    bool retired = true;
    // Whether the latest applied view evacuates the zone of the backend.
    bool evacuated = false;
    // Before this time the backend counts as cold. The pool sets this when the
    // evacuation of the zone ends or the process of the backend starts again,
    // because the discovery list may not show yet that the backend is cold.
    MonotonicTime assumed_cold_until = MonotonicTime::min();
    // This router's share of the requests that the backend accepts while it is
    // cold, and the count of the requests that this router sent to it.
    ColdShare cold_share;
    ColdAllowance cold_allowance;
  };

  explicit BackendPool(PoolOptions options);

  // Applies the newest view. Processes only the backends that differ from the
  // previous view: a fleet of 1000 routers has several views per second, each
  // of 10,000 backends. For services that limit requests to cold backends, each
  // call recomputes the cold shares of all their backends.
  // @param routers number of routers that share the connections of the backends
  //   and the retry budget.
  void Update(const session::FleetView& view, std::size_t routers,
              MonotonicTime now);

  // @return the backend to use, or null when none may be used now.
  const Backend* Choose(const BackendCriteria& criteria, MonotonicTime now);

  // Returns whether Choose would find a backend now, or is expected to find one
  // soon.
  Availability AvailabilityOf(const BackendCriteria& criteria,
                              MonotonicTime now) const;

  // Records that an attempt was sent to a backend (OnSent), and how it ended
  // (OnEnded). Both ignore unknown backends and attempts.
  void OnSent(const std::string& id, AttemptId attempt, MonotonicTime now);
  void OnEnded(const std::string& id, AttemptId attempt, AttemptResult result,
               MonotonicTime now);

  // Returns the number of attempts in flight at backends that get no new
  // requests.
  std::size_t retired_in_flight() const { return retired_in_flight_; }

  // Counts the outcome of an attempt for the rollout of its service, if there
  // is one.
  void CountForRollout(const std::string& route, const std::string& id,
                       const AttemptOutcome& outcome);
  // Returns the outcomes that CountForRollout has counted.
  rollout::AnswerTally& answer_tally() { return answer_tally_; }
  // Whether the canaries of the service get only the base share because no
  // leader has renewed the share of the rollout.
  bool IsShareExpired(const std::string& service, MonotonicTime now) const;
  // Records that the leader renewed the shares of these rollouts until this
  // time (canary_allowance.h).
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime until);

  // Returns the observations that this router has not yet reported to the other
  // routers.
  observation::ObservationLog& observation_log() { return observation_log_; }
  // Adds observations of other routers.
  void OnObservations(const observation::BackendObservations& observations,
                      MonotonicTime now);
  // Returns the number of backends with recent failures that other routers
  // reported.
  std::size_t shared_failures() const { return shared_failures_.size(); }

  // Records that a backend of the service has echoed the request id in an
  // answer.
  // @param success whether the answer was a successful one.
  void OnNamedRequest(const std::string& service, bool success);

  // These functions use the service's budget for hedges and retries.
  // OnFirstRequest counts a request to the service, before its first attempt.
  // TryTakeExtraAttempt returns false when the budget allows no extra attempt
  // now; otherwise it counts an extra attempt and returns true.
  void OnFirstRequest(const std::string& service, MonotonicTime now);
  bool TryTakeExtraAttempt(const std::string& service, MonotonicTime now);

  // Returns the number of backends of all services that may get requests.
  std::size_t live_backends() const { return live_backends_; }
  // Returns the number of routers that share the connections of the backends.
  std::size_t routers() const { return routers_; }
  // Returns how many backends Update has processed since the pool was created
  // because a view differed from the previous one.
  std::uint64_t backends_processed() const { return backends_processed_; }

 private:
  using Backends = std::map<std::string, Backend>;

  // Sets the number of routers. A decrease changes the retry budgets only after
  // one more window.
  void SetRouterCount(std::size_t routers, MonotonicTime now);
  // Returns the limits of the retry budgets for the current number of routers.
  const ExtraAttemptLimits& BudgetLimits(MonotonicTime now);
  void UpdateBackends(const session::FleetView& view, MonotonicTime now);
  // Adds a backend that is new, or updates one that has changed.
  void AddOrUpdateBackend(const std::string& id,
                          const session::DiscoveredBackend& info,
                          MonotonicTime now);
  // Removes a backend that is no longer on the discovery list.
  void RemoveBackend(const std::string& id);
  // Erases the removed backends that have no attempt in flight.
  void EraseRemovedBackends();
  void SetService(Backend& backend, const std::string& name);
  void SetEvacuated(Backend& backend, MonotonicTime now);
  // Moves the backend into or out of the backends of its service.
  void SetRetired(Backend& backend, bool retired);
  // Discards the observations of a backend whose process has started again
  // under the same id, because they do not apply to the new process. The old
  // process no longer answers its attempts in flight, and they do not count
  // against the new process.
  void ResetObservations(Backend& backend);
  void UpdateServices(const session::FleetView& view);
  // Updates this router's share of the request rate of cold backends.
  void UpdateColdShares(const session::FleetView& view);
  // Applies the rollouts of the view to the services and their canary
  // allowances.
  void UpdateRollouts(const session::FleetView& view);
  // Erases services that are not in the route table and have no backend.
  void EraseUnusedServices();

  // Whether the criteria allow this request at the backend, now or later. Every
  // code path that chooses a backend calls this.
  static bool IsEligible(const Backend& backend,
                         const BackendCriteria& criteria);
  // Whether the backend is cold and its service limits requests to cold
  // backends.
  static bool IsColdLimited(const Backend& backend, MonotonicTime now);
  // Whether the attempt should go to a canary. Only the first attempt of a
  // request may, and only within the canary allowance. Hedges and retries go to
  // backends of the baseline version, which do not share the faults of the
  // canaries, as long as one is available.
  static bool WantsCanary(const Service& service,
                          const BackendCriteria& criteria);
  // Returns the backend with the lowest expected cost among the canaries, or
  // among the backends that are not canaries.
  const Backend* ChooseAmong(Service& service, const BackendCriteria& criteria,
                             bool canary, MonotonicTime now);
  // Whether the backend may get an attempt now. It may still be ejected.
  bool CanTakeAttempt(const Backend& backend, MonotonicTime now) const;
  static bool IsHealthy(const Backend& backend, MonotonicTime now);
  // Whether the backend cannot get an attempt now but is expected to soon: only
  // attempts in flight or a short backoff prevent it.
  static bool IsBusy(const Backend& backend, MonotonicTime now);
  // Returns this router's share of the connections that the backend accepts, as
  // a number of connections.
  std::size_t ConnectionShare(const Backend& backend) const;
  // Returns the median of the backend's recent latencies, or the typical
  // latency of its service if the backend has not answered recently.
  static Duration MedianLatency(const Backend& backend, MonotonicTime now);
  static Duration ExpectedLatency(const Backend& backend, MonotonicTime now);
  // Returns the time that the recent failures of the backend add to its
  // expected latency.
  // @param failed_attempt cost of one failed attempt now.
  Duration FailureCost(const Backend& backend, Duration failed_attempt,
                       MonotonicTime now) const;
  // Returns the share of attempts at the backend that are expected to fail,
  // from the failures that this router observed and those that other routers
  // reported.
  double ExpectedFailureShare(const Backend& backend, MonotonicTime now) const;
  // Logs the outcome of an attempt for the other routers, if it is useful to
  // them.
  void LogObservation(const Backend& backend, AttemptResult result,
                      MonotonicTime now);
  Duration LocalityPenalty(const std::string& zone) const;
  std::string RegionOf(const std::string& zone) const;
  void OnAnswered(Backend& backend, MonotonicTime sent,
                  MonotonicTime now) const;
  // Counts a failure of the backend and returns the backoff or ejection time
  // that follows.
  static Duration NextBackoff(Backend& backend, Duration initial,
                              Duration maximum);

  PoolOptions options_;
  std::mt19937_64 random_;
  // Number of routers that share the connections of backends.
  std::size_t routers_ = 1;
  // After the number of routers has fallen, the retry budget is divided by the
  // old number until this time. max() when no decrease is pending.
  MonotonicTime budget_routers_decrease_at_ = MonotonicTime::max();
  Backends backends_;
  std::map<std::string, Service> services_;
  std::size_t live_backends_ = 0;
  // Ids of backends that have left the list and still have attempts in flight.
  std::set<std::string> removed_;
  // The parts of the previous view that Update compares with the next one.
  decltype(session::FleetView::discovered) applied_backends_;
  decltype(session::FleetView::evacuations) applied_evacuations_;
  routes::RouteTablePointer applied_table_;
  std::uint64_t backends_processed_ = 0;
  std::size_t retired_in_flight_ = 0;
  rollout::AnswerTally answer_tally_;
  observation::ObservationLog observation_log_;
  observation::SharedFailures shared_failures_;
};

}  // namespace juniperway::forwarding
