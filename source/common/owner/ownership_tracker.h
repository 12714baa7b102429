// Tracks which backends this daemon owns, which of them it may use already, and
// up to which revision it has released all others. The code does no I/O. Rules
// and design choices: docs/design/ownership.md.
//
//  - This daemon uses a backend that a view assigns to it once every gateway of
//    the zone has released the revision of that view.
//  - This daemon releases a backend that a view takes away: it starts no new
//    search, running searches finish, and it closes the connections. Until then
//    the released revision stays below the revision of that view.
//  - Views may skip revisions. In a skipped revision another gateway may have
//    been the owner and may still act on that revision. Therefore the revision
//    of a skipping view counts as released only once it is in force, when no
//    gateway acts on an older view any more. A backend that is not in use yet
//    then waits for the release of the new view's revision.
//  - Ownership ends with the lease: the owner closes all connections. With the
//    next lease, ownership starts again from the view of that time.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/owner/backend_gate.h"
#include "common/routing/ownership.h"
#include "common/session/fleet_view.h"

namespace juniperway::owner {

// Ownership state of one daemon; the owner half of a gateway keeps one. All
// positions are revisions of the control state; there are no times.
class OwnershipTracker {
 public:
  explicit OwnershipTracker(std::string daemon_id);

  // Backends whose owner a new view changed.
  struct Change {
    std::vector<std::string> gained;
    // The daemon must release these: it calls OnBackendReleased for each once
    // no search runs there and the connections are closed.
    std::vector<std::string> lost;
  };
  // Processes a new view. Views that are not newer than the newest one seen are
  // ignored.
  Change OnView(const session::FleetViewPointer& view);

  // Processes an increase of ControlSession::ZoneReleasedRevision.
  void OnZoneReleased(resources::Revision revision);

  // Processes an increase of ControlSession::InForceRevision.
  void OnInForce(resources::Revision revision);

  // Records that no search runs at `backend` any more and that the connections
  // to `backend` are closed.
  void OnBackendReleased(const std::string& backend);

  // Ends all ownership, because the lease ended. The owner must have closed
  // every connection before.
  void OnLeaseLost();
  void OnLeaseGained();

  bool Owns(const std::string& backend) const {
    return required_release_.contains(backend);
  }

  GateAccess AccessTo(const std::string& backend) const;

  // Returns the revision to report as released. The revision never decreases.
  resources::Revision released() const;

 private:
  std::string daemon_id_;
  std::unique_ptr<routing::OwnershipTable> table_;
  resources::Revision zone_released_ = 0;
  resources::Revision in_force_ = 0;
  bool leased_ = false;
  // Owned backends, each with the revision that the zone must release before
  // this daemon uses the backend.
  std::map<std::string, resources::Revision> required_release_;
  // Backends being released, each with the revision of the last view before the
  // view that took the backend away.
  std::map<std::string, resources::Revision> releasing_;
  // Revisions of skipping views that are not in force yet, each with the
  // revision of the view before the skipping view.
  std::map<resources::Revision, resources::Revision> skipping_views_;
};

}  // namespace juniperway::owner
