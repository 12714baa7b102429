// RouterCount counts the routers that accept requests. Update processes only
// the differences between successive views, because each start or stop of a
// router sends a new view to all other routers. The router owns it.
#pragma once

#include <cstddef>

#include "common/session/fleet_view.h"

namespace juniperway::forwarding {

// Number of routers that accept requests.
class RouterCount {
 public:
  using Members = decltype(session::FleetView::members);

  // Counts the routers of a newer view.
  void Update(const Members& members) {
    Members::ForEachDifference(
        members_, members,
        [this](const std::string&, const session::Member* before,
               const session::Member* after) {
          routers_ -= before != nullptr && TakesRequests(*before) ? 1 : 0;
          routers_ += after != nullptr && TakesRequests(*after) ? 1 : 0;
        });
    members_ = members;
  }

  std::size_t routers() const { return routers_; }

 private:
  static bool TakesRequests(const session::Member& member) {
    return member.router && !member.leaving;
  }

  Members members_;
  std::size_t routers_ = 0;
};

}  // namespace juniperway::forwarding
