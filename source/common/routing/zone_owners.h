// Owners of one zone's back ends. Immutable, so that the ownership tables of
// successive views share the zones in which nothing changed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/session/fleet_view.h"

namespace juniperway::routing {

// True if the member may own back ends.
bool MayOwn(const session::Member& member);

// Weight of a gateway for a back end: the highest one owns it.
// @param seed OwnerSeedOf the daemon.
std::uint64_t OwnerWeightOf(const std::string& backend, std::uint64_t seed);
std::uint64_t OwnerSeedOf(const std::string& daemon_id);

// Whether a gateway of this weight goes before the best one so far (null:
// none). Equal weights are settled by the smaller daemon id.
bool OwnsBefore(std::uint64_t weight, const session::Member& member,
                std::uint64_t best_weight, const session::Member* best);

class ZoneOwners {
 public:
  using MemberPointer = std::shared_ptr<const session::Member>;

  // What changed in a zone from one view to the next.
  struct Change {
    // Gateways that may own, new or with another content.
    std::vector<MemberPointer> set_members;
    // Gateways that are gone or may not own any more.
    std::vector<std::string> removed_members;
    std::vector<std::string> added_backends;
    std::vector<std::string> removed_backends;
  };

  ZoneOwners() = default;
  // Costs one comparison per back end and gateway that came, and a full scan
  // only for the back ends whose owner went.
  ZoneOwners(const ZoneOwners& previous, const Change& change);

  // @return null when the back end is unknown or the zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Names of the back ends that `daemon_id` owns, not sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  // Names of the back ends that have another owner here than in `previous`, or
  // an owner in another place.
  std::vector<std::string> MovedSince(const ZoneOwners& previous) const;

  bool empty() const { return candidates_.empty() && owners_.empty(); }

 private:
  struct Candidate {
    MemberPointer member;
    std::uint64_t seed = 0;
  };
  struct Owner {
    // Null: no gateway.
    MemberPointer member;
    std::uint64_t weight = 0;
  };

  void ChangeCandidates(const Change& change);
  static void Improve(const std::string& backend, const Candidate& candidate,
                      Owner& best);
  void ChooseAmongAll(const std::string& backend, Owner& owner) const;

  // By daemon id.
  std::map<std::string, Candidate> candidates_;
  std::unordered_map<std::string, Owner> owners_;
};

}  // namespace juniperway::routing
