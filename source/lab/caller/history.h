// What a caller asked and what it got: the recorded history that the promise
// checkers judge. Plain data.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/execution_state.h"
#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/resources/resource.h"
#include "lab/dataset.h"

namespace juniperway::lab {

// One query as the caller means it.
struct Query {
  // Unique in the run. Attempts of a repeatable query add "-<n>" to it.
  std::string id;
  std::string service;
  std::string request_class;
  bool repeatable = true;
  // Nothing: the whole key space.
  std::optional<KeyRange> range;
  std::string text;
  std::uint32_t limit = 0;  // 0: the service's
  Duration deadline = milliseconds(1000);
  // For non-repeatable queries.
  WallTime expiry;
};

struct MissingRange {
  KeyRange range;
  std::string reason;
};

// A 200 or 206 answer.
struct Answer {
  int status = 0;
  std::string request_id;
  std::string service;
  resources::IndexVersion snapshot = 0;
  std::string execution;
  std::vector<Row> rows;
  double share = 0;
  std::vector<KeyRange> searched;
  std::vector<MissingRange> missing;
  resources::Revision revision = 0;
  bool confirmed = false;
  bool truncated = false;
};

// How one HTTP exchange with a gateway ended.
enum class AttemptOutcome {
  kNotConnected,  // No byte was sent.
  kLost,          // Sent; the connection broke before the answer was whole.
  kTimedOut,      // Sent; no answer within the caller's patience.
  kAnswered,      // 200 or 206.
  kRefused,       // Any other status.
  kMalformed,     // An answer that does not parse.
};

struct Attempt {
  std::string gateway;
  std::string request_id;
  MonotonicTime sent;
  MonotonicTime ended;
  AttemptOutcome outcome = AttemptOutcome::kNotConnected;
  int status = 0;
  // The statement of a refusal; nothing when it made none.
  std::optional<ExecutionState> execution;
  std::string error_code;
  std::optional<Duration> retry_after;
  // Of an answer.
  resources::IndexVersion snapshot = 0;
  double share = 0;
  // Ranges that an answer misses, by reason.
  std::map<std::string, std::uint64_t> missing;
  resources::Revision revision = 0;
  bool confirmed = false;
};

struct QueryRecord {
  Query query;
  // When it was due to be sent; latency counts from here.
  MonotonicTime intended;
  std::vector<Attempt> attempts;

  // Whether the last attempt gave an answer.
  bool answered() const {
    return !attempts.empty() &&
           attempts.back().outcome == AttemptOutcome::kAnswered;
  }
  Duration latency() const {
    return attempts.empty() ? Duration(0) : attempts.back().ended - intended;
  }
};

}  // namespace juniperway::lab
