// Rules that tie the fields of one resource together. Limits of single fields
// are checked while JSON is read (resource_json.h); rules between resources are
// control's.
#pragma once

#include "common/base/error.h"
#include "common/resources/resource.h"

namespace juniperway::resources {

// @return kInvalidArgument with a field path that starts with "spec".
Result<void> CheckService(const Service& service);

// Partitions cover the key space from 0 to kKeySpaceEnd in order, without gap
// or overlap.
Result<void> CheckPartitions(const IndexSnapshot& snapshot);

}  // namespace juniperway::resources
