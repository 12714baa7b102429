// Chooses the replica that gets a subquery: the cheaper of two random ones
// among the near replicas (near: by measured latency), skipping those that
// drain or are ejected. Pure: randomness and time are arguments.
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
  // The cheaper of two random near ones.
  kLeastLoadedOfTwo,
  // Any one: the baseline of benchmarks.
  kRandom,
};

struct ReplicaRequest {
  const PartitionRoute& partition;
  // Service::maximum_ejected_share: of the partition's replicas, rounded down.
  double maximum_ejected_share = 0;
  // Back ends that were asked before.
  std::span<const BackendId> excluded;
  // Taken only when every other choice is gone (a hedge goes past the owner
  // that may be the slow part).
  std::optional<OwnerId> avoided_owner;
  // Whether this subquery may test an ejected back end.
  bool may_probe = true;
};

struct ReplicaChoice {
  ReplicaRoute replica;
  // The breaker was open: this subquery tests the back end.
  bool probe = false;
};

class ReplicaSelector {
 public:
  explicit ReplicaSelector(ReplicaPolicy policy) : policy_(policy) {}

  // @return nothing when no replica is left.
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
  // Moves the near candidates to the front. @return how many they are.
  std::size_t PartitionByLatency(const BackendStates& states,
                                 MonotonicTime now);
  const ReplicaRoute& CheaperOfTwo(std::size_t count,
                                   const BackendStates& states,
                                   std::mt19937_64& random,
                                   MonotonicTime now) const;

  ReplicaPolicy policy_;
  // Scratch space, kept to save allocations.
  std::vector<BackendId> ejected_;
  std::vector<const ReplicaRoute*> candidates_;
};

}  // namespace juniperway::routing
