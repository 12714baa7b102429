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
                     ZoneSurroundings surroundings)
    : name_(std::move(name)),
      timeline_(surroundings.timeline),
      chances_(surroundings.chances),
      result_(surroundings.result),
      defect_(surroundings.defect),
      tracker_(name_) {
  for (const auto& [backend, resource] : view.backends) {
    const GateSettings settings{resource.slots, resource.maximum_connections,
                                kQueueLimit, resource.slow_start};
    uses_[backend] = std::make_unique<Use>(
        Use{backend, BackendGate(settings, kProbeInterval, chances_.Seed())});
  }
}

void ZoneOwner::Note(EventKind kind, const Use& use, SubqueryId id) {
  result_.history.push_back(
      {kind, timeline_.now(), name_, use.backend, id, {}, {}});
}

void ZoneOwner::NoteResult(const Use& use, SubqueryId id,
                           SubqueryOutcome outcome) {
  Note(EventKind::kResult, use, id);
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
  for (auto& [backend, use] : uses_) {
    TakeDrain(*use, view->backends.at(backend).drain);
  }
  RefreshAccess();
}

void ZoneOwner::TakeDrain(Use& use, bool drain) {
  if (drain != use.drain_known) {
    use.drain_known = drain;
    Note(drain ? EventKind::kDrainKnown : EventKind::kDrainEnded, use);
  }
  if (defect_ != PlantedDefect::kIgnoreDrain) {
    Perform(use, use.gate.SetDraining(DrainSource::kOperator, drain,
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
  for (auto& [backend, use] : uses_) {
    Perform(*use, use->gate.CutOff(timeline_.now()));
    ++use->generation;
    for (; use->calls > 0; --use->calls) {
      Note(EventKind::kCallEnd, *use);
    }
  }
}

void ZoneOwner::RefreshAccess() {
  for (auto& [backend, use] : uses_) {
    GateAccess access = tracker_.AccessTo(backend);
    if (defect_ == PlantedDefect::kIgnoreWatermark &&
        access == GateAccess::kWaiting) {
      access = GateAccess::kOpen;
    }
    Perform(*use, use->gate.SetAccess(access, timeline_.now()));
  }
  NoteLetGo();
}

void ZoneOwner::NoteLetGo() {
  for (auto& [backend, use] : uses_) {
    if (use->gate.access() != GateAccess::kOpen && use->gate.idle()) {
      tracker_.OnLetGo(backend);
    }
  }
}

void ZoneOwner::Submit(const std::string& backend, SubqueryId id,
                       MonotonicTime deadline) {
  CheckLease();
  Use& use = *uses_.at(backend);
  Note(EventKind::kSubmit, use, id);
  result_.history.back().deadline = deadline;
  use.open.insert(id);
  Perform(use, use.gate.Submit(id, deadline, timeline_.now()));
}

void ZoneOwner::Cancel(const std::string& backend, SubqueryId id) {
  CheckLease();
  Use& use = *uses_.at(backend);
  Perform(use, use.gate.Cancel(id, timeline_.now()));
  if (defect_ == PlantedDefect::kFreeSlotOnCancel) {
    Perform(use, use.gate.OnReply(id, BackendReply(), timeline_.now()));
  }
}

void ZoneOwner::Perform(Use& use, const GateActions& actions) {
  for (const GateAction& action : actions) {
    PerformOne(use, action);
  }
  ArmTimer(use);
}

void ZoneOwner::PerformOne(Use& use, const GateAction& action) {
  switch (action.kind) {
    case GateActionKind::kStart:
      StartSearch(use, action.id);
      return;
    case GateActionKind::kFinish:
      use.open.erase(action.id);
      NoteResult(use, action.id, action.outcome);
      return;
    case GateActionKind::kSendCancel:
      SendCall(use, action.id, /*probe=*/false);
      return;
    case GateActionKind::kCloseConnection:
      EndSearch(use, action.id);
      return;
    case GateActionKind::kProbe:
      SendCall(use, 0, /*probe=*/true);
      return;
  }
}

// As the shell does: a timer at the gate's next time.
void ZoneOwner::ArmTimer(Use& use) {
  const auto next = use.gate.NextTimer(timeline_.now());
  if (!next) {
    return;
  }
  const Duration delay = std::max(Duration::zero(), *next - timeline_.now());
  timeline_.After(delay, [this, &use] {
    CheckLease();
    const auto due = use.gate.NextTimer(timeline_.now());
    if (due && *due <= timeline_.now()) {
      Perform(use, use.gate.OnTimer(timeline_.now()));
      NoteLetGo();
    }
  });
}

BackendReply ZoneOwner::RandomReply() {
  BackendReply reply;
  const std::int64_t dice = chances_.Between(1, 100);
  if (dice <= 85) {
    reply.kind = ReplyKind::kServed;
    reply.outcome = SubqueryOutcome::kRows;
    reply.answered = true;
  } else if (dice <= 92) {
    reply.kind = ReplyKind::kShed;
    reply.outcome = SubqueryOutcome::kShed;
    reply.answered = true;
  }  // Else broken.
  return reply;
}

void ZoneOwner::StartSearch(Use& use, SubqueryId id) {
  Note(EventKind::kStart, use, id);
  use.running.insert(id);
  if (chances_.Percent(4)) {
    return;  // The back end never answers.
  }
  const int longest_ms = chances_.Percent(5) ? 300 : 12;
  timeline_.After(chances_.Delay(1, longest_ms),
                  [this, &use, id] { OnReply(use, id); });
}

void ZoneOwner::OnReply(Use& use, SubqueryId id) {
  CheckLease();
  if (!use.running.contains(id)) {
    return;
  }
  const BackendReply reply = RandomReply();
  EndSearch(use, id);
  if (use.open.erase(id) > 0) {
    NoteResult(use, id, reply.outcome);
  }
  Perform(use, use.gate.OnReply(id, reply, timeline_.now()));
  NoteLetGo();
}

void ZoneOwner::EndSearch(Use& use, SubqueryId id) {
  if (use.running.erase(id) > 0) {
    Note(EventKind::kEnd, use, id);
  }
}

void ZoneOwner::SendCall(Use& use, SubqueryId id, bool probe) {
  Note(EventKind::kCallBegin, use, id);
  ++use.calls;
  timeline_.After(chances_.Delay(1, 10), [this, &use, id, probe,
                                          generation = use.generation] {
    if (generation != use.generation) {
      return;
    }
    --use.calls;
    Note(EventKind::kCallEnd, use, id);
    CheckLease();
    if (generation != use.generation) {
      return;
    }
    if (probe) {
      const BackendGate::ProbeResult health{chances_.Percent(2), false};
      Perform(use, use.gate.OnProbeDone(health, timeline_.now()));
    } else {
      OnCancelDone(use, id);
    }
    NoteLetGo();
  });
}

void ZoneOwner::OnCancelDone(Use& use, SubqueryId id) {
  Perform(use, use.gate.OnCancelDone(timeline_.now()));
  if (use.running.contains(id) && chances_.Percent(70)) {
    EndSearch(use, id);
    BackendReply stopped;
    stopped.kind = ReplyKind::kStopped;
    stopped.answered = true;
    Perform(use, use.gate.OnReply(id, stopped, timeline_.now()));
  }
}

}  // namespace juniperway::owner::testing
