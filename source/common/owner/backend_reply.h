// What a back end's reply to a search means: the table of
// docs/design/interfaces.md, "Back-end protocol". Pure.
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

// The subquery that was sent.
struct SearchExpectation {
  std::string shard;
  resources::IndexVersion index_version = 0;
  KeyRange range;
};

struct SearchRow {
  Key key = 0;
  std::string value;
};

// What the back end says about its load; lags and may mislead.
struct BackendLoad {
  std::uint32_t running = 0;
  std::uint32_t slots = 0;
};

// How the exchange went, for the gate's own decisions.
enum class ReplyKind {
  kServed,       // 200 with the rows asked for.
  kRefused,      // 409: not held.
  kShed,         // 429 or 503.
  kStopped,      // 499 or 504: cancelled or out of time.
  kUnreachable,  // Nothing was sent.
  kBroken,       // Sent, but no usable answer.
};

struct BackendReply {
  ReplyKind kind = ReplyKind::kBroken;
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kLost;
  std::vector<SearchRow> rows;
  // Rows outside the asked range, left out of `rows`.
  std::uint32_t dropped_rows = 0;
  // Any complete HTTP answer came.
  bool answered = false;
  // It bore X-Draining: true.
  bool draining = false;
  std::optional<BackendLoad> load;
  // From Retry-After; 0 if not given.
  Duration retry_after{0};
  // Why a 200 was not passed on; empty otherwise.
  std::string fault;
};

// Never gives kRows for another shard or index version than expected: such a
// body may come of a run, so it counts as lost.
BackendReply InterpretSearchReply(const net::HttpClientResponse& response,
                                  const SearchExpectation& expected);

}  // namespace juniperway::owner
