// Record of what happened to one query in a simulated fleet, and the check of
// the front tier's guarantees against that record. The check uses only the
// inputs and outputs of the code under test.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/routing/query_types.h"

namespace juniperway::routing::testing {

// End of the simulated key range, which starts at 0. The partition maps of all
// versions cover exactly this range.
inline constexpr Key kKeyRangeEnd = 1200;
// Distance between the keys of neighbouring rows; the first row has key 0.
inline constexpr Key kRowSpacing = 20;

// Returns the expected value of the row at `key` in an index version.
std::string ExpectedValue(resources::IndexVersion version, Key key);

// Returns the expected rows of a version in a range, in key order.
RowBlock ExpectedRows(resources::IndexVersion version, KeyRange range);

// One subquery that the front sent.
struct SentSubquery {
  OwnerId owner = 0;
  resources::IndexVersion version = 0;
  KeyRange range;
  // Whether the backend started the subquery.
  bool begun = false;
  // Whether the front received evidence that the subquery was not run, before
  // the subquery was completed or cancelled.
  bool delivered_not_run = false;
  // Whether the front received the rows before the subquery was completed or
  // cancelled.
  bool delivered_rows = false;
  // Whether the subquery was answered or lost.
  bool completed = false;
  bool cancelled = false;
};

// Inputs, subqueries and outcomes of one query.
struct QueryRecord {
  std::uint64_t id = 0;
  // Whether the client declared the query repeatable. An injected defect may
  // pass another value to the QueryRun.
  bool repeatable = true;
  KeyRange asked;
  std::uint32_t row_limit = 0;
  MonotonicTime deadline{};
  std::map<AttemptId, SentSubquery> sent;
  std::vector<QueryOutcome> outcomes;
  MonotonicTime ended{};
};

// Appends a line to `violations` for each guarantee that the finished query
// broke.
// @param maximum_delay how long after its deadline a query may end.
void CheckQuery(const QueryRecord& query, Duration maximum_delay,
                std::vector<std::string>& violations);

}  // namespace juniperway::routing::testing
