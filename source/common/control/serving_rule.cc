#include "common/control/serving_rule.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace juniperway::control {
namespace {

// Counts, for each shard, the backends that can answer at `version`.
std::map<std::string, std::uint32_t> CountHolders(
    const FleetStore& store, const std::string& service,
    resources::IndexVersion version) {
  std::map<std::string, std::uint32_t> holders;
  for (const std::string& name : store.BackendsOf(service)) {
    auto report = store.reports.find(name);
    if (report == store.reports.end() ||
        !report->second.held_versions.contains(version) ||
        store.IsDraining(name)) {
      continue;
    }
    for (const std::string& shard : store.FindBackend(name)->shards) {
      ++holders[shard];
    }
  }
  return holders;
}

}  // namespace

bool HasRequiredHolders(const FleetStore& store, const std::string& service,
                        resources::IndexVersion version) {
  const auto* specification = store.FindService(service);
  const auto* snapshot = store.FindSnapshot(service, version);
  if (specification == nullptr || snapshot == nullptr) {
    return false;
  }
  const auto holders = CountHolders(store, service, version);
  return std::ranges::all_of(
      snapshot->partitions, [&](const resources::Partition& partition) {
        auto count = holders.find(partition.shard);
        return count != holders.end() &&
               count->second >= specification->required_holders;
      });
}

std::optional<resources::IndexVersion> NextServingVersion(
    const FleetStore& store, const std::string& service) {
  auto serving = store.serving.find(service);
  const resources::IndexVersion current =
      serving == store.serving.end() ? 0 : serving->second;
  const auto& snapshots = store.SnapshotsOf(service);
  for (auto candidate = snapshots.rbegin();
       candidate != snapshots.rend() && candidate->first > current;
       ++candidate) {
    if (HasRequiredHolders(store, service, candidate->first)) {
      return candidate->first;
    }
  }
  return std::nullopt;
}

}  // namespace juniperway::control
