// Assigns each backend to an owner gateway by rendezvous hashing (highest
// random weight) among the gateways of the backend's zone that are not leaving.
// Every daemon with the same view computes the same owner. When a gateway joins
// or leaves, the owner changes only for the backends that this gateway gains or
// loses.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/routing/zone_owners.h"
#include "common/session/fleet_view.h"

namespace juniperway::routing {

// Computes the owner of `backend` among the gateways of `zone`. The pointer is
// valid as long as the view.
// @return null when the zone has no gateway that may own backends.
const session::Member* OwnerOf(const std::string& backend,
                               const std::string& zone,
                               const session::FleetView& view);

// Precomputed owners of all backends of one view, so that queries do not hash.
// Each table is built from that of the previous view and shares with it the
// zones in which neither a gateway nor a backend changed. Owned by a
// RoutingTable; also used by the owner half of a gateway.
class OwnershipTable {
 public:
  // Builds the table of a view.
  // @param previous the table of an earlier view, or null.
  explicit OwnershipTable(session::FleetViewPointer view,
                          const OwnershipTable* previous = nullptr);

  // Returns the owner of `backend`. The pointer is valid as long as the table.
  // @return null when the backend is unknown or its zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Returns the names of the backends that `daemon_id` owns, sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  // Returns the names of the backends of this table's view whose owner, or the
  // owner's region, differs from that in `previous`.
  std::vector<std::string> MovedSince(const OwnershipTable& previous) const;

  const session::FleetViewPointer& view() const { return view_; }

 private:
  using ZoneChanges = std::map<std::string, ZoneOwners::Change>;

  static ZoneChanges ChangesOf(const session::FleetView& before,
                               const session::FleetView& after);

  session::FleetViewPointer view_;
  std::map<std::string, std::shared_ptr<const ZoneOwners>> zones_;
};

}  // namespace juniperway::routing
