// The control leader of a simulated zone: publishes views, grants leases and
// computes the watermarks. Callers pass the time.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/session/fleet_view.h"

namespace juniperway::owner::testing {

inline constexpr Duration kLease = milliseconds(400);
// Name of the simulated zone.
inline const std::string kZone = "z";

// Heartbeat of an owner to the control leader.
struct Heartbeat {
  std::string owner;
  resources::Revision confirmed = 0;
  resources::Revision released = 0;
  // Whether the owner has a lease according to its own clock.
  bool holds_lease = false;
};

// The control leader. The simulation owns one.
class ZoneControl {
 public:
  // Makes the next view by applying `change` to a copy of the newest one.
  void Publish(const std::function<void(session::FleetView&)>& change);

  // Processes a heartbeat. A sender that is not a member is added to the
  // members. A member that holds a lease gets a renewal; a member without a
  // lease gets one if the member has confirmed and released the revisions of
  // the watermarks.
  // @return whether the lease was granted or renewed.
  bool OnHeartbeat(const Heartbeat& heartbeat, MonotonicTime now);

  // Ends expired leases, removes members that have had no lease for some time,
  // and advances the watermarks.
  void Tick(MonotonicTime now);

  const session::FleetView& newest() const { return *views_.back(); }
  // Returns the view of a revision.
  // @param revision revision from 1 to newest().revision.
  session::FleetViewPointer view(resources::Revision revision) const {
    return views_.at(revision - 1);
  }
  resources::Revision in_force() const { return in_force_; }
  resources::Revision zone_released() const { return zone_released_; }

 private:
  // State of one owner at the leader.
  struct Record {
    std::optional<MonotonicTime> lease_end;
    MonotonicTime unleased_since;
    resources::Revision confirmed = 0;
    resources::Revision released = 0;
  };

  void AdvanceWatermarks();

  std::vector<session::FleetViewPointer> views_;
  std::map<std::string, Record> records_;
  resources::Revision in_force_ = 0;
  resources::Revision zone_released_ = 0;
};

}  // namespace juniperway::owner::testing
