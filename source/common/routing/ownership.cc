#include "common/routing/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace juniperway::routing {
namespace {

std::uint64_t SeedOf(const std::string& daemon_id) {
  return XXH3_64bits(daemon_id.data(), daemon_id.size());
}

std::uint64_t WeightOf(const std::string& backend, std::uint64_t seed) {
  return XXH3_64bits_withSeed(backend.data(), backend.size(), seed);
}

bool MayOwn(const session::Member& member) {
  return member.gateway && !member.leaving;
}

// Equal weights are settled by the smaller daemon id.
bool Beats(std::uint64_t weight, const session::Member& member,
           std::uint64_t best_weight, const session::Member* best) {
  if (best == nullptr || weight != best_weight) {
    return best == nullptr || weight > best_weight;
  }
  return member.daemon_id < best->daemon_id;
}

}  // namespace

const session::Member* OwnerOf(const std::string& backend,
                               const std::string& zone,
                               const session::FleetView& view) {
  const session::Member* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& [daemon_id, member] : view.members) {
    if (!MayOwn(member) || member.zone != zone) {
      continue;
    }
    const std::uint64_t weight = WeightOf(backend, SeedOf(daemon_id));
    if (Beats(weight, member, best_weight, best)) {
      best = &member;
      best_weight = weight;
    }
  }
  return best;
}

// How a zone's candidates differ from those of the table before.
struct OwnershipTable::ZoneChange {
  // False: no table before knew the zone, so nothing can be taken over.
  bool known_before = false;
  std::vector<Candidate> added;
};

OwnershipTable::OwnershipTable(session::FleetViewPointer view,
                               const OwnershipTable* previous)
    : view_(std::move(view)) {
  for (const auto& [daemon_id, member] : view_->members) {
    if (MayOwn(member)) {
      candidates_[member.zone].push_back({&member, SeedOf(daemon_id)});
    }
  }
  std::map<std::string, ZoneChange> changes;
  for (const auto& [zone, unused] : candidates_) {
    changes.emplace(zone, ChangeOf(zone, previous));
  }
  owners_.reserve(view_->backends.size());
  for (const auto& [name, backend] : view_->backends) {
    const auto change = changes.find(backend.zone);
    if (change != changes.end()) {
      owners_[name] = Choose(name, backend.zone, change->second, previous);
    }
  }
}

OwnershipTable::ZoneChange OwnershipTable::ChangeOf(
    const std::string& zone, const OwnershipTable* previous) const {
  ZoneChange change;
  if (previous == nullptr) {
    return change;
  }
  const auto before = previous->candidates_.find(zone);
  if (before == previous->candidates_.end()) {
    return change;
  }
  change.known_before = true;
  // Both lists are sorted by daemon id, as the members are.
  std::ranges::set_difference(
      candidates_.at(zone), before->second, std::back_inserter(change.added),
      {},
      [](const Candidate& candidate) { return candidate.member->daemon_id; },
      [](const Candidate& candidate) { return candidate.member->daemon_id; });
  return change;
}

OwnershipTable::Owner OwnershipTable::Choose(
    const std::string& backend, const std::string& zone,
    const ZoneChange& change, const OwnershipTable* previous) const {
  const std::vector<Candidate>& candidates = candidates_.at(zone);
  if (!change.known_before) {
    return Best(backend, candidates, {});
  }
  const auto before = previous->owners_.find(backend);
  if (before == previous->owners_.end()) {
    return Best(backend, candidates, {});
  }
  const session::Member& old_owner = *before->second.member;
  const auto member = view_->members.find(old_owner.daemon_id);
  const bool still_there =
      member != view_->members.end() && MayOwn(member->second) &&
      member->second.zone == zone && old_owner.zone == zone;
  if (!still_there) {
    return Best(backend, candidates, {});
  }
  return Best(backend, change.added, {&member->second, before->second.weight});
}

OwnershipTable::Owner OwnershipTable::Best(
    const std::string& backend, const std::vector<Candidate>& candidates,
    Owner best) {
  for (const Candidate& candidate : candidates) {
    const std::uint64_t weight = WeightOf(backend, candidate.seed);
    if (Beats(weight, *candidate.member, best.weight, best.member)) {
      best = {candidate.member, weight};
    }
  }
  return best;
}

const session::Member* OwnershipTable::OwnerOf(
    const std::string& backend) const {
  const auto owner = owners_.find(backend);
  return owner == owners_.end() ? nullptr : owner->second.member;
}

std::vector<std::string> OwnershipTable::OwnedBy(
    const std::string& daemon_id) const {
  std::vector<std::string> names;
  for (const auto& [name, owner] : owners_) {
    if (owner.member->daemon_id == daemon_id) {
      names.push_back(name);
    }
  }
  std::ranges::sort(names);
  return names;
}

}  // namespace juniperway::routing
