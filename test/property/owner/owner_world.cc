#include "property/owner/owner_world.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "common/owner/backend_gate.h"
#include "common/owner/ownership_tracker.h"

namespace juniperway::owner::testing {
namespace {

using protocol::SubqueryOutcome;
using resources::Revision;

constexpr Duration kLease = milliseconds(400);
constexpr Duration kHeartbeat = milliseconds(50);
constexpr Duration kRemovalDelay = milliseconds(300);
constexpr Duration kProbeInterval = milliseconds(200);

// Runs things at virtual times; ties in the order they were asked for.
class Timeline {
 public:
  MonotonicTime now() const { return now_; }

  void After(Duration delay, std::function<void()> run) {
    items_.push({now_ + delay, next_++, std::move(run)});
  }

  void RunUntil(MonotonicTime end) {
    while (!items_.empty() && items_.top().at <= end) {
      const Item item = items_.top();
      items_.pop();
      now_ = item.at;
      item.run();
    }
  }

 private:
  struct Item {
    MonotonicTime at;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const Item& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };
  MonotonicTime now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Item> items_;
};

// One owner's use of one back end.
struct Use {
  BackendGate gate;
  // Searches that the back end has not ended yet.
  std::set<SubqueryId> running;
  // Subqueries without a result.
  std::set<SubqueryId> open;
  // Cancels and probes of an earlier life are not answered any more.
  std::uint64_t generation = 0;
  std::uint32_t calls = 0;
  bool drain_known = false;
};

struct Owner {
  std::string name;
  std::unique_ptr<OwnershipTracker> tracker;
  session::FleetViewPointer view;
  std::map<std::string, std::unique_ptr<Use>> uses;
  std::optional<MonotonicTime> lease_end;
  bool leased = false;
  // No message gets through in either direction.
  MonotonicTime cut_until;
};

// What the control leader knows of one owner.
struct Record {
  std::optional<MonotonicTime> lease_end;
  MonotonicTime unleased_since;
  Revision confirmed = 0;
  Revision released = 0;
};

class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options), random_(options.seed) {}

  WorldResult Run();

 private:
  // --- Chance ---
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }
  bool Chance(int percent) { return Between(1, 100) <= percent; }
  Duration Delay(std::int64_t low_ms, std::int64_t high_ms) {
    return Duration(Between(low_ms * 1000, high_ms * 1000));
  }

  // --- Control leader ---
  void PublishView(const std::function<void(session::FleetView&)>& change);
  void ChangeSomething();
  void OnHeartbeat(Owner& owner, MonotonicTime sent, Revision confirmed,
                   Revision released, bool holds_lease);
  void AdvanceWatermarks();
  void ControlTick();

  // --- Owners ---
  void OwnerTick(Owner& owner);
  void SendHeartbeat(Owner& owner);
  void FetchView(Owner& owner);
  void TakeView(Owner& owner, const session::FleetViewPointer& view);
  void CheckLease(Owner& owner);
  void RefreshAccess(Owner& owner);
  void NoteLetGo(Owner& owner);
  void Arrive();
  void Perform(Owner& owner, const std::string& backend, Use& use,
               const GateActions& actions);
  void StartSearch(Owner& owner, const std::string& backend, Use& use,
                   SubqueryId id);
  void EndSearch(Owner& owner, const std::string& backend, Use& use,
                 SubqueryId id);
  void SendCall(Owner& owner, const std::string& backend, Use& use,
                SubqueryId id, bool probe);
  void CutOff(Owner& owner);
  BackendReply RandomReply();

  void Note(EventKind kind, const Owner& owner, const std::string& backend,
            SubqueryId id = 0);

  WorldOptions options_;
  std::mt19937_64 random_;
  Timeline timeline_;
  WorldResult result_;
  std::vector<session::FleetViewPointer> views_;
  std::map<std::string, Record> records_;
  Revision in_force_ = 0;
  Revision zone_released_ = 0;
  std::map<std::string, std::unique_ptr<Owner>> owners_;
  SubqueryId next_id_ = 1;
  bool accepting_ = true;
};

void World::Note(EventKind kind, const Owner& owner, const std::string& backend,
                 SubqueryId id) {
  result_.history.push_back(
      {kind, timeline_.now(), owner.name, backend, id, {}, {}});
}

// ---------------------------------------------------------------- Control

void World::PublishView(
    const std::function<void(session::FleetView&)>& change) {
  auto view = views_.empty()
                  ? std::make_shared<session::FleetView>()
                  : std::make_shared<session::FleetView>(*views_.back());
  view->revision = views_.size() + 1;
  change(*view);
  views_.push_back(std::move(view));
}

void World::ChangeSomething() {
  PublishView([this](session::FleetView& view) {
    const std::string owner = "g" + std::to_string(Between(1, options_.owners));
    const std::string backend =
        "b" + std::to_string(Between(1, options_.backends));
    if (Chance(70) && view.members.contains(owner)) {
      session::Member& member = view.members[owner];
      member.leaving = !member.leaving;
    } else {
      resources::Backend& changed = view.backends[backend];
      changed.drain = !changed.drain;
    }
  });
  // Often more than one change at a time, so that views get skipped.
  timeline_.After(Chance(40) ? Delay(0, 3) : Delay(20, 300),
                  [this] { ChangeSomething(); });
}

void World::OnHeartbeat(Owner& owner, MonotonicTime sent, Revision confirmed,
                        Revision released, bool holds_lease) {
  Record& record = records_[owner.name];
  if (!views_.back()->members.contains(owner.name)) {
    PublishView([&owner](session::FleetView& view) {
      session::Member& member = view.members[owner.name];
      member.daemon_id = owner.name;
      member.incarnation = 1;
      member.zone = "z";
      member.gateway = true;
    });
    record.unleased_since = timeline_.now();
    return;
  }
  if (record.lease_end) {
    record.confirmed = std::max(record.confirmed, confirmed);
    record.released = std::max(record.released, released);
  }
  const bool renewal = record.lease_end && holds_lease;
  if (!renewal && (confirmed < in_force_ || released < zone_released_)) {
    return;
  }
  record.confirmed = std::max(record.confirmed, confirmed);
  record.released = std::max(record.released, released);
  record.lease_end = timeline_.now() + kLease;
  timeline_.After(Delay(0, 5), [this, &owner, sent] {
    if (timeline_.now() < owner.cut_until) {
      return;
    }
    owner.lease_end = std::max(owner.lease_end.value_or(sent), sent + kLease);
    CheckLease(owner);
  });
}

void World::AdvanceWatermarks() {
  Revision confirmed = views_.back()->revision;
  Revision released = views_.back()->revision;
  bool any = false;
  for (auto& [name, record] : records_) {
    if (!record.lease_end) {
      continue;
    }
    any = true;
    confirmed = std::min(confirmed, record.confirmed);
    released = std::min(released, record.released);
  }
  if (any) {
    in_force_ = std::max(in_force_, confirmed);
    zone_released_ = std::max(zone_released_, released);
  }
}

void World::ControlTick() {
  for (auto& [name, record] : records_) {
    if (record.lease_end && *record.lease_end <= timeline_.now()) {
      record.lease_end.reset();
      record.unleased_since = timeline_.now();
    }
    if (!record.lease_end && views_.back()->members.contains(name) &&
        timeline_.now() > record.unleased_since + kRemovalDelay) {
      PublishView([&](session::FleetView& view) { view.members.erase(name); });
    }
  }
  AdvanceWatermarks();
  timeline_.After(milliseconds(2), [this] { ControlTick(); });
}

// ----------------------------------------------------------------- Owners

void World::OwnerTick(Owner& owner) {
  CheckLease(owner);
  SendHeartbeat(owner);
  if (Chance(1)) {
    owner.cut_until = timeline_.now() + Delay(50, 1500);
  }
  timeline_.After(kHeartbeat, [this, &owner] { OwnerTick(owner); });
}

void World::SendHeartbeat(Owner& owner) {
  if (timeline_.now() < owner.cut_until) {
    return;
  }
  Revision released = owner.tracker->released();
  const Revision seen = owner.view ? owner.view->revision : 0;
  if (options_.defect == PlantedDefect::kReleaseEarly) {
    released = seen;
  }
  timeline_.After(Delay(0, 5), [this, &owner, sent = timeline_.now(), seen,
                                released, leased = owner.leased] {
    if (timeline_.now() >= owner.cut_until) {
      OnHeartbeat(owner, sent, seen, released, leased);
    }
  });
  // The watermarks as of the answer.
  timeline_.After(Delay(5, 10), [this, &owner] {
    if (timeline_.now() >= owner.cut_until) {
      CheckLease(owner);
      owner.tracker->OnInForce(in_force_);
      owner.tracker->OnZoneReleased(zone_released_);
      RefreshAccess(owner);
    }
  });
}

void World::FetchView(Owner& owner) {
  const std::size_t seen = owner.view ? owner.view->revision : 0;
  if (seen < views_.size() && timeline_.now() >= owner.cut_until) {
    // Mostly the newest, sometimes the next one.
    const std::size_t next = Chance(40) ? seen + 1 : views_.size();
    if (next != seen + 1) {
      ++result_.skipped_views;
    }
    timeline_.After(Delay(0, 20), [this, &owner, view = views_[next - 1]] {
      if (timeline_.now() >= owner.cut_until) {
        TakeView(owner, view);
      }
    });
  }
  timeline_.After(Delay(1, 60), [this, &owner] { FetchView(owner); });
}

void World::TakeView(Owner& owner, const session::FleetViewPointer& view) {
  CheckLease(owner);
  if (owner.view && view->revision <= owner.view->revision) {
    return;
  }
  owner.view = view;
  const auto change = owner.tracker->OnView(view);
  if (options_.defect == PlantedDefect::kReleaseSkippedViews) {
    owner.tracker->OnInForce(view->revision);
  }
  result_.ownership_changes += change.gained.size();
  for (auto& [name, use] : owner.uses) {
    const bool drain = view->backends.at(name).drain;
    if (drain != use->drain_known) {
      use->drain_known = drain;
      Note(drain ? EventKind::kDrainKnown : EventKind::kDrainEnded, owner,
           name);
    }
    if (options_.defect != PlantedDefect::kIgnoreDrain) {
      Perform(owner, name, *use,
              use->gate.SetDraining(DrainSource::kOperator, drain,
                                    timeline_.now()));
    }
  }
  RefreshAccess(owner);
  SendHeartbeat(owner);
}

void World::CheckLease(Owner& owner) {
  const bool leased = owner.lease_end && timeline_.now() < *owner.lease_end;
  if (leased == owner.leased) {
    return;
  }
  owner.leased = leased;
  if (leased) {
    owner.tracker->OnLeaseGained();
    RefreshAccess(owner);
    return;
  }
  ++result_.lost_leases;
  CutOff(owner);
  owner.tracker->OnLeaseLost();
  RefreshAccess(owner);
}

void World::CutOff(Owner& owner) {
  if (options_.defect == PlantedDefect::kKeepRunningWithoutLease) {
    return;
  }
  for (auto& [name, use] : owner.uses) {
    Perform(owner, name, *use, use->gate.CutOff(timeline_.now()));
    ++use->generation;
    for (; use->calls > 0; --use->calls) {
      Note(EventKind::kCallEnd, owner, name);
    }
  }
}

void World::RefreshAccess(Owner& owner) {
  for (auto& [name, use] : owner.uses) {
    GateAccess access = owner.tracker->AccessTo(name);
    if (options_.defect == PlantedDefect::kIgnoreWatermark &&
        access == GateAccess::kWaiting) {
      access = GateAccess::kOpen;
    }
    Perform(owner, name, *use, use->gate.SetAccess(access, timeline_.now()));
  }
  NoteLetGo(owner);
}

void World::NoteLetGo(Owner& owner) {
  for (auto& [name, use] : owner.uses) {
    if (use->gate.access() != GateAccess::kOpen && use->gate.idle()) {
      owner.tracker->OnLetGo(name);
    }
  }
}

void World::Arrive() {
  if (!accepting_) {
    return;
  }
  const std::string backend =
      "b" + std::to_string(Between(1, options_.backends));
  // Mostly the owner by the newest view, sometimes whoever.
  const auto* member = routing::OwnerOf(backend, "z", *views_.back());
  const std::string name =
      member != nullptr && Chance(80)
          ? member->daemon_id
          : "g" + std::to_string(Between(1, options_.owners));
  Owner& owner = *owners_.at(name);
  Use& use = *owner.uses.at(backend);
  const SubqueryId id = next_id_++;
  const MonotonicTime deadline =
      timeline_.now() + Delay(0, Chance(5) ? 3000 : 120);
  CheckLease(owner);
  Note(EventKind::kSubmit, owner, backend, id);
  result_.history.back().deadline = deadline;
  use.open.insert(id);
  Perform(owner, backend, use, use.gate.Submit(id, deadline, timeline_.now()));
  if (Chance(15)) {
    timeline_.After(Delay(0, 60), [this, &owner, backend, &use, id] {
      CheckLease(owner);
      Perform(owner, backend, use, use.gate.Cancel(id, timeline_.now()));
      if (options_.defect == PlantedDefect::kFreeSlotOnCancel) {
        Perform(owner, backend, use,
                use.gate.OnReply(id, BackendReply(), timeline_.now()));
      }
    });
  }
  const std::int64_t mean_gap_us = 1'000'000 / options_.arrivals;
  timeline_.After(Duration(Between(0, 2 * mean_gap_us)), [this] { Arrive(); });
}

void World::Perform(Owner& owner, const std::string& backend, Use& use,
                    const GateActions& actions) {
  for (const GateAction& action : actions) {
    switch (action.kind) {
      case GateActionKind::kStart:
        StartSearch(owner, backend, use, action.id);
        break;
      case GateActionKind::kFinish:
        use.open.erase(action.id);
        Note(EventKind::kResult, owner, backend, action.id);
        result_.history.back().outcome = action.outcome;
        break;
      case GateActionKind::kSendCancel:
        SendCall(owner, backend, use, action.id, /*probe=*/false);
        break;
      case GateActionKind::kCloseConnection:
        EndSearch(owner, backend, use, action.id);
        break;
      case GateActionKind::kProbe:
        SendCall(owner, backend, use, 0, /*probe=*/true);
        break;
    }
  }
  // As the shell does: a timer at the gate's next time.
  if (const auto next = use.gate.NextTimer(timeline_.now())) {
    const Duration delay = std::max(Duration::zero(), *next - timeline_.now());
    timeline_.After(delay, [this, &owner, backend, &use] {
      CheckLease(owner);
      const auto due = use.gate.NextTimer(timeline_.now());
      if (due && *due <= timeline_.now()) {
        Perform(owner, backend, use, use.gate.OnTimer(timeline_.now()));
        NoteLetGo(owner);
      }
    });
  }
}

BackendReply World::RandomReply() {
  BackendReply reply;
  const std::int64_t dice = Between(1, 100);
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

void World::StartSearch(Owner& owner, const std::string& backend, Use& use,
                        SubqueryId id) {
  Note(EventKind::kStart, owner, backend, id);
  use.running.insert(id);
  if (Chance(4)) {
    return;  // The back end never answers.
  }
  timeline_.After(Delay(1, Chance(5) ? 300 : 12), [this, &owner, backend, &use,
                                                   id] {
    CheckLease(owner);
    if (!use.running.contains(id)) {
      return;
    }
    const BackendReply reply = RandomReply();
    EndSearch(owner, backend, use, id);
    if (use.open.erase(id) > 0) {
      Note(EventKind::kResult, owner, backend, id);
      result_.history.back().outcome = reply.outcome;
    }
    Perform(owner, backend, use, use.gate.OnReply(id, reply, timeline_.now()));
    NoteLetGo(owner);
  });
}

void World::EndSearch(Owner& owner, const std::string& backend, Use& use,
                      SubqueryId id) {
  if (use.running.erase(id) > 0) {
    Note(EventKind::kEnd, owner, backend, id);
  }
}

void World::SendCall(Owner& owner, const std::string& backend, Use& use,
                     SubqueryId id, bool probe) {
  Note(EventKind::kCallBegin, owner, backend, id);
  ++use.calls;
  timeline_.After(Delay(1, 10), [this, &owner, backend, &use, id, probe,
                                 generation = use.generation] {
    if (generation != use.generation) {
      return;
    }
    --use.calls;
    Note(EventKind::kCallEnd, owner, backend, id);
    CheckLease(owner);
    if (generation != use.generation) {
      return;
    }
    const MonotonicTime now = timeline_.now();
    if (probe) {
      Perform(owner, backend, use,
              use.gate.OnProbeDone(BackendGate::ProbeResult{Chance(2), false},
                                   now));
    } else {
      Perform(owner, backend, use, use.gate.OnCancelDone(now));
      if (use.running.contains(id) && Chance(70)) {
        EndSearch(owner, backend, use, id);
        BackendReply stopped;
        stopped.kind = ReplyKind::kStopped;
        stopped.answered = true;
        Perform(owner, backend, use, use.gate.OnReply(id, stopped, now));
      }
    }
    NoteLetGo(owner);
  });
}

WorldResult World::Run() {
  PublishView([this](session::FleetView& view) {
    for (int i = 1; i <= options_.backends; ++i) {
      resources::Backend& backend = view.backends["b" + std::to_string(i)];
      backend.zone = "z";
      backend.slots = static_cast<std::uint32_t>(Between(1, 4));
      backend.maximum_connections =
          backend.slots + static_cast<std::uint32_t>(Between(0, 3));
      backend.slow_start = Delay(0, 100);
    }
  });
  for (const auto& [name, backend] : views_.back()->backends) {
    result_.limits[name] = {backend.slots, backend.maximum_connections};
  }
  for (int i = 1; i <= options_.owners; ++i) {
    const std::string name = "g" + std::to_string(i);
    auto owner = std::make_unique<Owner>();
    owner->name = name;
    owner->tracker = std::make_unique<OwnershipTracker>(name);
    for (const auto& [backend, resource] : views_.back()->backends) {
      const GateSettings settings{resource.slots, resource.maximum_connections,
                                  8, resource.slow_start};
      owner->uses[backend] = std::make_unique<Use>(
          Use{BackendGate(settings, kProbeInterval, random_()),
              {},
              {},
              0,
              0,
              false});
    }
    owners_[name] = std::move(owner);
  }
  for (auto& [name, owner] : owners_) {
    timeline_.After(Delay(0, 20), [this, &owner = *owner] {
      FetchView(owner);
      OwnerTick(owner);
    });
  }
  timeline_.After(milliseconds(1), [this] { ControlTick(); });
  timeline_.After(milliseconds(500), [this] { ChangeSomething(); });
  timeline_.After(milliseconds(100), [this] { Arrive(); });
  const MonotonicTime end = MonotonicTime(options_.length);
  timeline_.RunUntil(end);
  // Whatever is open gets its result by its deadline.
  accepting_ = false;
  timeline_.RunUntil(end + seconds(4));
  return std::move(result_);
}

}  // namespace

WorldResult RunWorld(const WorldOptions& options) {
  return World(options).Run();
}

}  // namespace juniperway::owner::testing
