// Which gateway owns a back end: rendezvous hashing (highest random weight)
// among the gateways of the back end's zone that are not leaving. Every daemon
// with the same view computes the same owner, and a member that comes or goes
// moves only the back ends it gains or had.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/session/fleet_view.h"

namespace juniperway::routing {

// Owner of `backend` among the gateways of `zone`. The pointer lives as long
// as the view.
// @return null when the zone has no gateway that may own.
const session::Member* OwnerOf(const std::string& backend,
                               const std::string& zone,
                               const session::FleetView& view);

// Owners of all back ends of one view, so that a query hashes nothing. Built
// from the table of the view before, so that a change costs one comparison per
// back end and member that came, and a full scan only for the back ends whose
// owner went.
class OwnershipTable {
 public:
  // @param previous the table of an earlier view, or null.
  explicit OwnershipTable(session::FleetViewPointer view,
                          const OwnershipTable* previous = nullptr);

  // @return null when the back end is unknown or its zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Names of the back ends that `daemon_id` owns, sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  const session::FleetViewPointer& view() const { return view_; }

 private:
  struct Candidate {
    const session::Member* member = nullptr;
    // Hash of the daemon id: the seed of its weights.
    std::uint64_t seed = 0;
  };
  struct Owner {
    const session::Member* member = nullptr;
    std::uint64_t weight = 0;
  };
  struct ZoneChange;

  using CandidatesByZone = std::map<std::string, std::vector<Candidate>>;

  ZoneChange ChangeOf(const std::string& zone,
                      const OwnershipTable* previous) const;
  Owner Choose(const std::string& backend, const std::string& zone,
               const ZoneChange& change, const OwnershipTable* previous) const;
  static Owner Best(const std::string& backend,
                    const std::vector<Candidate>& candidates, Owner best);

  session::FleetViewPointer view_;
  CandidatesByZone candidates_;
  std::unordered_map<std::string, Owner> owners_;
};

}  // namespace juniperway::routing
