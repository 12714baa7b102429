// Tests that a RoutingTable that reuses routes of the previous view equals a
// table that is built from the view alone.
#include "common/routing/routing_table.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace juniperway::routing {
namespace {

constexpr int kServices = 3;
constexpr int kBackends = 24;
constexpr int kGateways = 5;
constexpr int kShards = 4;

std::string Numbered(const std::string& prefix, std::uint64_t number) {
  return prefix + std::to_string(number);
}

// Fleet view with random changes of backends, reports, machines, members and
// snapshots.
class ChangingView {
 public:
  ChangingView() {
    for (int service = 0; service < kServices; ++service) {
      const std::string name = Numbered("service-", service);
      view_.services[name] = {};
      view_.serving[name] = 1;
      PublishSnapshot(name, 1);
    }
  }

  session::FleetViewPointer Next() {
    ++view_.revision;
    for (std::uint64_t changes = 1 + random_() % 3; changes > 0; --changes) {
      ChangeOne();
    }
    return std::make_shared<const session::FleetView>(view_);
  }

 private:
  void PublishSnapshot(const std::string& service,
                       resources::IndexVersion index_version) {
    resources::IndexSnapshot snapshot;
    snapshot.service = service;
    snapshot.index_version = index_version;
    for (std::uint64_t shard = 0; shard < kShards; ++shard) {
      snapshot.partitions.push_back(
          {{shard * 10, shard * 10 + 10}, Numbered("shard-", shard)});
    }
    view_.snapshots[{service, index_version}] = snapshot;
  }

  void ChangeOne() {
    const std::string backend = Numbered("backend-", random_() % kBackends);
    const std::string gateway = Numbered("gateway-", random_() % kGateways);
    switch (random_() % 8) {
      case 0:
        PutBackend(backend);
        break;
      case 1:
        view_.backends.erase(backend);
        break;
      case 2:
        view_.reports[backend].held_versions = {1, random_() % 3};
        break;
      case 3:
        view_.reports[backend].draining = random_() % 2 == 0;
        break;
      case 4:
        view_.machines[backend].leaving = random_() % 2 == 0;
        break;
      case 5:
        view_.members.erase(gateway);
        break;
      default:
        PutMember(gateway);
    }
    const std::string service = Numbered("service-", random_() % kServices);
    if (random_() % 10 == 0) {
      PublishSnapshot(service, 2);
    } else if (random_() % 10 == 0) {
      view_.snapshots.erase({service, 2});
    }
  }

  void PutBackend(const std::string& name) {
    resources::Backend& backend = view_.backends[name];
    backend.service = Numbered("service-", random_() % kServices);
    backend.zone = Numbered("zone-", random_() % 2);
    backend.slots = 1 + random_() % 3;
    backend.drain = random_() % 4 == 0;
    backend.shards = {Numbered("shard-", random_() % kShards)};
  }

  void PutMember(const std::string& name) {
    session::Member& member = view_.members[name];
    member.daemon_id = name;
    member.gateway = true;
    member.leaving = random_() % 4 == 0;
    member.zone = Numbered("zone-", random_() % 2);
    member.region = Numbered("region-", random_() % 2);
  }

  std::mt19937_64 random_{5};
  session::FleetView view_;
};

void CheckSameRoutes(const SnapshotRoutePointer& route,
                     const SnapshotRoutePointer& expected) {
  REQUIRE((route == nullptr) == (expected == nullptr));
  if (route == nullptr) {
    return;
  }
  REQUIRE(route->partitions.size() == expected->partitions.size());
  for (std::size_t i = 0; i < route->partitions.size(); ++i) {
    const PartitionRoute& partition = route->partitions[i];
    const PartitionRoute& wanted = expected->partitions[i];
    CHECK(partition.all_draining == wanted.all_draining);
    REQUIRE(partition.replicas.size() == wanted.replicas.size());
    for (std::size_t j = 0; j < partition.replicas.size(); ++j) {
      CHECK(partition.replicas[j].backend == wanted.replicas[j].backend);
      CHECK(partition.replicas[j].owner == wanted.replicas[j].owner);
      CHECK(partition.replicas[j].slots == wanted.replicas[j].slots);
      CHECK(partition.replicas[j].locality == wanted.replicas[j].locality);
    }
  }
}

}  // namespace

TEST_CASE("routes reused from the previous view equal those of a new table") {
  const Place place{"zone-0", "region-0"};
  NameTable backend_names;
  NameTable owner_names;
  ChangingView fleet;
  auto table = std::make_unique<RoutingTable>(fleet.Next(), nullptr, place,
                                              backend_names, owner_names);
  std::size_t kept = 0;
  for (int step = 0; step < 2000; ++step) {
    auto next = std::make_unique<RoutingTable>(fleet.Next(), table.get(), place,
                                               backend_names, owner_names);
    RoutingTable expected(next->view_pointer(), nullptr, place, backend_names,
                          owner_names);
    for (int number = 0; number < kServices; ++number) {
      const std::string service = Numbered("service-", number);
      for (const resources::IndexVersion version : {1, 2}) {
        const SnapshotRoutePointer route = next->Route(service, version);
        CheckSameRoutes(route, expected.Route(service, version));
        kept += route != nullptr && route == table->Route(service, version);
      }
    }
    table = std::move(next);
  }
  CHECK(kept > 1000);  // Otherwise the tables reused no routes.
}

}  // namespace juniperway::routing
