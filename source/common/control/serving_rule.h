// When a new index snapshot is served: once each of its partitions has enough
// live holders. The serving version of a service only grows.
#pragma once

#include <optional>
#include <string>

#include "common/control/fleet_store.h"

namespace juniperway::control {

// Whether each partition of the snapshot has `required_holders` back ends of
// the service that do not drain, have the shard, and report the index version.
bool HasRequiredHolders(const FleetStore& store, const std::string& service,
                        resources::IndexVersion version);

// The highest index version above the serving one that can be served now, if
// there is one.
std::optional<resources::IndexVersion> NextServingVersion(
    const FleetStore& store, const std::string& service);

}  // namespace juniperway::control
