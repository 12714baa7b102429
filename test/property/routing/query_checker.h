// What really happened to one query in a simulated fleet, and the promises of
// the front tier checked against it. Knows nothing of the code under test but
// its inputs and outputs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/routing/query_types.h"

namespace juniperway::routing::testing {

// The world's keys; partition maps of all versions cover exactly these.
inline constexpr Key kWorldEnd = 1200;
// There is a row at each multiple of it.
inline constexpr Key kRowSpacing = 20;

// The value of the row at `key` in an index version.
std::string TrueValue(resources::IndexVersion version, Key key);

// Every row of a version in a range, in order.
RowBlock TrueRows(resources::IndexVersion version, KeyRange range);

// One subquery that left the front.
struct SentSubquery {
  OwnerId owner = 0;
  resources::IndexVersion version = 0;
  KeyRange range;
  // The back end began it.
  bool begun = false;
  // The front was told, while it counted, that it was not run.
  bool told_not_run = false;
  // The front got its rows while they counted.
  bool told_rows = false;
  // Answered or lost, or cancelled: nothing is left to do about it.
  bool settled = false;
  bool cancelled = false;
};

struct QueryRecord {
  std::uint64_t id = 0;
  // As the caller asked: not what the run was told.
  bool repeatable = true;
  KeyRange asked;
  std::uint32_t row_limit = 0;
  MonotonicTime deadline{};
  std::map<AttemptId, SentSubquery> sent;
  std::vector<QueryOutcome> outcomes;
  MonotonicTime ended{};
};

// Appends a line for each broken promise of the finished query.
// @param latest_end how late after its deadline a query may end.
void CheckQuery(const QueryRecord& query, Duration latest_end,
                std::vector<std::string>& violations);

}  // namespace juniperway::routing::testing
