// Rules that a change of resources must keep beyond the shape of each resource:
// versions, references between resources, partition maps, index versions.
#pragma once

#include <vector>

#include "common/base/error.h"
#include "common/control/fleet_store.h"

namespace juniperway::control {

// Checks a set of resources that is to be written as one. Each resource's
// `version` is the one its writer saw (0: it must not exist yet).
// @return kConflict when one of them changed since (the first such one is named
//   by `field`), else kInvalidArgument with the field that breaks a rule.
Result<void> CheckApply(const FleetStore& store,
                        const std::vector<resources::Resource>& set);

// Checks the removal of one resource at `version`.
// @return kNotFound, kConflict, or kInvalidArgument when it is still in use.
Result<void> CheckDelete(const FleetStore& store,
                         const resources::ResourceId& id,
                         resources::Revision version);

}  // namespace juniperway::control
