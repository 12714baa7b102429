// Input and output values of a QueryRun.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/base/error.h"
#include "common/base/execution_state.h"
#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/protocol/query_generated.h"
#include "common/resources/resource.h"
#include "common/routing/name_table.h"

namespace juniperway::routing {

using protocol::SubqueryOutcome;

// Identifies one attempt of a query. An id is never reused within the query.
using AttemptId = std::uint32_t;

// An admitted query.
struct QueryRequest {
  std::string request_id;
  std::string service;
  std::string request_class;
  std::string text;
  // Requested keys, which QueryRun clips to the snapshot's extent. If empty,
  // the query requests every key of the snapshot.
  std::optional<KeyRange> range;
  // Maximum number of rows in the answer.
  std::uint32_t row_limit = 1;
  // Whether a partition may be searched more than once.
  bool repeatable = true;
  MonotonicTime received{};
  MonotonicTime deadline{};
};

// One row of a result. The value points into the storage of the block that
// holds the row.
struct ResultRow {
  Key key = 0;
  std::string_view value;
};

// Rows of one subquery.
struct RowBlock {
  // Keeps the bytes of the rows' values alive.
  std::shared_ptr<const void> storage;
  std::vector<ResultRow> rows;
};

// The result that an owner sent for one subquery.
struct OwnerResult {
  AttemptId attempt_id = 0;
  SubqueryOutcome outcome = SubqueryOutcome::kLost;
  RowBlock block;
  // Rows outside the subquery's range that the owner dropped.
  std::uint32_t dropped_rows = 0;
  // Running and queued subqueries of the backend and its slots, as its owner
  // observed them. Both are unknown when slots is 0.
  std::uint32_t load = 0;
  std::uint32_t slots = 0;
  // How long to wait before retrying; zero when the owner gave no hint.
  Duration retry_after{};
};

// Consequence of the loss of a connection for the subqueries outstanding on
// that connection.
enum class OwnerConnectionLoss {
  kNothingSent,      // No byte of the subqueries left this process.
  kMayHaveReceived,  // The owner may have received the subqueries.
};

// --- Output ---

// One subquery to send. The string views are valid until the next call to the
// QueryRun or its destruction.
struct PlannedSubquery {
  AttemptId attempt_id = 0;
  std::string_view backend;
  std::string_view shard;
  KeyRange range;
};

// Subqueries to send to one owner in one message.
struct Batch {
  OwnerId owner = 0;
  resources::IndexVersion index_version = 0;
  std::uint32_t row_limit = 0;
  // Time within which the owner must answer the batch.
  Duration remaining{};
  std::vector<PlannedSubquery> subqueries;
};

// Attempts that one owner must cancel.
struct Cancellation {
  OwnerId owner = 0;
  std::vector<AttemptId> attempts;
};

// Why a key range of an answer was not searched. The query API uses the names
// that MissingReasonName returns.
enum class MissingReason : std::uint8_t {
  kDeadline,
  kShed,
  kLost,
  kDraining,
  kWrongSnapshot,
  kUnreachable,
};

std::string_view MissingReasonName(MissingReason reason);

// A key range that was not searched.
struct MissingRange {
  KeyRange range;
  MissingReason reason = MissingReason::kDeadline;
  bool operator==(const MissingRange&) const = default;
};

// Key ranges that an answer covers. The searched and missing ranges are sorted
// and disjoint, and together make up the requested range.
struct Coverage {
  // Searched share of the requested range, by width, from 0 to 1.
  double share = 0;
  std::vector<KeyRange> searched;
  std::vector<MissingRange> missing;
};

// Rows of a query of which at least one partition was searched.
struct Answer {
  resources::IndexVersion index_version = 0;
  // Sorted by key, at most the row limit.
  std::vector<ResultRow> rows;
  // Keeps the rows' values alive.
  std::vector<std::shared_ptr<const void>> storage;
  Coverage coverage;
  // Whether the searched partitions had more rows than the limit.
  bool truncated = false;
  ExecutionState execution = ExecutionState::kRan;
};

// End of a query of which no partition was searched.
struct Refusal {
  Error error;
  ExecutionState execution = ExecutionState::kNotRun;
  // How long the client should wait before retrying; empty when a retry cannot
  // succeed.
  std::optional<Duration> retry_after;
};

// End of a query whose client disconnected.
struct Abandoned {
  ExecutionState execution = ExecutionState::kNotRun;
};

using QueryOutcome = std::variant<Answer, Refusal, Abandoned>;

// Actions that the front must perform after a call to a QueryRun.
struct Actions {
  std::vector<Batch> batches;
  std::vector<Cancellation> cancellations;
  // Outcome of the query, set exactly once per query, in its last actions.
  std::optional<QueryOutcome> outcome;
};

}  // namespace juniperway::routing
