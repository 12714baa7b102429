// Chooses the replica that gets a subquery: the cheaper of two random near
// replicas, without those that are draining or ejected. A replica is near when
// its measured latency is close to that of the fastest one.
#pragma once

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "common/base/time.h"
#include "common/routing/backend_states.h"
#include "common/routing/owner_states.h"
#include "common/routing/routing_table.h"

namespace juniperway::routing {

enum class ReplicaPolicy {
  // The cheaper of two random near replicas.
  kLeastLoadedOfTwo,
  // Any replica; the baseline of benchmarks.
  kRandom,
};

// Input of one choice.
struct ReplicaRequest {
  const PartitionRoute& partition;
  // Maximum share of the partition's replicas that may be ejected, rounded down
  // to whole replicas (Service::maximum_ejected_share).
  double maximum_ejected_share = 0;
  // Backends that must not be chosen, because the partition was already sent to
  // them.
  std::span<const BackendId> excluded;
  // Owner whose backends are chosen only when no other owner is available. A
  // hedge avoids the owner of the earlier attempt because that owner may itself
  // be slow.
  std::optional<OwnerId> avoided_owner;
  // Whether this subquery may probe a backend whose breaker is open.
  bool may_probe = true;
};

struct ReplicaChoice {
  ReplicaRoute replica;
  // Whether the backend's breaker is open and the subquery is the breaker's
  // probe.
  bool probe = false;
};

// Owned by a FrontState. Callers pass the random generator and the time.
class ReplicaSelector {
 public:
  explicit ReplicaSelector(ReplicaPolicy policy) : policy_(policy) {}

  // Chooses a replica for one subquery.
  // @return nothing when no replica may be chosen.
  std::optional<ReplicaChoice> Choose(const ReplicaRequest& request,
                                      const BackendStates& states,
                                      const OwnerStates& owners,
                                      std::mt19937_64& random,
                                      MonotonicTime now);

 private:
  void CollectEjected(const ReplicaRequest& request,
                      const BackendStates& states, MonotonicTime now);
  bool IsEjected(BackendId backend) const;
  void CollectCandidates(const ReplicaRequest& request,
                         const BackendStates& states, MonotonicTime now);
  void PreferOtherOwners(std::optional<OwnerId> avoided,
                         const OwnerStates& owners, MonotonicTime now);
  // Moves the near candidates to the front.
  // @return the number of near candidates.
  std::size_t PartitionByLatency(const BackendStates& states,
                                 MonotonicTime now);
  const ReplicaRoute& CheaperOfTwo(std::size_t count,
                                   const BackendStates& states,
                                   std::mt19937_64& random,
                                   MonotonicTime now) const;

  ReplicaPolicy policy_;
  // Scratch buffers of Choose, kept between calls to avoid allocations.
  std::vector<BackendId> ejected_;
  std::vector<const ReplicaRoute*> candidates_;
};

}  // namespace juniperway::routing
