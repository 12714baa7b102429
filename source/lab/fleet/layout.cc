#include "lab/fleet/layout.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace juniperway::lab {
namespace {

std::vector<Zone> ZonesOf(const Deployment& deployment) {
  std::vector<Zone> zones;
  for (const RegionPlan& region : deployment.regions) {
    for (const std::string& zone : region.zones) {
      zones.push_back({zone, region.name});
    }
  }
  return zones;
}

// One control machine a region in turn, so that no region has a majority
// where there are three regions.
std::vector<MachinePlan> PlanControl(const Deployment& deployment) {
  std::vector<MachinePlan> machines;
  for (std::uint32_t index = 0; index < deployment.control_machines; ++index) {
    const std::size_t regions = deployment.regions.size();
    const RegionPlan& region = deployment.regions[index % regions];
    const std::string& zone =
        region.zones[index / regions % region.zones.size()];
    machines.push_back(
        {fmt::format("control-{}", index + 1), {zone, region.name}});
  }
  return machines;
}

std::vector<MachinePlan> PlanGateways(const Deployment& deployment,
                                      const std::vector<Zone>& zones) {
  std::vector<MachinePlan> machines;
  for (std::uint32_t number = 1; number <= deployment.gateways_per_zone;
       ++number) {
    for (const Zone& zone : zones) {
      machines.push_back(
          {fmt::format("{}-gateway-{}", zone.name, number), zone});
    }
  }
  return machines;
}

ServiceLayout LayOutService(const ServicePlan& plan, const std::string& name,
                            std::size_t first_zone,
                            const std::vector<Zone>& zones) {
  ServiceLayout service;
  service.name = name;
  service.plan = plan;
  service.partitions = EvenPartitions("shard-", plan.shards);
  for (std::uint32_t index = 0; index < plan.backends; ++index) {
    service.backends.push_back({fmt::format("{}-b{}", name, index + 1),
                                name,
                                zones[(first_zone + index) % zones.size()],
                                {}});
  }
  AssignShards(service.partitions, plan.replicas, service.backends);
  return service;
}

// Lower is better: a region and a zone not used yet, few shards.
std::tuple<bool, bool, std::size_t> PlacementCost(
    const BackendPlan& candidate, const std::vector<const BackendPlan*>& used) {
  bool same_region = false;
  bool same_zone = false;
  for (const BackendPlan* other : used) {
    same_region |= other->zone.region == candidate.zone.region;
    same_zone |= other->zone.name == candidate.zone.name;
  }
  return {same_region, same_zone, candidate.shards.size()};
}

const std::string& ClassName(const ServicePlan& plan, bool repeatable) {
  static const std::string none;
  for (const resources::RequestClass& request_class : plan.request_classes) {
    if (request_class.repeatable == repeatable) {
      return request_class.name;
    }
  }
  return none;
}

}  // namespace

Layout MakeLayout(const Deployment& deployment) {
  Layout layout;
  layout.zones = ZonesOf(deployment);
  layout.control = PlanControl(deployment);
  layout.gateways = PlanGateways(deployment, layout.zones);
  std::size_t first_zone = 0;
  for (const ServicePlan& plan : deployment.services) {
    for (std::uint32_t number = 1; number <= plan.count; ++number) {
      const std::string name =
          plan.count == 1 ? plan.name : fmt::format("{}-{}", plan.name, number);
      layout.services.push_back(
          LayOutService(plan, name, first_zone, layout.zones));
      ++first_zone;
    }
  }
  return layout;
}

void AssignShards(const std::vector<resources::Partition>& partitions,
                  std::uint32_t replicas, std::vector<BackendPlan>& backends) {
  for (std::size_t index = 0; index < partitions.size(); ++index) {
    std::vector<const BackendPlan*> used;
    const std::size_t wanted = std::min<std::size_t>(replicas, backends.size());
    while (used.size() < wanted) {
      BackendPlan* best = nullptr;
      for (std::size_t step = 0; step < backends.size(); ++step) {
        BackendPlan& candidate = backends[(index + step) % backends.size()];
        const bool taken =
            std::find(used.begin(), used.end(), &candidate) != used.end();
        if (!taken && (best == nullptr || PlacementCost(candidate, used) <
                                              PlacementCost(*best, used))) {
          best = &candidate;
        }
      }
      best->shards.insert(partitions[index].shard);
      used.push_back(best);
    }
  }
}

BackendSettings MakeBackendSettings(const ServiceLayout& service,
                                    const BackendPlan& backend,
                                    resources::IndexVersion index_version,
                                    std::uint64_t seed) {
  BackendSettings settings;
  settings.name = backend.name;
  settings.service = service.name;
  settings.slots = service.plan.slots;
  settings.maximum_connections = service.plan.connections;
  settings.median_service_time = service.plan.median_service_time;
  settings.service_time_sigma = service.plan.service_time_sigma;
  settings.cold_start = service.plan.cold_start;
  settings.record_count = service.plan.records;
  settings.holdings =
      MakeHoldings(service.partitions, backend.shards, index_version);
  settings.seed = seed;
  return settings;
}

std::vector<Holding> MakeHoldings(
    const std::vector<resources::Partition>& partitions,
    const std::set<std::string>& shards,
    resources::IndexVersion index_version) {
  std::vector<Holding> holdings;
  for (const resources::Partition& partition : partitions) {
    if (shards.contains(partition.shard)) {
      holdings.push_back({index_version, partition.shard, partition.range});
    }
  }
  return holdings;
}

resources::Resource MakeServiceResource(const ServiceLayout& service) {
  const ServicePlan& plan = service.plan;
  resources::Service specification;
  specification.request_classes = plan.request_classes;
  specification.answer_policy = plan.answer_policy;
  if (plan.soft_deadline > Duration(0)) {
    specification.soft_deadline = plan.soft_deadline;
  }
  specification.minimum_coverage = plan.minimum_coverage;
  specification.default_deadline = plan.deadline;
  specification.queue_limit = plan.queue_limit;
  resources::Resource resource;
  resource.id = {resources::Kind::kService, service.name};
  resource.specification = specification;
  return resource;
}

resources::Resource MakeBackendResource(const ServiceLayout& service,
                                        const BackendPlan& backend,
                                        const std::string& address) {
  resources::Backend specification;
  specification.service = service.name;
  specification.address = address;
  specification.zone = backend.zone.name;
  specification.slots = service.plan.slots;
  specification.maximum_connections = service.plan.connections;
  specification.shards = backend.shards;
  specification.slow_start = service.plan.cold_start;
  resources::Resource resource;
  resource.id = {resources::Kind::kBackend, backend.name};
  resource.specification = specification;
  return resource;
}

resources::Resource MakeSnapshotResource(
    const std::string& service, resources::IndexVersion index_version,
    const std::vector<resources::Partition>& partitions) {
  resources::IndexSnapshot specification;
  specification.service = service;
  specification.index_version = index_version;
  specification.partitions = partitions;
  resources::Resource resource;
  resource.id = {resources::Kind::kIndexSnapshot,
                 fmt::format("{}-{}", service, index_version)};
  resource.specification = specification;
  return resource;
}

WorkloadSettings MakeWorkload(const Layout& layout, double rate,
                              std::uint64_t seed) {
  WorkloadSettings workload;
  workload.rate = rate;
  workload.seed = seed;
  for (const ServiceLayout& service : layout.services) {
    ServiceLoad load;
    load.service = service.name;
    load.weight = service.plan.weight / service.plan.count;
    load.deadline = service.plan.deadline;
    load.repeatable_class = ClassName(service.plan, true);
    load.non_repeatable_class = ClassName(service.plan, false);
    load.non_repeatable_share = service.plan.non_repeatable_share;
    workload.services.push_back(load);
  }
  return workload;
}

}  // namespace juniperway::lab
