// Which back ends this daemon owns, which of them it may use yet, and up to
// which revision it has let go of all others. Pure. The rules and what was
// weighed: docs/design/ownership.md.
//
//  - A back end that a view gives to this daemon is used once every gateway of
//    the zone has released the revision of that view.
//  - A back end that a view takes away is let go: nothing new starts, what runs
//    finishes, its connections are closed. Until then the released revision
//    stays below that view's.
//  - Views may skip revisions, and in a skipped one another gateway may have
//    been the owner and still act on it. So a skipping view's revision counts
//    as released only once it is in force, when nobody acts on an older view
//    any more; and a back end that is not in use yet waits for the new view's
//    revision.
//  - Ownership does not outlast the lease: at its end all is cut off, and with
//    the next lease it starts anew at the view of that time.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/owner/backend_gate.h"
#include "common/routing/ownership.h"
#include "common/session/fleet_view.h"

namespace juniperway::owner {

class OwnershipTracker {
 public:
  explicit OwnershipTracker(std::string daemon_id);

  // What a new view changed.
  struct Change {
    std::vector<std::string> gained;
    // To be let go: call OnLetGo for each once nothing of it is left.
    std::vector<std::string> lost;
  };
  // Older views than the newest seen are ignored.
  Change OnView(const session::FleetViewPointer& view);

  // ControlSession::ZoneReleasedRevision grew.
  void OnZoneReleased(resources::Revision revision);

  // ControlSession::InForceRevision grew.
  void OnInForce(resources::Revision revision);

  // Nothing runs at `backend` any more and its connections are closed.
  void OnLetGo(const std::string& backend);

  // The lease ended, everything has been cut off and every connection closed.
  void OnLeaseLost();
  void OnLeaseGained();

  bool Owns(const std::string& backend) const {
    return owned_since_.contains(backend);
  }

  GateAccess AccessTo(const std::string& backend) const;

  // What to report as released; never falls.
  resources::Revision released() const;

 private:
  std::string daemon_id_;
  std::unique_ptr<routing::OwnershipTable> table_;
  resources::Revision zone_released_ = 0;
  resources::Revision in_force_ = 0;
  bool leased_ = false;
  // Owned back ends, and the revision that must be released before use.
  std::map<std::string, resources::Revision> owned_since_;
  // Back ends being let go, and the last revision that was no reason to.
  std::map<std::string, resources::Revision> letting_go_;
  // Revisions of skipping views that are not in force yet, and the revision of
  // the view before each.
  std::map<resources::Revision, resources::Revision> skips_;
};

}  // namespace juniperway::owner
