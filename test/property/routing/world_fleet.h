// Simulated fleet: the published view, and the index versions that the backends
// actually hold. Both change at random.
#pragma once

#include <map>
#include <set>
#include <string>

#include "common/session/fleet_view.h"
#include "property/routing/query_checker.h"
#include "property/routing/world_random.h"

namespace juniperway::routing::testing {

inline const std::string kService = "s";
inline constexpr int kBackends = 8;
inline constexpr double kRetryBudgetShare = 0.05;

std::string BackendName(int number);

// Owned by a World, whose random generator the fleet shares.
class WorldFleet {
 public:
  // Creates a fleet that serves one snapshot.
  explicit WorldFleet(WorldRandom& random);

  // Makes one random change: serves a new snapshot, or starts or ends the drain
  // of a backend, the removal of its machine or the leaving of a gateway.
  void Change();

  const session::FleetView& view() const { return view_; }
  // Returns the newest index version; versions start at 1.
  resources::IndexVersion newest() const { return newest_; }
  // Whether the backend actually holds the version; the view may be outdated.
  bool Holds(const std::string& backend, resources::IndexVersion version) const;
  // Whether the view excludes the backend from new subqueries.
  bool IsDraining(const std::string& backend) const;

 private:
  void AddMembers();
  void AddBackends();
  void ServeNextVersion();

  WorldRandom& random_;
  session::FleetView view_;
  std::map<std::string, std::set<resources::IndexVersion>> held_;
  resources::IndexVersion newest_ = 0;
};

// How an owner and its backend handle one subquery.
struct SubqueryHandling {
  SubqueryOutcome outcome = SubqueryOutcome::kRows;
  // Time from the arrival at the owner until the owner sends the result.
  Duration after{};
  bool begun = false;
  // Whether the owner never sends a result.
  bool silent = false;
};

// Draws how an owner and its backend handle a subquery.
// @param remaining time that the front gave the owner for the subquery.
SubqueryHandling DrawHandling(WorldRandom& random, bool holds_snapshot,
                              Duration remaining);

}  // namespace juniperway::routing::testing
