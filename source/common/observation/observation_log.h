// Collects what one router reports about backends. The router's BackendPool
// owns the log. Does no I/O: time is an argument.
//
// Within kObservationDecayTime a router reports a backend at most once as
// failed and once as answered, however many attempts it sends there. So the
// size of the reports grows with the number of failing backends and not with
// the request rate, and one router with a broken link cannot outvote the
// others.
#pragma once

#include <cstddef>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

// How long an observation of a backend counts, and the decay time of shared
// failures (SharedFailures). Equals the time for which a router counts its own
// failures (forwarding::FailureRate).
inline constexpr Duration kObservationDecayTime = seconds(8);

class ObservationLog {
 public:
  void OnFailed(BackendHash backend, MonotonicTime now);
  // Records an answer. Callers pass only backends for which other routers have
  // reported failures, so that healthy backends cause no reports.
  void OnAnswered(BackendHash backend, MonotonicTime now);

  bool has_pending() const { return !pending_.empty(); }
  // Returns up to `maximum` pending observations, oldest first; later calls
  // return the rest.
  BackendObservations Take(std::size_t maximum, MonotonicTime now);

 private:
  // Times when this router last reported the backend; min() if it never did.
  struct ReportTimes {
    MonotonicTime failed = MonotonicTime::min();
    MonotonicTime answered = MonotonicTime::min();
  };

  void RemoveExpired(MonotonicTime now);

  std::unordered_map<BackendHash, ReportTimes> report_times_;
  MonotonicTime next_removal_ = MonotonicTime::min();
  BackendObservations pending_;
};

}  // namespace juniperway::observation
