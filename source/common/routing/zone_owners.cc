#include "common/routing/zone_owners.h"

#include <xxhash.h>

namespace juniperway::routing {

std::uint64_t OwnerSeedOf(const std::string& daemon_id) {
  return XXH3_64bits(daemon_id.data(), daemon_id.size());
}

std::uint64_t OwnerWeightOf(const std::string& backend, std::uint64_t seed) {
  return XXH3_64bits_withSeed(backend.data(), backend.size(), seed);
}

bool CanOwnBackends(const session::Member& member) {
  return member.gateway && !member.leaving;
}

bool TakesPrecedence(std::uint64_t weight, const session::Member& member,
                     std::uint64_t best_weight, const session::Member* best) {
  if (best == nullptr || weight != best_weight) {
    return best == nullptr || weight > best_weight;
  }
  return member.daemon_id < best->daemon_id;
}

ZoneOwners::ZoneOwners(const ZoneOwners& previous, const Change& change)
    : candidates_(previous.candidates_), owners_(previous.owners_) {
  ChangeCandidates(change);
  std::vector<const Candidate*> added;
  for (const MemberPointer& member : change.upserted_members) {
    added.push_back(&candidates_.at(member->daemon_id));
  }
  for (const std::string& backend : change.removed_backends) {
    owners_.erase(backend);
  }
  for (auto& [backend, owner] : owners_) {
    const auto current_owner = owner.member == nullptr
                                   ? candidates_.end()
                                   : candidates_.find(owner.member->daemon_id);
    if (current_owner == candidates_.end()) {
      ChooseFromCandidates(backend, owner);
      continue;
    }
    owner.member = current_owner->second.member;
    for (const Candidate* candidate : added) {
      ReplaceIfPreferred(backend, *candidate, owner);
    }
  }
  for (const std::string& backend : change.added_backends) {
    ChooseFromCandidates(backend, owners_[backend]);
  }
}

void ZoneOwners::ChangeCandidates(const Change& change) {
  for (const std::string& daemon_id : change.removed_members) {
    candidates_.erase(daemon_id);
  }
  for (const MemberPointer& member : change.upserted_members) {
    candidates_[member->daemon_id] = {member, OwnerSeedOf(member->daemon_id)};
  }
}

void ZoneOwners::ReplaceIfPreferred(const std::string& backend,
                                    const Candidate& candidate, Owner& best) {
  const std::uint64_t weight = OwnerWeightOf(backend, candidate.seed);
  if (TakesPrecedence(weight, *candidate.member, best.weight,
                      best.member.get())) {
    best = {candidate.member, weight};
  }
}

void ZoneOwners::ChooseFromCandidates(const std::string& backend,
                                      Owner& owner) const {
  owner = {};
  for (const auto& [daemon_id, candidate] : candidates_) {
    ReplaceIfPreferred(backend, candidate, owner);
  }
}

const session::Member* ZoneOwners::OwnerOf(const std::string& backend) const {
  const auto owner = owners_.find(backend);
  return owner == owners_.end() ? nullptr : owner->second.member.get();
}

std::vector<std::string> ZoneOwners::OwnedBy(
    const std::string& daemon_id) const {
  std::vector<std::string> names;
  for (const auto& [name, owner] : owners_) {
    if (owner.member != nullptr && owner.member->daemon_id == daemon_id) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> ZoneOwners::MovedSince(
    const ZoneOwners& previous) const {
  std::vector<std::string> names;
  for (const auto& [name, owner] : owners_) {
    const session::Member* before = previous.OwnerOf(name);
    const session::Member* after = owner.member.get();
    const bool same =
        before == after || (before != nullptr && after != nullptr &&
                            before->daemon_id == after->daemon_id &&
                            before->region == after->region);
    if (!same) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace juniperway::routing
