// The failures of backends that other routers have observed, as one router
// knows them. The router's BackendPool owns the only SharedFailures, which
// contains only backends for which some router reported a failure. Does no I/O:
// time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

class SharedFailures {
 public:
  // Bounds of the threshold: a router treats a backend whose suspicion is below
  // the router's threshold like any other. Each router draws its own threshold
  // between these bounds. Observations decay on all routers at the same time,
  // so with one common threshold all routers would send requests to a suspected
  // backend again at the same moment. With a common threshold and four fifths
  // of the backends shedding, 10 to 30 % of the requests failed.
  static constexpr double kMinimumThreshold = 0.25;
  static constexpr double kMaximumThreshold = 0.45;

  explicit SharedFailures(std::uint64_t seed);

  void Add(const BackendObservation& observation, MonotonicTime now);

  // Whether another router has reported failures of the backend that have not
  // decayed yet.
  bool HasFailures(BackendHash backend) const {
    return !rates_.empty() && rates_.contains(backend);
  }
  // Returns the suspicion of the backend, which is its share of failures, or 0
  // if this share is below the router's threshold. One successful answer is
  // added to the counts, so a single failure report gives a suspicion of one
  // half.
  double SuspicionOf(BackendHash backend, MonotonicTime now) const;

  std::size_t size() const { return rates_.size(); }

 private:
  // Counts that decay to 1 / e within kObservationDecayTime.
  struct Rate {
    double failed = 0;
    double answered = 0;
    MonotonicTime decayed_at;
  };

  static double DecayFactor(const Rate& rate, MonotonicTime now);
  void RemoveExpired(MonotonicTime now);

  double threshold_;
  std::unordered_map<BackendHash, Rate> rates_;
  MonotonicTime next_removal_ = MonotonicTime::min();
};

}  // namespace juniperway::observation
