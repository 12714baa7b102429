#include "common/routing/replica_selector.h"

#include <algorithm>
#include <cmath>

namespace juniperway::routing {
namespace {

// A replica is near when its latency is at most kNearFactor times that of the
// fastest replica plus kNearSlackUs.
constexpr double kNearFactor = 2.0;
constexpr double kNearSlackUs = 1000;
// The selector compares a near replica that has more than this many subqueries
// per slot with a random far one.
constexpr double kBusyLoadPerSlot = 2.0;

std::size_t RandomBelow(std::size_t bound, std::mt19937_64& random) {
  return static_cast<std::size_t>(random() % bound);
}

}  // namespace

std::optional<ReplicaChoice> ReplicaSelector::Choose(
    const ReplicaRequest& request, const BackendStates& states,
    const OwnerStates& owners, std::mt19937_64& random, MonotonicTime now) {
  CollectEjected(request, states, now);
  CollectCandidates(request, states, now);
  if (candidates_.empty()) {
    return std::nullopt;
  }
  if (policy_ == ReplicaPolicy::kRandom) {
    return ReplicaChoice{*candidates_[RandomBelow(candidates_.size(), random)]};
  }
  if (request.may_probe) {
    for (const ReplicaRoute* replica : candidates_) {
      if (states.AdmissionOf(replica->backend, now) ==
          BackendStates::Admission::kProbe) {
        return ReplicaChoice{*replica, true};
      }
    }
  }
  PreferOtherOwners(request.avoided_owner, owners, now);
  const std::size_t near = PartitionByLatency(states, now);
  const ReplicaRoute& best = CheaperOfTwo(near, states, random, now);
  const bool busy =
      states.Load(best.backend, now) > kBusyLoadPerSlot * best.slots;
  if (!busy || near == candidates_.size()) {
    return ReplicaChoice{best, false};
  }
  const std::size_t far = near + RandomBelow(candidates_.size() - near, random);
  const ReplicaRoute& other = *candidates_[far];
  const bool other_is_cheaper =
      states.Cost(other, now) < states.Cost(best, now);
  return ReplicaChoice{other_is_cheaper ? other : best, false};
}

void ReplicaSelector::CollectEjected(const ReplicaRequest& request,
                                     const BackendStates& states,
                                     MonotonicTime now) {
  ejected_.clear();
  for (const ReplicaRoute& replica : request.partition.replicas) {
    const auto admission = states.AdmissionOf(replica.backend, now);
    const bool probe_refused =
        admission == BackendStates::Admission::kProbe && !request.may_probe;
    if (admission == BackendStates::Admission::kEjected || probe_refused) {
      ejected_.push_back(replica.backend);
    }
  }
  const double share = std::clamp(request.maximum_ejected_share, 0.0, 1.0);
  const auto bound = static_cast<std::size_t>(std::floor(
      share * static_cast<double>(request.partition.replicas.size())));
  if (ejected_.size() <= bound) {
    return;
  }
  // More backends are ejected than the bound allows: only those with the latest
  // probe times stay ejected.
  std::ranges::sort(ejected_, [&states](BackendId left, BackendId right) {
    const MonotonicTime left_until = states.EjectedUntil(left);
    const MonotonicTime right_until = states.EjectedUntil(right);
    return left_until != right_until ? left_until > right_until : left < right;
  });
  ejected_.resize(bound);
}

bool ReplicaSelector::IsEjected(BackendId backend) const {
  return std::ranges::find(ejected_, backend) != ejected_.end();
}

void ReplicaSelector::CollectCandidates(const ReplicaRequest& request,
                                        const BackendStates& states,
                                        MonotonicTime now) {
  candidates_.clear();
  for (const ReplicaRoute& replica : request.partition.replicas) {
    const bool excluded =
        std::ranges::find(request.excluded, replica.backend) !=
        request.excluded.end();
    if (!excluded && !IsEjected(replica.backend) &&
        !states.IsDraining(replica.backend, now)) {
      candidates_.push_back(&replica);
    }
  }
}

void ReplicaSelector::PreferOtherOwners(std::optional<OwnerId> avoided,
                                        const OwnerStates& owners,
                                        MonotonicTime now) {
  const auto is_avoided = [&](const ReplicaRoute* replica) {
    return replica->owner == avoided || owners.IsDown(replica->owner, now);
  };
  if (!std::ranges::all_of(candidates_, is_avoided)) {
    std::erase_if(candidates_, is_avoided);
  }
}

std::size_t ReplicaSelector::PartitionByLatency(const BackendStates& states,
                                                MonotonicTime now) {
  double best = states.Latency(*candidates_.front(), now);
  for (const ReplicaRoute* replica : candidates_) {
    best = std::min(best, states.Latency(*replica, now));
  }
  const double bound = kNearFactor * best + kNearSlackUs;
  const auto far =
      std::partition(candidates_.begin(), candidates_.end(),
                     [&states, now, bound](const ReplicaRoute* replica) {
                       return states.Latency(*replica, now) <= bound;
                     });
  return static_cast<std::size_t>(far - candidates_.begin());
}

const ReplicaRoute& ReplicaSelector::CheaperOfTwo(std::size_t count,
                                                  const BackendStates& states,
                                                  std::mt19937_64& random,
                                                  MonotonicTime now) const {
  const std::size_t first = RandomBelow(count, random);
  if (count == 1) {
    return *candidates_[first];
  }
  // Skips the index `first`, so that the two candidates differ.
  std::size_t second = RandomBelow(count - 1, random);
  if (second >= first) {
    ++second;
  }
  const bool first_is_cheaper = states.Cost(*candidates_[first], now) <=
                                states.Cost(*candidates_[second], now);
  return *candidates_[first_is_cheaper ? first : second];
}

}  // namespace juniperway::routing
