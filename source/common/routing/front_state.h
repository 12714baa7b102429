// State that all queries of one front share for their decisions.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "common/routing/admission_limit.h"
#include "common/routing/backend_states.h"
#include "common/routing/latency_tracker.h"
#include "common/routing/name_table.h"
#include "common/routing/owner_states.h"
#include "common/routing/replica_selector.h"
#include "common/routing/retry_budget.h"
#include "common/routing/routing_table.h"

namespace juniperway::routing {

// State that all queries of one service share.
struct ServiceState {
  LatencyTracker latency;
  RetryBudget budget;
  AdmissionLimit admission;
};

// Totals since the start, for metrics and tests.
struct FrontCounters {
  std::uint64_t first_subqueries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  // Number of subqueries sent again after a refusal that cost the backend no
  // work.
  std::uint64_t reroutes = 0;
  // Subqueries sent because a query restarted on a newer snapshot.
  std::uint64_t restarted_subqueries = 0;
  // Restarts of whole queries.
  std::uint64_t restarts = 0;
  // Hedges and retries not sent because the retry budget was empty.
  std::uint64_t budget_refusals = 0;
  // Queries refused because their service's admission limit was reached.
  std::uint64_t admission_refusals = 0;
  // Numbers of discarded results by reason; see ResultVerdict.
  std::uint64_t late_results = 0;
  std::uint64_t duplicate_results = 0;
  std::uint64_t foreign_results = 0;
  // Rows outside their subquery's range, dropped by this front or by the owner.
  std::uint64_t out_of_range_rows = 0;
};

// State of one front, owned by the front half of a gateway and used from one
// thread. FrontState reads no clock and does no I/O, so a simulation can hold
// many fronts.
class FrontState {
 public:
  FrontState(Place place, std::uint64_t random_seed,
             ReplicaPolicy policy = ReplicaPolicy::kLeastLoadedOfTwo)
      : random(random_seed), place_(std::move(place)), selector_(policy) {
    SetView(std::make_shared<const session::FleetView>());
  }

  // Builds the routes of a new fleet view.
  void SetView(session::FleetViewPointer view) {
    routes = std::make_shared<RoutingTable>(std::move(view), routes.get(),
                                            place_, backend_names, owner_names);
  }

  // Chooses a replica with the front's observations; see ReplicaSelector.
  std::optional<ReplicaChoice> Choose(const ReplicaRequest& request,
                                      MonotonicTime now) {
    return selector_.Choose(request, backends, owners, random, now);
  }

  NameTable backend_names;
  NameTable owner_names;
  // Routing table of the newest view, never null. SetView replaces the table.
  std::shared_ptr<RoutingTable> routes;
  BackendStates backends;
  OwnerStates owners;
  // State of each service, by service name.
  std::map<std::string, ServiceState> services;
  std::mt19937_64 random;
  FrontCounters counters;

 private:
  Place place_;
  ReplicaSelector selector_;
};

}  // namespace juniperway::routing
