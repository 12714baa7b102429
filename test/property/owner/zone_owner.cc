#include "property/owner/zone_owner.h"

#include <algorithm>
#include <utility>

namespace juniperway::owner::testing {
namespace {

using protocol::SubqueryOutcome;
using resources::Revision;

constexpr Duration kProbeInterval = milliseconds(200);
constexpr std::uint32_t kQueueLimit = 8;

}  // namespace

ZoneOwner::ZoneOwner(std::string name, const session::FleetView& view,
                     ZoneContext context)
    : name_(std::move(name)),
      timeline_(context.timeline),
      random_(context.random),
      result_(context.result),
      defect_(context.defect),
      tracker_(name_) {
  for (const auto& [backend, resource] : view.backends) {
    const GateSettings settings{resource.slots, resource.maximum_connections,
                                kQueueLimit, resource.slow_start};
    backends_[backend] = std::make_unique<BackendState>(BackendState{
        backend, BackendGate(settings, kProbeInterval, random_.Seed())});
  }
}

void ZoneOwner::Record(EventKind kind, const BackendState& state,
                       SubqueryId id) {
  result_.history.push_back(
      {kind, timeline_.now(), name_, state.backend, id, {}, {}});
}

void ZoneOwner::RecordResult(const BackendState& state, SubqueryId id,
                             SubqueryOutcome outcome) {
  Record(EventKind::kResult, state, id);
  result_.history.back().outcome = outcome;
}

Heartbeat ZoneOwner::MakeHeartbeat() {
  const Revision released =
      defect_ == PlantedDefect::kReleaseEarly ? seen() : tracker_.released();
  return {name_, seen(), released, leased_};
}

void ZoneOwner::TakeView(const session::FleetViewPointer& view) {
  CheckLease();
  if (view->revision <= seen()) {
    return;
  }
  view_ = view;
  const auto change = tracker_.OnView(view);
  if (defect_ == PlantedDefect::kReleaseSkippedViews) {
    tracker_.OnInForce(view->revision);
  }
  result_.ownership_changes += change.gained.size();
  for (auto& [backend, state] : backends_) {
    TakeDrain(*state, view->backends.at(backend).drain);
  }
  RefreshAccess();
}

void ZoneOwner::TakeDrain(BackendState& state, bool drain) {
  if (drain != state.drain_known) {
    state.drain_known = drain;
    Record(drain ? EventKind::kDrainKnown : EventKind::kDrainEnded, state);
  }
  if (defect_ != PlantedDefect::kIgnoreDrain) {
    Perform(state, state.gate.SetDraining(DrainSource::kOperator, drain,
                                          timeline_.now()));
  }
}

void ZoneOwner::TakeLease(MonotonicTime sent) {
  lease_end_ = std::max(lease_end_.value_or(sent), sent + kLease);
  CheckLease();
}

void ZoneOwner::TakeWatermarks(Revision in_force, Revision zone_released) {
  CheckLease();
  tracker_.OnInForce(in_force);
  tracker_.OnZoneReleased(zone_released);
  RefreshAccess();
}

void ZoneOwner::CheckLease() {
  const bool leased = lease_end_ && timeline_.now() < *lease_end_;
  if (leased == leased_) {
    return;
  }
  leased_ = leased;
  if (leased) {
    tracker_.OnLeaseGained();
  } else {
    ++result_.lost_leases;
    CutOff();
    tracker_.OnLeaseLost();
  }
  RefreshAccess();
}

void ZoneOwner::CutOff() {
  if (defect_ == PlantedDefect::kKeepRunningWithoutLease) {
    return;
  }
  for (auto& [backend, state] : backends_) {
    Perform(*state, state->gate.CloseAllConnections(timeline_.now()));
    ++state->generation;
    for (; state->calls > 0; --state->calls) {
      Record(EventKind::kCallEnd, *state);
    }
  }
}

void ZoneOwner::RefreshAccess() {
  for (auto& [backend, state] : backends_) {
    GateAccess access = tracker_.AccessTo(backend);
    if (defect_ == PlantedDefect::kIgnoreWatermark &&
        access == GateAccess::kAwaitingRelease) {
      access = GateAccess::kOpen;
    }
    Perform(*state, state->gate.SetAccess(access, timeline_.now()));
  }
  RecordReleasedBackends();
}

void ZoneOwner::RecordReleasedBackends() {
  for (auto& [backend, state] : backends_) {
    if (state->gate.access() != GateAccess::kOpen && state->gate.idle()) {
      tracker_.OnBackendReleased(backend);
    }
  }
}

void ZoneOwner::Submit(const std::string& backend, SubqueryId id,
                       MonotonicTime deadline) {
  CheckLease();
  BackendState& state = *backends_.at(backend);
  Record(EventKind::kSubmit, state, id);
  result_.history.back().deadline = deadline;
  state.open.insert(id);
  Perform(state, state.gate.Submit(id, deadline, timeline_.now()));
}

void ZoneOwner::Cancel(const std::string& backend, SubqueryId id) {
  CheckLease();
  BackendState& state = *backends_.at(backend);
  Perform(state, state.gate.Cancel(id, timeline_.now()));
  if (defect_ == PlantedDefect::kFreeSlotOnCancel) {
    Perform(state, state.gate.OnReply(id, BackendReply(), timeline_.now()));
  }
}

void ZoneOwner::Perform(BackendState& state, const GateActions& actions) {
  for (const GateAction& action : actions) {
    PerformOne(state, action);
  }
  ArmTimer(state);
}

void ZoneOwner::PerformOne(BackendState& state, const GateAction& action) {
  switch (action.kind) {
    case GateActionKind::kStart:
      StartSearch(state, action.id);
      return;
    case GateActionKind::kFinish:
      state.open.erase(action.id);
      RecordResult(state, action.id, action.outcome);
      return;
    case GateActionKind::kSendCancel:
      SendCall(state, action.id, /*probe=*/false);
      return;
    case GateActionKind::kCloseConnection:
      EndSearch(state, action.id);
      return;
    case GateActionKind::kProbe:
      SendCall(state, 0, /*probe=*/true);
      return;
  }
}

// Sets a timer to the gate's NextTimer, as the gateway does.
void ZoneOwner::ArmTimer(BackendState& state) {
  const auto next = state.gate.NextTimer(timeline_.now());
  if (!next) {
    return;
  }
  const Duration delay = std::max(Duration::zero(), *next - timeline_.now());
  timeline_.After(delay, [this, &state] {
    CheckLease();
    const auto due = state.gate.NextTimer(timeline_.now());
    if (due && *due <= timeline_.now()) {
      Perform(state, state.gate.OnTimer(timeline_.now()));
      RecordReleasedBackends();
    }
  });
}

BackendReply ZoneOwner::RandomReply() {
  BackendReply reply;
  const std::int64_t percentile = random_.Between(1, 100);
  if (percentile <= 85) {
    reply.kind = ReplyKind::kServed;
    reply.outcome = SubqueryOutcome::kRows;
    reply.answered = true;
  } else if (percentile <= 92) {
    reply.kind = ReplyKind::kShed;
    reply.outcome = SubqueryOutcome::kShed;
    reply.answered = true;
  }  // Otherwise the reply stays kNoUsableAnswer.
  return reply;
}

void ZoneOwner::StartSearch(BackendState& state, SubqueryId id) {
  Record(EventKind::kStart, state, id);
  state.running.insert(id);
  if (random_.Percent(4)) {
    return;  // The backend never answers.
  }
  const int maximum_ms = random_.Percent(5) ? 300 : 12;
  timeline_.After(random_.Delay(1, maximum_ms),
                  [this, &state, id] { OnReply(state, id); });
}

void ZoneOwner::OnReply(BackendState& state, SubqueryId id) {
  CheckLease();
  if (!state.running.contains(id)) {
    return;
  }
  const BackendReply reply = RandomReply();
  EndSearch(state, id);
  if (state.open.erase(id) > 0) {
    RecordResult(state, id, reply.outcome);
  }
  Perform(state, state.gate.OnReply(id, reply, timeline_.now()));
  RecordReleasedBackends();
}

void ZoneOwner::EndSearch(BackendState& state, SubqueryId id) {
  if (state.running.erase(id) > 0) {
    Record(EventKind::kEnd, state, id);
  }
}

void ZoneOwner::SendCall(BackendState& state, SubqueryId id, bool probe) {
  Record(EventKind::kCallBegin, state, id);
  ++state.calls;
  timeline_.After(random_.Delay(1, 10), [this, &state, id, probe,
                                         generation = state.generation] {
    if (generation != state.generation) {
      return;
    }
    --state.calls;
    Record(EventKind::kCallEnd, state, id);
    CheckLease();
    if (generation != state.generation) {
      return;
    }
    if (probe) {
      const BackendGate::ProbeResult health{random_.Percent(2), false};
      Perform(state, state.gate.OnProbeDone(health, timeline_.now()));
    } else {
      OnCancelDone(state, id);
    }
    RecordReleasedBackends();
  });
}

void ZoneOwner::OnCancelDone(BackendState& state, SubqueryId id) {
  Perform(state, state.gate.OnCancelDone(timeline_.now()));
  if (state.running.contains(id) && random_.Percent(70)) {
    EndSearch(state, id);
    BackendReply stopped;
    stopped.kind = ReplyKind::kNotCompleted;
    stopped.answered = true;
    Perform(state, state.gate.OnReply(id, stopped, timeline_.now()));
  }
}

}  // namespace juniperway::owner::testing
