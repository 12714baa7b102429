// Determines the owners of one zone's backends.
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

// Returns the weight of a gateway for a backend; the gateway with the highest
// weight owns the backend.
// @param seed seed of the gateway, from OwnerSeedOf.
std::uint64_t OwnerWeightOf(const std::string& backend, std::uint64_t seed);
// Returns the hash of the daemon id, which is the seed for OwnerWeightOf.
std::uint64_t OwnerSeedOf(const std::string& daemon_id);

// Whether `member`, with `weight`, takes precedence over `best`, the preferred
// gateway so far (null: none). Of two equal weights, the smaller daemon id
// wins.
bool TakesPrecedence(std::uint64_t weight, const session::Member& member,
                     std::uint64_t best_weight, const session::Member* best);

// Owners of one zone's backends in one view. A ZoneOwners is immutable and
// owned by OwnershipTables, so the tables of successive views can share the
// zones in which nothing changed.
class ZoneOwners {
 public:
  using MemberPointer = std::shared_ptr<const session::Member>;

  // Changes in a zone from one view to the next.
  struct Change {
    // Gateways that may own backends and are new or have changed fields.
    std::vector<MemberPointer> upserted_members;
    // Ids of gateways that left or may no longer own backends.
    std::vector<std::string> removed_members;
    std::vector<std::string> added_backends;
    std::vector<std::string> removed_backends;
  };

  ZoneOwners() = default;
  // Applies `change` to `previous`. A new backend, and one whose owner was
  // removed, gets the gateway with the highest weight among all gateways of the
  // zone. For every other backend, the constructor compares the weight of the
  // present owner only with the weights of `change.upserted_members`.
  ZoneOwners(const ZoneOwners& previous, const Change& change);

  // Returns the owner of `backend`.
  // @return null when the backend is unknown or the zone has no gateway.
  const session::Member* OwnerOf(const std::string& backend) const;

  // Returns the names of the backends that `daemon_id` owns, not sorted.
  std::vector<std::string> OwnedBy(const std::string& daemon_id) const;

  // Returns the names of the backends whose owner, or the owner's region,
  // differs from that in `previous`.
  std::vector<std::string> MovedSince(const ZoneOwners& previous) const;

  bool empty() const { return candidates_.empty() && owners_.empty(); }

 private:
  // A gateway that may own backends.
  struct Candidate {
    MemberPointer member;
    std::uint64_t seed = 0;
  };
  struct Owner {
    // Gateway that owns the backend; null when the zone has no gateway.
    MemberPointer member;
    std::uint64_t weight = 0;
  };

  void ChangeCandidates(const Change& change);
  // Replaces `best` by the candidate if the candidate takes precedence.
  static void ReplaceIfPreferred(const std::string& backend,
                                 const Candidate& candidate, Owner& best);
  void ChooseFromCandidates(const std::string& backend, Owner& owner) const;

  // Gateways that may own backends, by daemon id.
  std::map<std::string, Candidate> candidates_;
  // Owners of the zone's backends, by backend name.
  std::unordered_map<std::string, Owner> owners_;
};

}  // namespace juniperway::routing
