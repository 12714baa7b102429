// The fleet of a simulated world: what the view says of it, and what its back
// ends really hold; both change at random.
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
inline constexpr double kBudget = 0.05;

std::string BackendName(int number);

class WorldFleet {
 public:
  // Serves one snapshot.
  explicit WorldFleet(WorldRandom& random);

  // A new snapshot, a drain, a leaving machine or a leaving gateway; or the end
  // of one of these.
  void Change();

  const session::FleetView& view() const { return view_; }
  // Index versions served so far.
  resources::IndexVersion newest() const { return newest_; }
  // The truth, which the view may not know yet.
  bool Holds(const std::string& backend, resources::IndexVersion version) const;
  // The view says that the back end gets no new work.
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

// What an owner and its back end do with a subquery.
struct Fate {
  SubqueryOutcome outcome = SubqueryOutcome::kRows;
  // Until the owner says so.
  Duration after{};
  bool begun = false;
  // The owner never says anything.
  bool silent = false;
};

// @param remaining what the owner was given.
Fate DrawFate(WorldRandom& random, bool holds_snapshot, Duration remaining);

}  // namespace juniperway::routing::testing
