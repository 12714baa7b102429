// Routes of one view: service -> index version -> partition -> replicas. Built
// anew with each view; the routes of a service are worked out at first use.
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

// A back end that may serve a partition, and whom to ask for it.
struct ReplicaRoute {
  BackendId backend = 0;
  OwnerId owner = 0;
  std::uint32_t slots = 1;
  Locality locality = Locality::kSameZone;
};

struct PartitionRoute {
  KeyRange range;
  std::string shard;
  // Back ends that hold the shard at this index version, do not drain and have
  // an owner; sorted by name.
  std::vector<ReplicaRoute> replicas;
  // With no replicas: true when back ends hold the shard but all drain.
  bool all_draining = false;
};

struct SnapshotRoute {
  resources::IndexVersion index_version = 0;
  // Sorted by range, contiguous.
  std::vector<PartitionRoute> partitions;

  // From the first partition's begin to the last one's end.
  KeyRange Extent() const;
};

using SnapshotRoutePointer = std::shared_ptr<const SnapshotRoute>;

// True when the operator, the back end's owner or the platform takes the back
// end away: it gets no new work.
bool IsDraining(const std::string& backend, const session::FleetView& view);

// Routes of one view. Built from the table of the view before: a service whose
// back ends, reports, drains and owners did not change keeps its routes.
class RoutingTable {
 public:
  // The name tables must outlive the routing table.
  // @param previous the table of the view before, or null.
  RoutingTable(session::FleetViewPointer view, const RoutingTable* previous,
               Place place, NameTable& backend_names, NameTable& owner_names);

  const session::FleetView& view() const { return *ownership_.view(); }
  const session::FleetViewPointer& view_pointer() const {
    return ownership_.view();
  }

  // @return null when the service is unknown.
  const resources::Service* FindService(const std::string& service) const;

  // Routes of the version that new queries of the service are pinned to.
  // @return null when the service serves no snapshot.
  SnapshotRoutePointer Serving(const std::string& service);

  // Routes of one version, also of an older one that a query is pinned to.
  // @return null when the view does not have that snapshot.
  SnapshotRoutePointer Route(const std::string& service,
                             resources::IndexVersion index_version);

  // The gateway of that number; null when it is no longer a member.
  const session::Member* Owner(OwnerId owner) const;

 private:
  using SnapshotKey = std::pair<std::string, resources::IndexVersion>;
  using BackendsByShard = std::map<std::string, std::vector<std::string>>;
  using Names = std::set<std::string>;

  // Takes over what the changes since `previous` leave true.
  void TakeOver(const RoutingTable& previous);
  // Brings backends_by_service_ to this view.
  void UpdateServices(const session::FleetView& before);
  // Services whose routes may differ from those of `previous`.
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
  // Shared with the table before where nothing changed.
  std::map<std::string, std::shared_ptr<const Names>> backends_by_service_;
  std::map<SnapshotKey, SnapshotRoutePointer> routes_;
};

}  // namespace juniperway::routing
