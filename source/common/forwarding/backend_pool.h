// BackendPool holds the backends that a router may use and what the router has
// observed of each, and chooses the backend for the next attempt. RequestRun
// objects of the router share one pool; the router owns it. The pool does no
// input or output, and callers pass the current time.
//
// The pool ranks backends by what this router observes: the latency of their
// answers, how long their oldest attempt has been in flight, and how their
// latest attempts ended. Where this router has few recent attempts at a
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
  // Home regions of the route. Backends of other regions must not get the
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
  // Assumed latency of a service none of whose backends has answered yet.
  static constexpr Duration kInitialLatency = milliseconds(20);
  // How long a router keeps an unused connection open. Each backend bounds its
  // connections from all clients together, so an idle connection takes the
  // place of another one; a new connection costs a round trip and time of the
  // backend and the router. With 1000 routers each router gets a scatter
  // request every 17 s on average; 3 % of the intervals between two are longer
  // than this timeout, and 31 % are longer than 20 s.
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
    // Typical latency of all its backends, without their locality_penalty.
    TypicalLatency typical_latency;
    // Whether a backend of the service has echoed the request id in an answer.
    bool names_requests = false;
    // Bounds the hedges and retries of this router.
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
    // Added to the expected latency because the backend is in another zone or
    // region.
    Duration locality_penalty{};
    // Recent latency, without locality_penalty.
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
    // Region of its zone. Empty when the region is not known.
    std::string region;
    // True when the backend has left the discovery list, drains or is in an
    // evacuated zone. The pool then keeps it only for its attempts in flight;
    // otherwise it is in the backends of its service.
    bool retired = true;
    // Whether the latest applied view evacuates the zone of the backend.
    bool evacuated = false;
    // Before this time the backend counts as cold. Set when the evacuation of
    // its zone ends or its process starts again: the discovery list may not
    // show yet that it is cold.
    MonotonicTime assumed_cold_until = MonotonicTime::min();
    // Share of this router in the requests that the backend accepts while it is
    // cold, and the count of the requests sent to it.
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

  // Whether Choose would return a backend now, or is expected to soon.
  Availability AvailabilityOf(const BackendCriteria& criteria,
                              MonotonicTime now) const;

  // Record that an attempt was sent to a backend, and how it ended. Unknown
  // backends and attempts are ignored.
  void OnSent(const std::string& id, AttemptId attempt, MonotonicTime now);
  void OnEnded(const std::string& id, AttemptId attempt, AttemptResult result,
               MonotonicTime now);

  // Number of attempts in flight at backends that get no new requests.
  std::size_t retired_in_flight() const { return retired_in_flight_; }

  // Counts the outcome of an attempt for the rollout of its service, if there
  // is one.
  void CountForRollout(const std::string& route, const std::string& id,
                       const AttemptOutcome& outcome);
  // Outcomes that CountForRollout has counted.
  rollout::AnswerTally& answer_tally() { return answer_tally_; }
  // Whether the canaries of the service get only the base share because no
  // leader has renewed the share of the rollout.
  bool IsShareExpired(const std::string& service, MonotonicTime now) const;
  // Records that the leader renewed the shares of these rollouts until this
  // time (canary_allowance.h).
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime until);

  // Observations that this router has not yet reported to the other routers.
  observation::ObservationLog& observation_log() { return observation_log_; }
  // Adds observations of other routers.
  void OnObservations(const observation::BackendObservations& observations,
                      MonotonicTime now);
  // Number of backends with recent failures that other routers reported.
  std::size_t shared_failures() const { return shared_failures_.size(); }

  // Records that a backend of the service has echoed the request id in an
  // answer.
  void OnNamedRequest(const std::string& service);

  // Budget of a service for hedges and retries. OnFirstRequest counts a request
  // to the service, before its first attempt. TryTakeExtraAttempt returns false
  // when the budget allows no extra attempt now, otherwise counts one.
  void OnFirstRequest(const std::string& service, MonotonicTime now);
  bool TryTakeExtraAttempt(const std::string& service, MonotonicTime now);

  // Number of backends of all services that may get requests.
  std::size_t live_backends() const { return live_backends_; }
  // Number of routers that share the connections of the backends.
  std::size_t routers() const { return routers_; }
  // Number of backends that Update has processed since the start because a view
  // differed from the one before.
  std::uint64_t backends_processed() const { return backends_processed_; }

 private:
  using Backends = std::map<std::string, Backend>;

  // Sets the number of routers. A decrease applies to the budgets after one
  // more window.
  void SetRouterCount(std::size_t routers, MonotonicTime now);
  // Limits of the retry budgets for the current number of routers.
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
  // under the same id: they say nothing about the new process. The attempts in
  // flight at the old process bring no answer and do not count against the new
  // one.
  void ResetObservations(Backend& backend);
  void UpdateServices(const session::FleetView& view);
  // Updates the share of this router in the request rate of cold backends.
  void UpdateColdShares(const session::FleetView& view);
  // Applies the current rollouts.
  void UpdateRollouts(const session::FleetView& view);
  // Erases services that neither the route table nor a backend names.
  void EraseUnusedServices();

  // Whether the rules allow this request at the backend, now or later. Every
  // choice of a backend calls this.
  static bool IsEligible(const Backend& backend,
                         const BackendCriteria& criteria);
  // Whether the backend is cold and its service limits requests to cold
  // backends.
  static bool IsColdLimited(const Backend& backend, MonotonicTime now);
  // Whether the attempt should go to a canary: only the first attempt of a
  // request, within the canary allowance. Hedges and retries go to backends of
  // the baseline version, which do not share the faults of the canaries, as
  // long as one is available.
  static bool WantsCanary(const Service& service,
                          const BackendCriteria& criteria);
  // Returns the backend with the lowest expected cost among the canaries or
  // among the others.
  const Backend* ChooseAmong(Service& service, const BackendCriteria& criteria,
                             bool canary, MonotonicTime now);
  // Whether the backend may get an attempt now. It may still be ejected.
  bool CanTakeAttempt(const Backend& backend, MonotonicTime now) const;
  static bool IsHealthy(const Backend& backend, MonotonicTime now);
  // Whether the backend cannot get an attempt now but is expected to soon: only
  // attempts in flight or a short backoff prevent it.
  static bool IsBusy(const Backend& backend, MonotonicTime now);
  // The share of this router in the connections that the backend accepts.
  std::size_t ConnectionShare(const Backend& backend) const;
  // The median of its recent latencies, or the typical latency of its service
  // where the backend has not answered recently.
  static Duration MedianLatency(const Backend& backend, MonotonicTime now);
  static Duration ExpectedLatency(const Backend& backend, MonotonicTime now);
  // What the recent failures of the backend add to its expected latency.
  // @param failed_attempt cost of one failed attempt now.
  Duration FailureCost(const Backend& backend, Duration failed_attempt,
                       MonotonicTime now) const;
  // The share of attempts at the backend that are expected to fail, from own
  // and reported failures.
  double ExpectedFailureShare(const Backend& backend, MonotonicTime now) const;
  // Logs the outcome of an attempt for the other routers, if it is useful to
  // them.
  void LogObservation(const Backend& backend, AttemptResult result,
                      MonotonicTime now);
  Duration LocalityPenalty(const std::string& zone) const;
  std::string RegionOf(const std::string& zone) const;
  void OnAnswered(Backend& backend, MonotonicTime sent,
                  MonotonicTime now) const;
  // Counts a failure of the backend and returns the backoff that follows it.
  static Duration NextBackoff(Backend& backend, Duration initial,
                              Duration maximum);

  PoolOptions options_;
  std::mt19937_64 random_;
  // Number of routers that share the connections of backends.
  std::size_t routers_ = 1;
  // When the number of routers falls, the old number still divides the retry
  // budget until this time. max() when no decrease is pending.
  MonotonicTime budget_routers_decrease_at_ = MonotonicTime::max();
  Backends backends_;
  std::map<std::string, Service> services_;
  std::size_t live_backends_ = 0;
  // Ids of backends that have left the list and still have attempts in flight.
  std::set<std::string> removed_;
  // The parts of the previous view, for comparison with the next one.
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
