// Decision state that all queries of one front share. Single-threaded; holds no
// clock and no I/O, so that a simulation may own many.
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

// What a service's queries learn and spend together.
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
  // Sent again after a refusal that cost the back end nothing.
  std::uint64_t reroutes = 0;
  // Sent again because the query started over on a newer snapshot.
  std::uint64_t restarted_subqueries = 0;
  std::uint64_t restarts = 0;
  // Hedges and retries not sent for want of budget.
  std::uint64_t budget_refusals = 0;
  // Queries refused as their service's admission limit was reached.
  std::uint64_t admission_refusals = 0;
  // Results that were dropped.
  std::uint64_t late_results = 0;
  std::uint64_t duplicate_results = 0;
  std::uint64_t foreign_results = 0;
  // Rows outside their subquery's range, dropped here or by the owner.
  std::uint64_t out_of_range_rows = 0;
};

class FrontState {
 public:
  FrontState(Place place, std::uint64_t random_seed,
             ReplicaPolicy policy = ReplicaPolicy::kLeastLoadedOfTwo)
      : random(random_seed), place_(std::move(place)), selector_(policy) {
    SetView(std::make_shared<const session::FleetView>());
  }

  void SetView(session::FleetViewPointer view) {
    routes = std::make_shared<RoutingTable>(std::move(view), routes.get(),
                                            place_, backend_names, owner_names);
  }

  std::optional<ReplicaChoice> Choose(const ReplicaRequest& request,
                                      MonotonicTime now) {
    return selector_.Choose(request, backends, owners, random, now);
  }

  NameTable backend_names;
  NameTable owner_names;
  // Never null. Replaced with each view.
  std::shared_ptr<RoutingTable> routes;
  BackendStates backends;
  OwnerStates owners;
  // By service name.
  std::map<std::string, ServiceState> services;
  std::mt19937_64 random;
  FrontCounters counters;

 private:
  Place place_;
  ReplicaSelector selector_;
};

}  // namespace juniperway::routing
