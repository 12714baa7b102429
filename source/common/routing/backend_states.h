// What this front has learned of each back end: load, latency, breaker and
// drains. Numbers come from owners' results and the front's own sends. Pure.
//
// Breaker: kFailuresToOpen failures in a row open it; after a back-off
// (doubling to kLongestOpen) one probe is let through, whose success closes it
// and whose failure opens it again.
#pragma once

#include <cstdint>
#include <vector>

#include "common/base/time.h"
#include "common/routing/name_table.h"
#include "common/routing/routing_table.h"

namespace juniperway::routing {

class BackendStates {
 public:
  static constexpr std::uint32_t kFailuresToOpen = 5;
  static constexpr Duration kShortestOpen = seconds(1);
  static constexpr Duration kLongestOpen = seconds(30);
  // How long a drain that a result told of is believed; the view has it then.
  static constexpr Duration kDrainMemory = seconds(10);

  // --- What happened ---
  void OnSent(BackendId backend);
  // The subquery is answered, lost or cancelled: no longer outstanding.
  void OnDone(BackendId backend);
  void OnLoad(BackendId backend, std::uint32_t load, std::uint32_t slots,
              MonotonicTime now);
  void OnLatency(BackendId backend, Duration latency, MonotonicTime now);
  void OnSuccess(BackendId backend);
  // The back end failed (lost, unreachable or silent too long).
  void OnFailure(BackendId backend, MonotonicTime now);
  void OnDraining(BackendId backend, MonotonicTime now);
  // A probe was sent to a back end whose breaker let one through.
  void OnProbe(BackendId backend);
  // That probe was given up without an outcome; another may go.
  void OnProbeAbandoned(BackendId backend);

  // --- What to make of it ---
  enum class Admission { kOpen, kProbe, kEjected };
  // kOpen: takes work. kProbe: its breaker lets one probe through.
  Admission AdmissionOf(BackendId backend, MonotonicTime now) const;
  bool IsDraining(BackendId backend, MonotonicTime now) const;
  // When the breaker lets a probe through; orders ejected back ends.
  MonotonicTime EjectedUntil(BackendId backend) const;
  // Expected time of one more subquery, in microseconds: smaller is better.
  double Cost(const ReplicaRoute& replica, MonotonicTime now) const;
  // Expected latency without the load, in microseconds.
  double Latency(const ReplicaRoute& replica, MonotonicTime now) const;
  // Running and waiting subqueries, as far as known here.
  double Load(BackendId backend, MonotonicTime now) const;

 private:
  struct State {
    std::uint32_t outstanding = 0;
    std::uint32_t load = 0;
    std::uint32_t slots = 0;
    MonotonicTime load_at{};
    // 0: nothing measured yet.
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
