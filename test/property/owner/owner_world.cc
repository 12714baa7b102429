#include "property/owner/owner_world.h"

#include <functional>
#include <memory>
#include <utility>

#include "common/routing/ownership.h"
#include "property/owner/chances.h"
#include "property/owner/zone_control.h"
#include "property/owner/zone_owner.h"
#include "sim/timeline.h"

namespace juniperway::owner::testing {
namespace {

constexpr Duration kHeartbeatInterval = milliseconds(50);
constexpr Duration kControlInterval = milliseconds(2);
// Time at the end of a simulation in which all open subqueries get their
// result. The value exceeds the longest deadline (3 s).
constexpr Duration kSettleTime = seconds(4);

class World {
 public:
  explicit World(const WorldOptions& options)
      : options_(options), random_(options.seed) {}

  WorldResult Run();

 private:
  void DeclareBackends();
  void AddOwners();
  // Performs the periodic work of the control leader.
  void ControlTick();
  void ChangeSomething();
  void RemoveMember(const std::string& name);
  void DrainBackend(const std::string& name);
  // Performs the periodic work of one owner.
  void OwnerTick(ZoneOwner& owner);
  void SendHeartbeat(ZoneOwner& owner);
  void FetchView(ZoneOwner& owner);
  void Arrive();
  std::string DrawOwnerOf(const std::string& backend);
  std::string DrawOwner() {
    return "g" + std::to_string(random_.Between(1, options_.owners));
  }
  std::string DrawBackend() {
    return "b" + std::to_string(random_.Between(1, options_.backends));
  }

  WorldOptions options_;
  RandomSource random_;
  sim::Timeline timeline_;
  WorldResult result_;
  ZoneControl control_;
  std::map<std::string, std::unique_ptr<ZoneOwner>> owners_;
  SubqueryId next_id_ = 1;
  bool accepting_ = true;
};

void World::ControlTick() {
  control_.Tick(timeline_.now());
  timeline_.After(kControlInterval, [this] { ControlTick(); });
}

// Makes one random change, which is reverted after a while, and schedules the
// next change. If changes toggled the state, half of the members would be
// leaving and half of the backends draining at any time, and few searches would
// run.
void World::ChangeSomething() {
  if (random_.Percent(70)) {
    RemoveMember(DrawOwner());
  } else {
    DrainBackend(DrawBackend());
  }
  // The next change often follows within 3 ms, so that owners skip views.
  timeline_.After(
      random_.Percent(40) ? random_.Delay(0, 3) : random_.Delay(40, 600),
      [this] { ChangeSomething(); });
}

void World::RemoveMember(const std::string& name) {
  const auto set = [this, name](bool leaving) {
    const auto member = control_.newest().members.find(name);
    if (member == control_.newest().members.end() ||
        member->second.leaving == leaving) {
      return;
    }
    control_.Publish([&](session::FleetView& view) {
      view.members[name].leaving = leaving;
    });
  };
  set(true);
  timeline_.After(random_.Delay(20, 400), [set] { set(false); });
}

void World::DrainBackend(const std::string& name) {
  const auto set = [this, name](bool drain) {
    control_.Publish(
        [&](session::FleetView& view) { view.backends[name].drain = drain; });
  };
  set(true);
  timeline_.After(random_.Delay(20, 400), [set] { set(false); });
}

void World::OwnerTick(ZoneOwner& owner) {
  owner.CheckLease();
  SendHeartbeat(owner);
  if (random_.Percent(1)) {
    owner.PartitionUntil(timeline_.now() + random_.Delay(50, 1500));
  }
  timeline_.After(kHeartbeatInterval, [this, &owner] { OwnerTick(owner); });
}

void World::SendHeartbeat(ZoneOwner& owner) {
  if (!owner.reachable()) {
    return;
  }
  timeline_.After(random_.Delay(0, 5), [this, &owner, sent = timeline_.now(),
                                        heartbeat = owner.MakeHeartbeat()] {
    if (!owner.reachable() ||
        !control_.OnHeartbeat(heartbeat, timeline_.now())) {
      return;
    }
    timeline_.After(random_.Delay(0, 5), [&owner, sent] {
      if (owner.reachable()) {
        owner.TakeLease(sent);
      }
    });
  });
  // Delivers the watermarks of the time at which the answer arrives.
  timeline_.After(random_.Delay(5, 10), [this, &owner] {
    if (owner.reachable()) {
      owner.TakeWatermarks(control_.in_force(), control_.zone_released());
    }
  });
}

void World::FetchView(ZoneOwner& owner) {
  const resources::Revision newest = control_.newest().revision;
  if (owner.seen() < newest && owner.reachable()) {
    // Fetches mostly the newest view, sometimes the next one.
    const auto next = random_.Percent(40) ? owner.seen() + 1 : newest;
    if (next != owner.seen() + 1) {
      ++result_.skipped_views;
    }
    timeline_.After(random_.Delay(0, 20),
                    [this, &owner, view = control_.view(next)] {
                      if (owner.reachable()) {
                        owner.TakeView(view);
                        SendHeartbeat(owner);
                      }
                    });
  }
  timeline_.After(random_.Delay(1, 60), [this, &owner] { FetchView(owner); });
}

// Returns mostly the owner according to the newest view, sometimes any owner.
std::string World::DrawOwnerOf(const std::string& backend) {
  const auto* member = routing::OwnerOf(backend, kZone, control_.newest());
  return member != nullptr && random_.Percent(80) ? member->daemon_id
                                                  : DrawOwner();
}

void World::Arrive() {
  if (!accepting_) {
    return;
  }
  const std::string backend = DrawBackend();
  ZoneOwner& owner = *owners_.at(DrawOwnerOf(backend));
  const SubqueryId id = next_id_++;
  const int maximum_ms = random_.Percent(5) ? 3000 : 120;
  owner.Submit(backend, id, timeline_.now() + random_.Delay(0, maximum_ms));
  if (random_.Percent(15)) {
    timeline_.After(random_.Delay(0, 60),
                    [&owner, backend, id] { owner.Cancel(backend, id); });
  }
  const std::int64_t mean_gap_us = 1'000'000 / options_.arrivals;
  timeline_.After(Duration(random_.Between(0, 2 * mean_gap_us)),
                  [this] { Arrive(); });
}

void World::DeclareBackends() {
  control_.Publish([this](session::FleetView& view) {
    for (int i = 1; i <= options_.backends; ++i) {
      resources::Backend& backend = view.backends["b" + std::to_string(i)];
      backend.zone = kZone;
      backend.slots = static_cast<std::uint32_t>(random_.Between(1, 4));
      backend.maximum_connections =
          backend.slots + static_cast<std::uint32_t>(random_.Between(0, 3));
      backend.slow_start = random_.Delay(0, 100);
    }
  });
  for (const auto& [name, backend] : control_.newest().backends) {
    result_.limits[name] = {backend.slots, backend.maximum_connections};
  }
}

void World::AddOwners() {
  const ZoneContext context{timeline_, random_, result_, options_.defect};
  for (int i = 1; i <= options_.owners; ++i) {
    const std::string name = "g" + std::to_string(i);
    owners_[name] =
        std::make_unique<ZoneOwner>(name, control_.newest(), context);
  }
  for (auto& [name, owner] : owners_) {
    timeline_.After(random_.Delay(0, 20), [this, &owner = *owner] {
      FetchView(owner);
      OwnerTick(owner);
    });
  }
}

WorldResult World::Run() {
  DeclareBackends();
  AddOwners();
  timeline_.After(milliseconds(1), [this] { ControlTick(); });
  timeline_.After(milliseconds(500), [this] { ChangeSomething(); });
  timeline_.After(milliseconds(100), [this] { Arrive(); });
  const MonotonicTime end = MonotonicTime(options_.length);
  timeline_.RunUntil(end);
  accepting_ = false;
  timeline_.RunUntil(end + kSettleTime);
  return std::move(result_);
}

}  // namespace

WorldResult RunWorld(const WorldOptions& options) {
  return World(options).Run();
}

}  // namespace juniperway::owner::testing
