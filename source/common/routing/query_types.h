// What goes into and comes out of a QueryRun, as plain values.
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

// Names one subquery sent for a query; never reused within the query.
using AttemptId = std::uint32_t;

// An admitted query.
struct QueryRequest {
  std::string request_id;
  std::string service;
  std::string request_class;
  std::string text;
  // Nothing: every key of the snapshot. Clipped to the snapshot's extent.
  std::optional<KeyRange> range;
  // Most rows of the answer.
  std::uint32_t row_limit = 1;
  // False: no part of it may run twice.
  bool repeatable = true;
  MonotonicTime received{};
  MonotonicTime deadline{};
};

// The value points into the storage of the block that holds the row.
struct ResultRow {
  Key key = 0;
  std::string_view value;
};

// Rows of one subquery and what keeps their bytes alive.
struct RowBlock {
  std::shared_ptr<const void> storage;
  std::vector<ResultRow> rows;
};

// An owner's word on one subquery.
struct SubqueryReply {
  AttemptId attempt_id = 0;
  SubqueryOutcome outcome = SubqueryOutcome::kLost;
  RowBlock block;
  // Rows outside the subquery's range that the owner dropped.
  std::uint32_t dropped_rows = 0;
  // Load of the back end as its owner sees it; 0 slots: not told.
  std::uint32_t load = 0;
  std::uint32_t slots = 0;
  // When to come back; zero if not told.
  Duration retry_after{};
};

// How the connection to an owner ended for the subqueries outstanding there.
enum class OwnerLoss {
  kNothingSent,  // No byte of them left this process.
  kMayHaveRun,   // The owner may have them.
};

// --- What to do ---

// The views live until the QueryRun is next called or destroyed.
struct PlannedSubquery {
  AttemptId attempt_id = 0;
  std::string_view backend;
  std::string_view shard;
  KeyRange range;
};

struct Batch {
  OwnerId owner = 0;
  resources::IndexVersion index_version = 0;
  std::uint32_t row_limit = 0;
  Duration remaining{};
  std::vector<PlannedSubquery> subqueries;
};

struct Cancellation {
  OwnerId owner = 0;
  std::vector<AttemptId> attempts;
};

// Names are those of the caller API (MissingReasonName).
enum class MissingReason : std::uint8_t {
  kDeadline,
  kShed,
  kLost,
  kDraining,
  kWrongSnapshot,
  kUnreachable,
};

std::string_view MissingReasonName(MissingReason reason);

struct MissingRange {
  KeyRange range;
  MissingReason reason = MissingReason::kDeadline;
  bool operator==(const MissingRange&) const = default;
};

// What an answer stands for: disjoint ranges, sorted, that together make up
// the asked range.
struct Coverage {
  // Searched part of the asked range, by width.
  double share = 0;
  std::vector<KeyRange> searched;
  std::vector<MissingRange> missing;
};

struct Answer {
  resources::IndexVersion index_version = 0;
  // Sorted by key, at most the row limit.
  std::vector<ResultRow> rows;
  // Keeps the rows' values alive.
  std::vector<std::shared_ptr<const void>> storage;
  Coverage coverage;
  bool truncated = false;
  ExecutionState execution = ExecutionState::kRan;
};

struct Refusal {
  Error error;
  ExecutionState execution = ExecutionState::kNotRun;
  // When coming back can help.
  std::optional<Duration> retry_after;
};

// Nobody waits for the answer any more.
struct Abandoned {
  ExecutionState execution = ExecutionState::kNotRun;
};

using QueryOutcome = std::variant<Answer, Refusal, Abandoned>;

struct Actions {
  std::vector<Batch> batches;
  std::vector<Cancellation> cancellations;
  // Set once, with the last actions of the query.
  std::optional<QueryOutcome> outcome;
};

}  // namespace juniperway::routing
