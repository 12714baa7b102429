// What one router has to tell of back ends. Pure: time is an argument.
//
// A router counts as one witness of each kind for a back end within kMemory,
// however often it asks there: what is told grows with the back ends that fail,
// not with requests, and one router with a broken link cannot outvote others.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

// For so long an observation says something of a back end. The same as a
// router's own failures count (forwarding::FailureRate). Chosen, not measured
// alone.
inline constexpr Duration kMemory = seconds(8);

class ObservationLog {
 public:
  void OnFailed(BackendHash backend, MonotonicTime now);
  // Only of back ends that others had failures at: what goes well everywhere is
  // not told.
  void OnAnswered(BackendHash backend, MonotonicTime now);

  bool has_news() const { return !news_.empty(); }
  // What is new, the `most` first ones; the rest comes with the next call.
  BackendObservations Take(std::size_t most, MonotonicTime now);

 private:
  // When this router was a witness last; min(): never.
  struct Told {
    MonotonicTime failed = MonotonicTime::min();
    MonotonicTime answered = MonotonicTime::min();
  };

  void ForgetOld(MonotonicTime now);

  std::unordered_map<BackendHash, Told> told_;
  MonotonicTime next_forget_ = MonotonicTime::min();
  BackendObservations news_;
};

}  // namespace juniperway::observation
