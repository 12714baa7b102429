// Computes the coverage of an answer from the outcome of each partition.
#pragma once

#include <optional>
#include <span>

#include "common/base/key_range.h"
#include "common/routing/query_types.h"

namespace juniperway::routing {

// Outcome of one partition's key range.
struct RangeOutcome {
  KeyRange range;
  // Why the range was not searched; empty when it was searched.
  std::optional<MissingReason> missing;
};

// Merges adjacent ranges that have the same outcome.
// @param outcomes outcomes sorted by range. The ranges must be disjoint and
//   together make up the requested range.
Coverage MakeCoverage(std::span<const RangeOutcome> outcomes);

}  // namespace juniperway::routing
