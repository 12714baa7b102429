// Bounds how many replicas of a partition the circuit breakers may eject at the
// same time. An owner sees only the breakers of its own backends, so the owner
// bounds the share among these backends; fronts bound the share over all
// replicas of a partition. The code does no I/O.
#pragma once

#include <map>
#include <set>
#include <string>

#include "common/session/fleet_view.h"

namespace juniperway::owner {

// Decides for one owner whose circuit breakers may be open. The owner makes a
// new policy from each view.
class EjectionPolicy {
 public:
  // Computes the limits of the owned backends from a view.
  // @param owned names of the backends of this owner.
  EjectionPolicy(const session::FleetView& view,
                 const std::set<std::string>& owned);

  // Whether the breaker of `backend` may be open.
  // @param open names of the backends whose breakers are open now. If more of
  //   them are open than may be, those with the first names may stay open, so
  //   that not all breakers close at once.
  bool MayEject(const std::string& backend,
                const std::set<std::string>& open) const;

 private:
  struct Limit {
    // Maximum number of ejected replicas: the minimum over the backend's
    // shards.
    std::size_t maximum_out = 0;
    // Other owned backends that hold one of the backend's shards.
    std::set<std::string> peers;
  };
  std::map<std::string, Limit> limits_;
};

}  // namespace juniperway::owner
