#include "common/owner/ownership_tracker.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace juniperway::owner {
namespace {

using Names = std::vector<std::string>;

// Returns a view of zone "z" with two gateways, each of which owns some of the
// backends.
session::FleetView TwoGateways(resources::Revision revision) {
  session::FleetView view;
  view.revision = revision;
  for (const std::string name : {"g1", "g2"}) {
    session::Member& member = view.members[name];
    member.daemon_id = name;
    member.incarnation = 1;
    member.zone = "z";
    member.gateway = true;
  }
  for (int i = 0; i < 16; ++i) {
    view.backends["b" + std::to_string(i)].zone = "z";
  }
  return view;
}

session::FleetViewPointer Share(const session::FleetView& view) {
  return std::make_shared<const session::FleetView>(view);
}

Names OwnedBy(const std::string& daemon, const session::FleetView& view) {
  return routing::OwnershipTable(Share(view)).OwnedBy(daemon);
}

TEST_CASE("A backend is used once the zone has released the view's revision") {
  const session::FleetView view = TwoGateways(5);
  const std::string mine = OwnedBy("g1", view).front();
  const std::string other = OwnedBy("g2", view).front();
  OwnershipTracker tracker("g1");
  CHECK(tracker.OnView(Share(view)).gained == OwnedBy("g1", view));
  tracker.OnLeaseGained();
  tracker.OnZoneReleased(4);
  CHECK(tracker.AccessTo(mine) == GateAccess::kAwaitingRelease);
  CHECK(tracker.released() == 5);
  tracker.OnZoneReleased(5);
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
  CHECK(tracker.AccessTo(other) == GateAccess::kClosed);
}

TEST_CASE("A view without changes for this owner needs no new release") {
  const std::string mine = OwnedBy("g1", TwoGateways(5)).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(TwoGateways(5)));
  tracker.OnLeaseGained();
  tracker.OnZoneReleased(5);
  const auto change = tracker.OnView(Share(TwoGateways(9)));
  CHECK(change.gained.empty());
  CHECK(change.lost.empty());
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
}

TEST_CASE("The released revision waits for the backends being released") {
  session::FleetView alone = TwoGateways(5);
  alone.members.erase("g2");
  const Names lost = OwnedBy("g2", TwoGateways(6));
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(alone));
  tracker.OnLeaseGained();
  CHECK(tracker.released() == 5);
  const auto change = tracker.OnView(Share(TwoGateways(6)));
  CHECK(change.lost == lost);
  CHECK(tracker.released() == 5);
  // A later view does not end the release of backends that were lost before.
  tracker.OnView(Share(TwoGateways(7)));
  CHECK(tracker.released() == 5);
  for (const std::string& name : lost) {
    CHECK(tracker.released() == 5);
    tracker.OnBackendReleased(name);
  }
  CHECK(tracker.released() == 7);
}

TEST_CASE("A backend regained during its release is released first") {
  session::FleetView alone = TwoGateways(5);
  alone.members.erase("g2");
  const std::string name = OwnedBy("g2", TwoGateways(6)).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(alone));
  tracker.OnLeaseGained();
  tracker.OnZoneReleased(5);
  for (const auto& lost : tracker.OnView(Share(TwoGateways(6))).lost) {
    if (lost != name) {
      tracker.OnBackendReleased(lost);
    }
  }
  alone.revision = 7;
  tracker.OnView(Share(alone));
  CHECK(tracker.released() == 5);
  tracker.OnZoneReleased(7);
  CHECK(tracker.AccessTo(name) == GateAccess::kAwaitingRelease);
  tracker.OnBackendReleased(name);
  CHECK(tracker.released() == 7);
  CHECK(tracker.AccessTo(name) == GateAccess::kOpen);
}

TEST_CASE("A skipping view is released only once it is in force") {
  const std::string mine = OwnedBy("g1", TwoGateways(5)).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(TwoGateways(5)));
  tracker.OnLeaseGained();
  tracker.OnInForce(5);
  tracker.OnZoneReleased(5);
  tracker.OnView(Share(TwoGateways(7)));
  tracker.OnView(Share(TwoGateways(8)));
  CHECK(tracker.released() == 5);
  // A backend in use stays in use: no other owner can have started searches.
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
  tracker.OnInForce(6);
  CHECK(tracker.released() == 5);
  tracker.OnInForce(7);
  CHECK(tracker.released() == 8);
}

TEST_CASE("A backend not in use yet waits again after a skipping view") {
  const std::string mine = OwnedBy("g1", TwoGateways(5)).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(TwoGateways(5)));
  tracker.OnLeaseGained();
  tracker.OnView(Share(TwoGateways(7)));
  tracker.OnZoneReleased(5);
  CHECK(tracker.AccessTo(mine) == GateAccess::kAwaitingRelease);
  tracker.OnView(Share(TwoGateways(8)));
  tracker.OnZoneReleased(7);
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
}

TEST_CASE("Ownership ends with the lease and starts again with the next") {
  const std::string mine = OwnedBy("g1", TwoGateways(5)).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(TwoGateways(5)));
  tracker.OnZoneReleased(5);
  CHECK(tracker.AccessTo(mine) == GateAccess::kClosed);
  tracker.OnLeaseGained();
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
  tracker.OnLeaseLost();
  CHECK(tracker.AccessTo(mine) == GateAccess::kClosed);
  tracker.OnView(Share(TwoGateways(9)));
  tracker.OnLeaseGained();
  CHECK(tracker.AccessTo(mine) == GateAccess::kAwaitingRelease);
  tracker.OnZoneReleased(9);
  CHECK(tracker.AccessTo(mine) == GateAccess::kOpen);
}

TEST_CASE("An older view changes nothing") {
  session::FleetView alone = TwoGateways(4);
  alone.members.erase("g2");
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(TwoGateways(5)));
  CHECK(tracker.OnView(Share(alone)).gained.empty());
  CHECK(tracker.released() == 5);
}

TEST_CASE("A deleted backend is released") {
  session::FleetView view = TwoGateways(5);
  const std::string mine = OwnedBy("g1", view).front();
  OwnershipTracker tracker("g1");
  tracker.OnView(Share(view));
  view.revision = 6;
  view.backends.erase(mine);
  CHECK(tracker.OnView(Share(view)).lost == Names{mine});
  CHECK(tracker.released() == 5);
}

}  // namespace
}  // namespace juniperway::owner
