// Which gateway owns a back end: rendezvous hashing (highest random weight)
// among the gateways of the back end's zone that are not leaving. Every daemon
// with the same view computes the same owner, and a member that comes or goes
// moves only the back ends it gains or had.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/routing/zone_owners.h"
#include "common/session/fleet_view.h"

namespace juniperway::routing {

// Owner of `backend` among the gateways of `zone`. The pointer lives as long
// as the view.
// @return null when the zone has no gateway that may own.
const session::Member* OwnerOf(const std::string& backend,
                               const std::string& zone,
                               const session::FleetView& view);

// Owners of all back ends of one view, so that a query hashes nothing. Built
// from the table of the view before: zones in which neither a gateway nor a
// back end changed are shared with it.
class OwnershipTable {
 public:
  // @param previous the table of an earlier view, or null.
  explicit OwnershipTable(session::FleetViewPointer view,
                          const OwnershipTable* previous = nullptr);

  // The pointer lives as long as the table.
  // @return null when the back end is unknown or its zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Names of the back ends that `daemon_id` owns, sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  // Names of the back ends, of this table's view, that have another owner here
  // than in `previous`, or an owner in another place.
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
