// Spreads a deployment over machines: which back end stands in which zone and
// holds which shards, and the resources that declare it. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/resources/resource.h"
#include "lab/backend/settings.h"
#include "lab/caller/workload.h"
#include "lab/fleet/deployment.h"

namespace juniperway::lab {

struct Zone {
  std::string name;
  std::string region;
};

struct MachinePlan {
  std::string name;
  Zone zone;
};

struct BackendPlan {
  std::string name;
  std::string service;
  Zone zone;
  std::set<std::string> shards;
};

struct ServiceLayout {
  std::string name;
  ServicePlan plan;
  std::vector<resources::Partition> partitions;
  std::vector<BackendPlan> backends;
};

struct Layout {
  std::vector<Zone> zones;
  std::vector<MachinePlan> control;
  std::vector<MachinePlan> gateways;
  std::vector<ServiceLayout> services;
};

Layout MakeLayout(const Deployment& deployment);

// Gives each shard to `replicas` back ends: in different regions where that can
// be, else zones, and evenly.
void AssignShards(const std::vector<resources::Partition>& partitions,
                  std::uint32_t replicas, std::vector<BackendPlan>& backends);

// Settings of a stand-in that holds its shards at `index_version`.
BackendSettings MakeBackendSettings(const ServiceLayout& service,
                                    const BackendPlan& backend,
                                    resources::IndexVersion index_version,
                                    std::uint64_t seed);

// What a back end holds of a partition map.
std::vector<Holding> MakeHoldings(
    const std::vector<resources::Partition>& partitions,
    const std::set<std::string>& shards, resources::IndexVersion index_version);

resources::Resource MakeServiceResource(const ServiceLayout& service);
// @param address "ip:port" where owners reach it.
resources::Resource MakeBackendResource(const ServiceLayout& service,
                                        const BackendPlan& backend,
                                        const std::string& address);
resources::Resource MakeSnapshotResource(
    const std::string& service, resources::IndexVersion index_version,
    const std::vector<resources::Partition>& partitions);

// The callers' load on every service of the layout.
WorkloadSettings MakeWorkload(const Layout& layout, double rate,
                              std::uint64_t seed);

}  // namespace juniperway::lab
