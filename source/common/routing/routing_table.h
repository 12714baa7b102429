// Routes of one fleet view: service -> index version -> partition -> replicas.
// The front builds a new table for each view; the table builds the routes of a
// snapshot at its first use.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/key_range.h"
#include "common/base/locality.h"
#include "common/routing/name_table.h"
#include "common/routing/ownership.h"
#include "common/session/fleet_view.h"

namespace juniperway::routing {

// A backend that can serve a partition, and the owner that forwards to it.
struct ReplicaRoute {
  BackendId backend = 0;
  OwnerId owner = 0;
  std::uint32_t slots = 1;
  Locality locality = Locality::kSameZone;
};

// Replicas of one partition of a snapshot.
struct PartitionRoute {
  KeyRange range;
  std::string shard;
  // Backends that hold the shard at this index version, are not draining and
  // have an owner; sorted by name.
  std::vector<ReplicaRoute> replicas;
  // Whether there are no replicas and at least one backend that holds the shard
  // at this index version is draining.
  bool all_draining = false;
};

// Routes of one index version of a service.
struct SnapshotRoute {
  resources::IndexVersion index_version = 0;
  // Routes of the partitions, sorted by range and contiguous.
  std::vector<PartitionRoute> partitions;

  // Returns the range from the begin of the first partition to the end of the
  // last one.
  KeyRange Extent() const;
};

using SnapshotRoutePointer = std::shared_ptr<const SnapshotRoute>;

// Whether the backend gets no new subqueries, because the operator drains it,
// its owner reports it as draining or the platform is removing it.
bool IsDraining(const std::string& backend, const session::FleetView& view);

// Routes of all services of one view. A table is owned by a FrontState and by
// the queries that use the table, and is used from one thread. A table takes
// over from the table of the previous view the routes of each service whose
// backends, reports, drains and owners did not change.
class RoutingTable {
 public:
  // Builds the table of `view`. The name tables must outlive the routing table.
  // @param previous the table of the previous view, or null.
  RoutingTable(session::FleetViewPointer view, const RoutingTable* previous,
               Place place, NameTable& backend_names, NameTable& owner_names);

  const session::FleetView& view() const { return *ownership_.view(); }
  const session::FleetViewPointer& view_pointer() const {
    return ownership_.view();
  }

  // Returns the resource of a service.
  // @return null when the service is unknown.
  const resources::Service* FindService(const std::string& service) const;

  // Returns the routes of the version to which new queries of the service are
  // pinned.
  // @return null when the service serves no snapshot.
  SnapshotRoutePointer Serving(const std::string& service);

  // Returns the routes of one version, which may be older than the version that
  // the service serves.
  // @return null when the view does not have that snapshot.
  SnapshotRoutePointer Route(const std::string& service,
                             resources::IndexVersion index_version);

  // Returns the gateway with the id `owner`.
  // @return null when the gateway is no longer a member.
  const session::Member* Owner(OwnerId owner) const;

 private:
  using SnapshotKey = std::pair<std::string, resources::IndexVersion>;
  using BackendsByShard = std::map<std::string, std::vector<std::string>>;
  using Names = std::set<std::string>;

  // Takes over the routes that are still valid in this view.
  void ReuseValidRoutes(const RoutingTable& previous);
  // Updates backends_by_service_ from the view `before` to this view.
  void UpdateServices(const session::FleetView& before);
  // Returns the services whose routes may differ from those of `previous`.
  Names ChangedServices(const RoutingTable& previous) const;
  SnapshotRoutePointer Build(const std::string& service,
                             const resources::IndexSnapshot& snapshot);
  PartitionRoute BuildPartition(const resources::Partition& partition,
                                resources::IndexVersion index_version,
                                const BackendsByShard& backends_by_shard);
  Locality LocalityOf(const session::Member& owner) const;

  OwnershipTable ownership_;
  Place place_;
  NameTable& backend_names_;
  NameTable& owner_names_;
  // Names of the backends of each service, by service name. Services without
  // changes share the set with the previous table.
  std::map<std::string, std::shared_ptr<const Names>> backends_by_service_;
  std::map<SnapshotKey, SnapshotRoutePointer> routes_;
};

}  // namespace juniperway::routing
