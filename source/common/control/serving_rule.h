// Decides when a service starts to serve a new index snapshot: when enough
// backends hold each of its partitions. The serving version of a service only
// grows.
#pragma once

#include <optional>
#include <string>

#include "common/control/fleet_store.h"

namespace juniperway::control {

// Whether each partition of the snapshot has at least the service's
// `required_holders` backends that do not drain, have the partition's shard and
// report the index version.
bool HasRequiredHolders(const FleetStore& store, const std::string& service,
                        resources::IndexVersion version);

// Returns the highest index version above the serving version that has its
// required holders, if there is one.
std::optional<resources::IndexVersion> NextServingVersion(
    const FleetStore& store, const std::string& service);

}  // namespace juniperway::control
