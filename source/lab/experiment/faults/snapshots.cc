// New index versions and new partition maps while queries run.
#include <fmt/format.h>

#include <algorithm>

#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr Duration kServeTimeout = seconds(20);
// Queries pinned to the old version have this long to finish.
constexpr Duration kRetireDelay = seconds(2);

// A partition map and who holds which of its shards.
struct Plan {
  std::vector<resources::Partition> partitions;
  std::map<std::string, std::set<std::string>> shards_of_backend;
};

resources::IndexVersion NewestVersion(ExperimentRun& run,
                                      const std::string& service) {
  return *run.fleet().catalog().Published(service).rbegin();
}

Result<void> HoldAll(ExperimentRun& run, const Plan& plan,
                     resources::IndexVersion version) {
  for (const auto& [backend, shards] : plan.shards_of_backend) {
    nlohmann::json holdings = nlohmann::json::array();
    for (const Holding& holding :
         MakeHoldings(plan.partitions, shards, version)) {
      holdings.push_back(HoldingToJson(holding));
    }
    Result<void> held =
        run.fleet().stand_ins().ChangeBackend(backend, {{"hold", holdings}});
    if (!held) {
      return held;
    }
  }
  return {};
}

// Back ends load the new version, then control hears of it.
Result<void> Publish(ExperimentRun& run, const ServiceLayout& service,
                     const Plan& plan) {
  const resources::IndexVersion version = NewestVersion(run, service.name) + 1;
  Result<void> done = HoldAll(run, plan, version);
  if (!done) {
    return done;
  }
  run.fleet().catalog().Publish(service.name, version);
  return run.Change(
      {MakeSnapshotResource(service.name, version, plan.partitions)},
      "snapshot");
}

// The old versions go once no query can be pinned to them.
Result<void> RetireOld(ExperimentRun& run, const ServiceLayout& service) {
  const resources::IndexVersion newest = NewestVersion(run, service.name);
  const bool served = run.RunUntil(kServeTimeout, [&] {
    return run.fleet().AllServe(service.name, newest);
  });
  if (!served) {
    return {};  // A gateway is cut off; it must find its versions again.
  }
  run.RunFor(kRetireDelay);
  std::vector<resources::IndexVersion> old;
  for (const auto version : run.fleet().catalog().Published(service.name)) {
    if (version < newest) {
      old.push_back(version);
    }
  }
  for (const BackendPlan& backend : service.backends) {
    Result<void> retired =
        run.fleet().stand_ins().ChangeBackend(backend.name, {{"retire", old}});
    if (!retired) {
      return retired;
    }
  }
  return {};
}

Plan PresentPlan(const ServiceLayout& service) {
  Plan plan;
  plan.partitions = service.partitions;
  for (const BackendPlan& backend : service.backends) {
    plan.shards_of_backend[backend.name] = backend.shards;
  }
  return plan;
}

// A map of other bounds and shard names, spread over the same back ends.
Plan MakeOtherPlan(const ServiceLayout& service,
                   resources::IndexVersion version) {
  Plan plan;
  plan.partitions = EvenPartitions(fmt::format("v{}-shard-", version),
                                   service.plan.shards + 3);
  std::vector<BackendPlan> backends = service.backends;
  for (BackendPlan& backend : backends) {
    backend.shards.clear();
  }
  AssignShards(plan.partitions, service.plan.replicas, backends);
  for (const BackendPlan& backend : backends) {
    plan.shards_of_backend[backend.name] = backend.shards;
  }
  return plan;
}

// The back ends' resources name the shards of the old and the new map.
Result<void> DeclareShards(ExperimentRun& run, const ServiceLayout& service,
                           const Plan& plan) {
  std::vector<resources::Resource> resources;
  for (const BackendPlan& backend : service.backends) {
    Result<resources::Resource> resource =
        run.fleet().control().Read({resources::Kind::kBackend, backend.name});
    if (!resource) {
      return tl::unexpected<Error>(resource.error());
    }
    const std::set<std::string>& added =
        plan.shards_of_backend.at(backend.name);
    std::get<resources::Backend>(resource->specification)
        .shards.insert(added.begin(), added.end());
    resources.push_back(*std::move(resource));
  }
  return run.Change(resources, "shards");
}

// Every second service, so that some stay as they are.
std::vector<const ServiceLayout*> ChangedServices(const Layout& layout) {
  std::vector<const ServiceLayout*> changed;
  for (std::size_t index = 0; index < layout.services.size(); index += 2) {
    changed.push_back(&layout.services[index]);
  }
  return changed;
}

Result<void> RetireAll(ExperimentRun& run) {
  for (const ServiceLayout* service : ChangedServices(run.fleet().layout())) {
    Result<void> retired = RetireOld(run, *service);
    if (!retired) {
      return retired;
    }
  }
  return {};
}

}  // namespace

Disturbance IndexChange() {
  return {[](ExperimentRun& run) -> Result<void> {
            for (const ServiceLayout* service :
                 ChangedServices(run.fleet().layout())) {
              Result<void> published =
                  Publish(run, *service, PresentPlan(*service));
              if (!published) {
                return published;
              }
            }
            return {};
          },
          RetireAll};
}

Disturbance Repartition() {
  return {[](ExperimentRun& run) -> Result<void> {
            for (const ServiceLayout* service :
                 ChangedServices(run.fleet().layout())) {
              const Plan plan = MakeOtherPlan(
                  *service, NewestVersion(run, service->name) + 1);
              Result<void> done = DeclareShards(run, *service, plan);
              if (done) {
                done = Publish(run, *service, plan);
              }
              if (!done) {
                return done;
              }
            }
            return {};
          },
          RetireAll};
}

}  // namespace juniperway::lab
