#include "property/routing/world_fleet.h"

#include <array>

namespace juniperway::routing::testing {
namespace {

constexpr int kGateways = 4;

std::string ShardName(int layout, int number) {
  return std::to_string(layout) + "-" + std::to_string(number);
}

// Returns a snapshot with `layout` partitions of equal width.
resources::IndexSnapshot MakeSnapshot(resources::IndexVersion version,
                                      int layout) {
  resources::IndexSnapshot snapshot{kService, version, {}};
  const Key width = kKeyRangeEnd / static_cast<Key>(layout);
  for (int i = 0; i < layout; ++i) {
    const Key begin = static_cast<Key>(i) * width;
    snapshot.partitions.push_back(
        {{begin, begin + width}, ShardName(layout, i)});
  }
  return snapshot;
}

}  // namespace

std::string BackendName(int number) { return "b" + std::to_string(number); }

WorldFleet::WorldFleet(WorldRandom& random) : random_(random) {
  view_.revision = 1;
  resources::Service service;
  service.retry_budget = kRetryBudgetShare;
  service.hedge_quantile = 0.9;
  if (random_.Chance(0.5)) {
    service.answer_policy = resources::AnswerPolicy::kLatency;
    service.soft_deadline = random_.Between(5, 60);
    service.minimum_coverage = 0.5;
  }
  view_.services[kService] = service;
  AddMembers();
  AddBackends();
  ServeNextVersion();
}

void WorldFleet::AddMembers() {
  for (int i = 0; i < kGateways; ++i) {
    session::Member member;
    member.daemon_id = "g" + std::to_string(i);
    member.zone = "z" + std::to_string(i % 2);
    member.region = "r0";
    member.gateway = true;
    view_.members[member.daemon_id] = member;
  }
}

// Adds the backends, each of which serves two shards of every partition layout.
void WorldFleet::AddBackends() {
  for (int i = 0; i < kBackends; ++i) {
    resources::Backend backend;
    backend.service = kService;
    backend.zone = "z" + std::to_string(i % 2);
    backend.slots = 4;
    for (int layout = 3; layout <= 5; ++layout) {
      backend.shards.insert(ShardName(layout, i % layout));
      backend.shards.insert(ShardName(layout, (i + 1) % layout));
    }
    view_.backends[BackendName(i)] = backend;
  }
}

// Serves the next version with a random partition layout. Most backends drop
// the older versions; the reports in the view may still list those.
void WorldFleet::ServeNextVersion() {
  const resources::IndexVersion version = ++newest_;
  const int layout = 3 + static_cast<int>(random_.Draw(3));
  view_.snapshots[{kService, version}] = MakeSnapshot(version, layout);
  view_.serving[kService] = version;
  for (int i = 0; i < kBackends; ++i) {
    std::set<resources::IndexVersion>& held = held_[BackendName(i)];
    held.insert(version);
    if (random_.Chance(0.8)) {
      held = {version};
    }
    auto& report = view_.reports[BackendName(i)];
    report.held_versions.insert(version);
    if (random_.Chance(0.5)) {
      report.held_versions = held;
    }
  }
}

void WorldFleet::Change() {
  ++view_.revision;
  const std::string backend =
      BackendName(static_cast<int>(random_.Draw(kBackends)));
  switch (random_.Draw(6)) {
    case 0:
      view_.backends[backend].drain = !view_.backends[backend].drain;
      return;
    case 1:
      view_.machines[backend].leaving = !view_.machines[backend].leaving;
      return;
    case 2: {
      const std::string gateway = "g" + std::to_string(random_.Draw(kGateways));
      view_.members[gateway].leaving = !view_.members[gateway].leaving;
      return;
    }
    default:
      ServeNextVersion();
  }
}

bool WorldFleet::Holds(const std::string& backend,
                       resources::IndexVersion version) const {
  return held_.at(backend).contains(version);
}

bool WorldFleet::IsDraining(const std::string& backend) const {
  const auto machine = view_.machines.find(backend);
  const bool leaves =
      machine != view_.machines.end() && machine->second.leaving;
  return leaves || view_.backends.at(backend).drain;
}

SubqueryHandling DrawHandling(WorldRandom& random, bool holds_snapshot,
                              Duration remaining) {
  constexpr std::array kRefusals = {
      SubqueryOutcome::kShed, SubqueryOutcome::kNotOwner,
      SubqueryOutcome::kDraining, SubqueryOutcome::kUnreachable};
  if (!holds_snapshot) {
    return {SubqueryOutcome::kWrongSnapshot, random.Between(0, 2)};
  }
  if (random.Chance(0.12)) {
    return {kRefusals[random.Draw(kRefusals.size())], random.Between(0, 2)};
  }
  if (random.Chance(0.05)) {
    return {SubqueryOutcome::kExpiredUnstarted, remaining};
  }
  const Duration work =
      random.Chance(0.1) ? random.Between(20, 200) : random.Between(1, 8);
  SubqueryHandling handling{SubqueryOutcome::kRows, work, /*begun=*/true};
  if (work > remaining) {
    handling.outcome = SubqueryOutcome::kExpiredStarted;
    handling.after = remaining;
  } else if (random.Chance(0.06)) {
    handling.outcome = SubqueryOutcome::kLost;
  }
  handling.silent = random.Chance(0.04);
  return handling;
}

}  // namespace juniperway::routing::testing
