#include "common/routing/backend_states.h"

#include <algorithm>
#include <cmath>

namespace juniperway::routing {
namespace {

// Weight of one latency sample in the moving average.
constexpr double kSampleWeight = 0.2;
// Without new samples the average decays to the prior with this time constant,
// so that a replica that was slow gets subqueries again.
constexpr Duration kLatencyDecayTime = seconds(10);
// Penalty on the expected latency for each failure in a row. A failing replica
// that the bound on ejections keeps in selection is thereby chosen last. The
// penalty decays.
constexpr double kFailurePenaltyUs = 20000;
constexpr Duration kFailureDecayTime = seconds(5);
// The weight of a reported load falls linearly to 0 over this time.
constexpr Duration kLoadTimeToLive = milliseconds(500);
// Expected latency before the first sample: a short search plus the typical
// round-trip time to that locality.
constexpr double kPriorSameZoneUs = 2000;
constexpr double kPriorSameRegionUs = 4000;
constexpr double kPriorOtherRegionUs = 28000;

double PriorOf(Locality locality) {
  switch (locality) {
    case Locality::kSameZone:
      return kPriorSameZoneUs;
    case Locality::kSameRegion:
      return kPriorSameRegionUs;
    case Locality::kOtherRegion:
      return kPriorOtherRegionUs;
  }
  return kPriorOtherRegionUs;
}

double Ratio(Duration part, Duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

// Exponential decay: 1 at age 0, falling towards 0.
double DecayWeight(Duration age, Duration decay_time) {
  return std::exp(-Ratio(age, decay_time));
}

}  // namespace

void BackendStates::OnSent(BackendId backend) { ++Get(backend).outstanding; }

void BackendStates::OnAttemptEnded(BackendId backend) {
  State& state = Get(backend);
  state.outstanding -= std::min<std::uint32_t>(state.outstanding, 1);
}

void BackendStates::OnLoad(BackendId backend, std::uint32_t load,
                           std::uint32_t slots, MonotonicTime now) {
  State& state = Get(backend);
  state.load = load;
  state.slots = slots;
  state.load_at = now;
}

void BackendStates::OnLatency(BackendId backend, Duration latency,
                              MonotonicTime now) {
  State& state = Get(backend);
  const auto sample =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  const bool first = state.latency_us == 0;
  state.latency_us =
      first ? sample
            : state.latency_us + kSampleWeight * (sample - state.latency_us);
  state.latency_at = now;
}

void BackendStates::OnSuccess(BackendId backend) {
  State& state = Get(backend);
  state.failures_in_a_row = 0;
  state.open = false;
  state.probing = false;
  state.open_for = Duration::zero();
}

void BackendStates::OnFailure(BackendId backend, MonotonicTime now) {
  State& state = Get(backend);
  ++state.failures_in_a_row;
  state.failed_at = now;
  if (state.open) {
    // Only a failure while a probe is in flight opens the breaker again.
    // Earlier failures belong to subqueries sent before the breaker opened.
    if (state.probing) {
      Open(state, now);
    }
    return;
  }
  if (state.failures_in_a_row >= kFailuresToOpen) {
    Open(state, now);
  }
}

void BackendStates::Open(State& state, MonotonicTime now) {
  state.open = true;
  state.probing = false;
  state.open_for =
      std::clamp(2 * state.open_for, kMinimumOpenTime, kMaximumOpenTime);
  state.open_until = now + state.open_for;
}

void BackendStates::OnDraining(BackendId backend, MonotonicTime now) {
  Get(backend).draining_until = now + kDrainTimeToLive;
}

void BackendStates::OnProbe(BackendId backend) { Get(backend).probing = true; }

void BackendStates::OnProbeAbandoned(BackendId backend) {
  Get(backend).probing = false;
}

BackendStates::Admission BackendStates::AdmissionOf(BackendId backend,
                                                    MonotonicTime now) const {
  const State* state = Find(backend);
  if (state == nullptr || !state->open) {
    return Admission::kOpen;
  }
  if (now < state->open_until || state->probing) {
    return Admission::kEjected;
  }
  return Admission::kProbe;
}

bool BackendStates::IsDraining(BackendId backend, MonotonicTime now) const {
  const State* state = Find(backend);
  return state != nullptr && now < state->draining_until;
}

MonotonicTime BackendStates::EjectedUntil(BackendId backend) const {
  const State* state = Find(backend);
  return state == nullptr ? MonotonicTime{} : state->open_until;
}

double BackendStates::Latency(const ReplicaRoute& replica,
                              MonotonicTime now) const {
  const double prior = PriorOf(replica.locality);
  const State* state = Find(replica.backend);
  if (state == nullptr) {
    return prior;
  }
  double latency = prior;
  if (state->latency_us > 0) {
    latency += (state->latency_us - prior) *
               DecayWeight(now - state->latency_at, kLatencyDecayTime);
  }
  if (state->failures_in_a_row > 0) {
    const auto failures = std::min(state->failures_in_a_row, kFailuresToOpen);
    latency += failures * kFailurePenaltyUs *
               DecayWeight(now - state->failed_at, kFailureDecayTime);
  }
  return latency;
}

double BackendStates::Load(BackendId backend, MonotonicTime now) const {
  const State* state = Find(backend);
  if (state == nullptr) {
    return 0;
  }
  const double freshness =
      std::max(0.0, 1.0 - Ratio(now - state->load_at, kLoadTimeToLive));
  return std::max(static_cast<double>(state->outstanding),
                  state->load * freshness);
}

double BackendStates::Cost(const ReplicaRoute& replica,
                           MonotonicTime now) const {
  const double slots = std::max<std::uint32_t>(replica.slots, 1);
  return Latency(replica, now) * (1.0 + Load(replica.backend, now) / slots);
}

BackendStates::State& BackendStates::Get(BackendId backend) {
  if (backend >= states_.size()) {
    states_.resize(backend + 1);
  }
  return states_[backend];
}

const BackendStates::State* BackendStates::Find(BackendId backend) const {
  return backend < states_.size() ? &states_[backend] : nullptr;
}

}  // namespace juniperway::routing
