// Owners of one zone's backends.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/session/fleet_view.h"

namespace juniperway::routing {

// Whether the member may own backends: a gateway that is not leaving.
bool CanOwnBackends(const session::Member& member);

// Weight of a gateway for a backend; the gateway with the highest weight owns
// the backend.
// @param seed of the gateway, from OwnerSeedOf.
std::uint64_t OwnerWeightOf(const std::string& backend, std::uint64_t seed);
// Hash of the daemon id, the seed for OwnerWeightOf.
std::uint64_t OwnerSeedOf(const std::string& daemon_id);

// Whether `member`, with `weight`, takes precedence over `best`, the preferred
// gateway so far (null: none). Of two equal weights, the smaller daemon id
// wins.
bool TakesPrecedence(std::uint64_t weight, const session::Member& member,
                     std::uint64_t best_weight, const session::Member* best);

// Immutable, so that the ownership tables of successive views share the zones
// in which nothing changed. Owned by the OwnershipTables.
class ZoneOwners {
 public:
  using MemberPointer = std::shared_ptr<const session::Member>;

  // What changed in a zone from one view to the next.
  struct Change {
    // Gateways that may own backends and are new or have changed fields.
    std::vector<MemberPointer> upserted_members;
    // Ids of gateways that left or may no longer own backends.
    std::vector<std::string> removed_members;
    std::vector<std::string> added_backends;
    std::vector<std::string> removed_backends;
  };

  ZoneOwners() = default;
  // Computes one weight per backend and set member, and compares all gateways
  // only for new backends and those whose owner was removed.
  ZoneOwners(const ZoneOwners& previous, const Change& change);

  // @return null when the backend is unknown or the zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Names of the backends that `daemon_id` owns, not sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  // Names of the backends whose owner, or the region of the owner, differs from
  // `previous`.
  std::vector<std::string> MovedSince(const ZoneOwners& previous) const;

  bool empty() const { return candidates_.empty() && owners_.empty(); }

 private:
  // A gateway that may own backends.
  struct Candidate {
    MemberPointer member;
    std::uint64_t seed = 0;
  };
  struct Owner {
    // Null when the zone has no gateway.
    MemberPointer member;
    std::uint64_t weight = 0;
  };

  void ChangeCandidates(const Change& change);
  // Replaces `best` by the candidate if the candidate takes precedence.
  static void ReplaceIfPreferred(const std::string& backend,
                                 const Candidate& candidate, Owner& best);
  void ChooseFromCandidates(const std::string& backend, Owner& owner) const;

  // By daemon id.
  std::map<std::string, Candidate> candidates_;
  // By backend name.
  std::unordered_map<std::string, Owner> owners_;
};

}  // namespace juniperway::routing
