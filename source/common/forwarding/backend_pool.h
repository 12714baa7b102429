// The back ends that a router may use, what it knows of each, and which one
// gets the next request. Pure: time is an argument.
//
// A back end is judged by what this router sees: how long its answers take, how
// long its oldest request has been waiting, and how its last attempts ended.
// Where it has seen next to nothing of late, failures that other routers tell
// of count in their place.
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
#include "common/forwarding/extra_budget.h"
#include "common/forwarding/failure_rate.h"
#include "common/forwarding/recent_latency.h"
#include "common/forwarding/usual_latency.h"
#include "common/forwarding/warm_connections.h"
#include "common/observation/observation_log.h"
#include "common/observation/shared_failures.h"
#include "common/rollout/answer_tally.h"
#include "common/rollout/canary_allowance.h"
#include "common/routes/home_regions.h"
#include "common/session/fleet_view.h"

namespace juniperway::forwarding {

// How one attempt at a back end ended.
enum class AttemptResult {
  kAnswered,   // A whole answer of this request that counts as success.
  kFailed,     // A whole answer of this request that is a failure.
  kShed,       // The back end says that it did not run the request.
  kMisplaced,  // Another back end has the address; not run.
  kUnsent,     // No connection came up: nothing left this process.
  kRefused,    // A new connection was refused: nothing left this process.
  kReset,      // A new connection was reset before an answer: may have run.
  kBroken,     // Sent, but no whole answer of this request came: may have run.
  kCancelled,  // Given up by the router.
};

// Whether a service has a back end for one more request.
enum class Availability {
  kNone,    // No back end, or none that is expected to take work soon.
  kBusy,    // Every back end is in use; one is expected to become free soon.
  kUsable,  // A back end can be chosen now.
};

// What a request needs of a back end.
struct BackendNeed {
  const std::string& service;
  // Of its route: other regions must not get it.
  const routes::HomeRegions& home_regions;
  // Ids of back ends that were tried already.
  const std::vector<std::string>& tried;
};

// How an attempt ended, and how long it took.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::kCancelled;
  Duration elapsed{};
};

struct PoolOptions {
  // This router, as the fleet's members name it.
  std::string router{};
  std::string zone;
  // Zone to region; a zone that is missing counts as another region's.
  std::map<std::string, std::string> regions;
  ExtraBudgetLimits extra;
  // Tells other routers of failures, and goes by what they tell.
  bool shares_observations = true;
  std::uint64_t seed = 1;
};

using AttemptId = std::uint64_t;

class BackendPool {
 public:
  // Of a service none of whose back ends has answered yet.
  static constexpr Duration kInitialLatency = milliseconds(20);
  // How long a router keeps a connection that it does not use. Back ends bound
  // the connections that they take from all callers together, so one that is
  // kept for a rare use takes another's place; a new one costs a round trip and
  // time of its back end and of the router. Where a thousand routers share the
  // requests, one sees a scatter in 17 s: of the gaps between two 3 % are
  // longer than this, 31 % longer than 20 s. Mean worth of three days with 66
  // routers, which use each connection more often, 0.731 at 2 s, 0.744 at 20 s
  // (simulated, docs/DECIDING.md).
  static constexpr seconds kIdleConnectionTime{60};

  struct Backend;

  // What is known of one service.
  struct Service {
    // Those that may get work, by id; owned by the pool.
    std::vector<Backend*> backends;
    // All that are known of it, also those that get no work.
    std::size_t known_backends = 0;
    // From all callers, at each back end; 0: it is not in the route table.
    std::uint32_t maximum_connections = 0;
    // See routes::RoutedService.
    Duration warmup{};
    double cold_requests_per_second = 0;
    UsualLatency usual_latency;
    // A back end has named the request that it answered.
    bool names_requests = false;
    ExtraBudget budget;
    // Of the roll-out that is under way; 0: there is none.
    rollout::RolloutNumber rollout = 0;
    rollout::CanaryAllowance canary_allowance;

    // Canaries are there for what the other version cannot take.
    bool CanariesGetMost() const {
      return canary_allowance.share() >= rollout::kFullPermille;
    }
  };

  struct Backend {
    session::DiscoveredBackend info;
    // Of its incarnation.
    observation::BackendHash hash = 0;
    // Its service, owned by the pool.
    Service* service = nullptr;
    // Added to its expected latency: it lies in another zone or region.
    Duration distance{};
    // Time to an answer, without the distance.
    RecentLatency latency;
    // Of its recent attempts.
    FailureRate failure_rate;
    // Attempts under way, and when they were sent.
    std::map<AttemptId, MonotonicTime> under_way;
    // How many of them there may be, within this router's share.
    ConnectionAllowance connections;
    // Of this router, open and unused.
    WarmConnections warm{kIdleConnectionTime};
    // Attempts that failed one after the other.
    std::uint32_t failures = 0;
    // After failures: gets nothing before this while another one can be had.
    MonotonicTime ejected_until = MonotonicTime::min();
    // It shed a request, refused a connection, or its address is another's:
    // gets nothing before this.
    MonotonicTime paused_until = MonotonicTime::min();
    // Of its zone; empty: not known.
    std::string region;
    // Gone from the list, leaving or in an evacuated zone, and only kept for
    // what is under way; else it is among its service's back ends.
    bool retired = true;
    // Its zone is evacuated.
    bool evacuated = false;
    // Its zone's evacuation has ended: it may have turned cold before, and the
    // list lags.
    MonotonicTime taken_for_cold_until = MonotonicTime::min();
    ColdShare cold_share;
    ColdAllowance cold_allowance;
  };

  explicit BackendPool(PoolOptions options);

  // Takes in the newest view. Works out only what differs from the view before:
  // a fleet of a thousand routers has several views a second, each of ten
  // thousand back ends.
  // @param routers that share back ends' connections and the budget.
  void Update(const session::FleetView& view, std::size_t routers,
              MonotonicTime now);

  // @return the back end to use, or null when none may be used now.
  const Backend* Choose(const BackendNeed& need, MonotonicTime now);

  // Whether Choose could give one now, or is expected to soon.
  Availability AvailabilityOf(const BackendNeed& need, MonotonicTime now) const;

  void OnSent(const std::string& id, AttemptId attempt, MonotonicTime now);
  void OnEnded(const std::string& id, AttemptId attempt, AttemptResult result,
               MonotonicTime now);

  // Attempts at back ends that get no new work.
  std::size_t retired_under_way() const { return retired_under_way_; }

  // How an attempt at a back end ended, for the service's roll-out, if any.
  void CountForRollout(const std::string& route, const std::string& id,
                       const AttemptOutcome& outcome);
  rollout::AnswerTally& answer_tally() { return answer_tally_; }
  // The service's canaries get the base share only, since no leader renews the
  // share of its roll-out.
  bool IsShareLapsed(const std::string& service, MonotonicTime now) const;
  // The leader renewed the shares of these roll-outs (canary_allowance.h).
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime until);

  // What this router has to tell the others.
  observation::ObservationLog& observation_log() { return observation_log_; }
  // What others tell.
  void OnObservations(const observation::BackendObservations& observations,
                      MonotonicTime now);
  // Back ends that others had failures at of late.
  std::size_t shared_failures() const { return shared_failures_.size(); }

  // A back end of the service has named the request that it answered.
  void OnNamedRequest(const std::string& service);

  // Budget of a service for hedges and retries.
  void OnFirstRequest(const std::string& service, MonotonicTime now);
  bool TakeExtra(const std::string& service, MonotonicTime now);

  // Back ends that may get work, of all services.
  std::size_t live_backends() const { return live_backends_; }
  std::size_t routers() const { return routers_; }
  // Back ends that were looked at since the start because a view differed.
  std::uint64_t backends_worked_out() const { return backends_worked_out_; }

 private:
  using Backends = std::map<std::string, Backend>;

  void NoteRouters(std::size_t routers, MonotonicTime now);
  // Of the budgets, by the routers that share them now.
  const ExtraBudgetLimits& ExtraLimits(MonotonicTime now);
  void UpdateBackends(const session::FleetView& view, MonotonicTime now);
  // One that is new, or has changed.
  void TakeBackend(const std::string& id,
                   const session::DiscoveredBackend& info, MonotonicTime now);
  // One that is not on the list any more.
  void DropBackend(const std::string& id);
  // Forgets those that are gone and that nothing is under way at any more.
  void ForgetDeparted();
  void SetService(Backend& backend, const std::string& name);
  void SetEvacuated(Backend& backend, MonotonicTime now);
  // Puts it among its service's back ends, or takes it out.
  void SetRetired(Backend& backend, bool retired);
  // Of a back end that has started again under its id: what was seen of the
  // process before says nothing about it. Attempts that are under way there
  // bring no answer, and do not count against the new process.
  void ForgetProcess(Backend& backend);
  void UpdateServices(const session::FleetView& view);
  // Shares of what cold back ends take.
  void UpdateColdShares(const session::FleetView& view);
  // Takes in the roll-outs that are under way.
  void UpdateRollouts(const session::FleetView& view);
  // Forgets services that neither the route table nor a back end names.
  void ForgetServices();

  // Whether rules let this request go there, now or later. Every choice of a
  // back end asks here.
  static bool MayServe(const Backend& backend, const BackendNeed& need);
  // Whether it is cold, and its service bounds what cold ones get.
  static bool IsColdLimited(const Backend& backend, MonotonicTime now);
  // Whether a canary is to be asked: for a request's first attempt, as far as
  // the allowance reaches. Hedges and retries go to the others, which do not
  // share the canaries' faults, as long as there are others.
  static bool WantsCanary(const Service& service, const BackendNeed& need);
  // The best one of the canaries, or of the others.
  const Backend* ChooseAmong(Service& service, const BackendNeed& need,
                             bool canary, MonotonicTime now);
  // Whether it may be used at all, well or not.
  bool IsOpen(const Backend& backend, MonotonicTime now) const;
  static bool IsWell(const Backend& backend, MonotonicTime now);
  // Not open, but only because of what is under way or a short pause.
  static bool IsBusy(const Backend& backend, MonotonicTime now);
  // This router's share of the connections that the back end takes.
  std::size_t ConnectionShare(const Backend& backend) const;
  // The median of its answers, or of its service's where it has not answered.
  static Duration MedianLatency(const Backend& backend, MonotonicTime now);
  static Duration ExpectedLatency(const Backend& backend, MonotonicTime now);
  // What its recent failures add to its expected latency.
  // @param failed_attempt what one costs now.
  Duration FailureCost(const Backend& backend, Duration failed_attempt,
                       MonotonicTime now) const;
  // The share of attempts at it that fail, as far as this router knows.
  double FailingShare(const Backend& backend, MonotonicTime now) const;
  // Tells the other routers how an attempt ended, where that is of use to them.
  void NoteObservation(const Backend& backend, AttemptResult result,
                       MonotonicTime now);
  Duration DistanceOf(const std::string& zone) const;
  std::string RegionOf(const std::string& zone) const;
  void OnAnswered(Backend& backend, MonotonicTime sent,
                  MonotonicTime now) const;
  // How long it is left alone after its latest failure; counts the failure.
  static Duration NextPause(Backend& backend, Duration first, Duration longest);

  PoolOptions options_;
  std::mt19937_64 random_;
  // That share back ends' connections.
  std::size_t routers_ = 1;
  // Some are gone: until then as many share the budget as before; max(): none.
  MonotonicTime fewer_routers_from_ = MonotonicTime::max();
  Backends backends_;
  std::map<std::string, Service> services_;
  std::size_t live_backends_ = 0;
  // Ids of back ends that are gone, with something under way.
  std::set<std::string> departed_;
  // What the pool was worked out from.
  decltype(session::FleetView::discovered) known_backends_;
  decltype(session::FleetView::evacuations) known_evacuations_;
  routes::RouteTablePointer known_table_;
  std::uint64_t backends_worked_out_ = 0;
  std::size_t retired_under_way_ = 0;
  rollout::AnswerTally answer_tally_;
  observation::ObservationLog observation_log_;
  observation::SharedFailures shared_failures_;
};

}  // namespace juniperway::forwarding
