// Checks a change of resources against the stored resources: versions,
// references between resources, partition maps and index versions. The
// functions of resources/validation.h check each single resource before.
#pragma once

#include <vector>

#include "common/base/error.h"
#include "common/control/fleet_store.h"

namespace juniperway::control {

// Checks a set of resources that is written atomically. The `version` of each
// resource is the one that the operator read (0: it must not exist yet).
// @return kConflict when a resource has changed since then; `field` names the
//   first such resource. Else kInvalidArgument with the field that breaks a
//   rule.
Result<void> CheckApply(const FleetStore& store,
                        const std::vector<resources::Resource>& set);

// Checks the removal of one resource at `version`.
// @return kNotFound, kConflict, or kInvalidArgument when the resource is still
//   in use.
Result<void> CheckDelete(const FleetStore& store,
                         const resources::ResourceId& id,
                         resources::Revision version);

}  // namespace juniperway::control
