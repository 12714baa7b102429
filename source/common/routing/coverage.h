// Turns what became of each partition into the coverage that an answer names.
#pragma once

#include <optional>
#include <span>

#include "common/base/key_range.h"
#include "common/routing/query_types.h"

namespace juniperway::routing {

struct RangeOutcome {
  KeyRange range;
  // Nothing: searched.
  std::optional<MissingReason> missing;
};

// Neighbours with the same outcome become one range.
// @param outcomes sorted, disjoint, together the asked range.
Coverage MakeCoverage(std::span<const RangeOutcome> outcomes);

}  // namespace juniperway::routing
