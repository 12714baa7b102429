// How many replicas of a partition the circuit breakers may take out at once.
// An owner sees only the breakers of its own back ends, so the share is kept
// among these; fronts keep it over all of a partition's replicas. Pure.
#pragma once

#include <map>
#include <set>
#include <string>

#include "common/session/fleet_view.h"

namespace juniperway::owner {

class EjectionPolicy {
 public:
  // @param owned names of the back ends of this owner.
  EjectionPolicy(const session::FleetView& view,
                 const std::set<std::string>& owned);

  // Whether `backend`'s breaker may be open, given whose are open now. Among
  // open ones the first by name keep the right, so that not all close at once.
  bool MayEject(const std::string& backend,
                const std::set<std::string>& open) const;

 private:
  struct Limit {
    // Most of the replicas of any one shard that may be out.
    std::size_t maximum_out = 0;
    // Other owned back ends with a shard in common.
    std::set<std::string> peers;
  };
  std::map<std::string, Limit> limits_;
};

}  // namespace juniperway::owner
