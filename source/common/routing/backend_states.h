// Observations of one front about each backend: load, latency, circuit breaker
// and drain. The observations come from owners' results and from the attempts
// that the front itself sends.
//
// kFailuresToOpen failures in a row open the breaker of a backend. After a
// backoff, which doubles with each opening up to kMaximumOpenTime, the breaker
// admits one probe. A successful probe closes the breaker; a failed one opens
// the breaker again.
#pragma once

#include <cstdint>
#include <vector>

#include "common/base/time.h"
#include "common/routing/name_table.h"
#include "common/routing/routing_table.h"

namespace juniperway::routing {

// State of all backends that a front knows, owned by its FrontState and shared
// by all queries of the front. BackendStates reads no clock; callers pass the
// time.
class BackendStates {
 public:
  static constexpr std::uint32_t kFailuresToOpen = 5;
  static constexpr Duration kMinimumOpenTime = seconds(1);
  static constexpr Duration kMaximumOpenTime = seconds(30);
  // How long a drain that a result reported is used. By the end of this time,
  // the fleet view contains the drain.
  static constexpr Duration kDrainTimeToLive = seconds(10);

  // --- Observations ---
  // Records that a subquery was sent and is outstanding.
  void OnSent(BackendId backend);
  // Records that a subquery was answered, lost or cancelled and is no longer
  // outstanding.
  void OnAttemptEnded(BackendId backend);
  // Records that the owner reported `load` subqueries, running and queued, on a
  // backend with `slots` slots.
  void OnLoad(BackendId backend, std::uint32_t load, std::uint32_t slots,
              MonotonicTime now);
  // Adds a latency sample.
  void OnLatency(BackendId backend, Duration latency, MonotonicTime now);
  // Closes the breaker of the backend, because the backend returned rows.
  void OnSuccess(BackendId backend);
  // Records a failure of the backend: the subquery was lost, or the backend was
  // unreachable or unresponsive.
  void OnFailure(BackendId backend, MonotonicTime now);
  // Records that the backend refused a subquery because the backend is
  // draining.
  void OnDraining(BackendId backend, MonotonicTime now);
  // Records that the front sent a probe that the backend's breaker admitted.
  void OnProbe(BackendId backend);
  // Records that the probe ended without evidence about the backend. The
  // breaker may admit another probe.
  void OnProbeAbandoned(BackendId backend);

  // --- Queries ---
  // kOpen: the backend takes subqueries. kProbe: its breaker admits one probe.
  // kEjected: the backend gets no subqueries.
  enum class Admission { kOpen, kProbe, kEjected };
  Admission AdmissionOf(BackendId backend, MonotonicTime now) const;
  // Whether a result reported a drain within the last kDrainTimeToLive.
  bool IsDraining(BackendId backend, MonotonicTime now) const;
  // Returns when the breaker admits the next probe; 0 if the breaker never
  // opened.
  MonotonicTime EjectedUntil(BackendId backend) const;
  // Returns the expected time of one more subquery under the present load, in
  // microseconds.
  double Cost(const ReplicaRoute& replica, MonotonicTime now) const;
  // Returns the expected latency without the load, in microseconds.
  double Latency(const ReplicaRoute& replica, MonotonicTime now) const;
  // Returns the estimated number of running and queued subqueries on the
  // backend: the greater of the front's own outstanding ones and the aged
  // report of the owner.
  double Load(BackendId backend, MonotonicTime now) const;

 private:
  struct State {
    std::uint32_t outstanding = 0;
    std::uint32_t load = 0;
    std::uint32_t slots = 0;
    MonotonicTime load_at{};
    // Moving average; 0 before the first sample.
    double latency_us = 0;
    MonotonicTime latency_at{};
    std::uint32_t failures_in_a_row = 0;
    MonotonicTime failed_at{};
    bool open = false;
    bool probing = false;
    Duration open_for{};
    MonotonicTime open_until{};
    MonotonicTime draining_until{};
  };

  State& Get(BackendId backend);
  const State* Find(BackendId backend) const;
  static void Open(State& state, MonotonicTime now);

  std::vector<State> states_;
};

}  // namespace juniperway::routing
