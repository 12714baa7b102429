// Interprets a backend's reply to a search, as the table of
// docs/design/interfaces.md, "Back-end protocol", defines it. The code does no
// I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/net/http_client.h"
#include "common/protocol/query_generated.h"
#include "common/resources/resource.h"

namespace juniperway::owner {

// The subquery that was sent, which the reply must match.
struct SearchExpectation {
  std::string shard;
  resources::IndexVersion index_version = 0;
  KeyRange range;
};

// One row of a search result.
struct SearchRow {
  Key key = 0;
  std::string value;
};

// Load that the backend reports, from X-Load. It lags behind the backend's
// state and may be wrong.
struct BackendLoad {
  std::uint32_t running = 0;
  std::uint32_t slots = 0;
};

// Result of the HTTP exchange, for BackendGate.
enum class ReplyKind {
  kServed,          // 200 with rows of the requested shard and index version.
  kRefused,         // 409: the backend does not hold the index version.
  kShed,            // 429 or 503.
  kNotCompleted,    // 499 or 504: cancelled, or the deadline passed.
  kUnreachable,     // No byte was sent.
  kNoUsableAnswer,  // The request was sent, but no usable answer came.
};

// A backend's reply to one search.
struct BackendReply {
  ReplyKind kind = ReplyKind::kNoUsableAnswer;
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kLost;
  std::vector<SearchRow> rows;
  // Number of rows outside the requested range, which `rows` does not contain.
  std::uint32_t dropped_rows = 0;
  // Whether a complete HTTP answer came, with any status.
  bool answered = false;
  // Whether the answer has the header X-Draining: true.
  bool draining = false;
  std::optional<BackendLoad> load;
  // Delay from X-Retry-After-Ms or Retry-After; 0 if the answer has neither.
  Duration retry_after{0};
  // Why the body of a 200 was discarded; empty otherwise.
  std::string discard_reason;
};

// Interprets the reply to a search. A body for a shard or index version other
// than the expected one never gives kRows: the backend may have run the search,
// so the outcome is kLost.
BackendReply InterpretSearchReply(const net::HttpClientResponse& response,
                                  const SearchExpectation& expected);

}  // namespace juniperway::owner
