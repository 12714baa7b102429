// What a caller does after an attempt: come back, where and when, or give up.
// Pure.
#pragma once

#include <optional>
#include <random>

#include "common/base/time.h"
#include "lab/caller/history.h"

namespace juniperway::lab {

struct RetryPolicy {
  std::size_t maximum_attempts = 4;
  // Waited when the refusal named no time; doubled with each attempt.
  Duration default_back_off = milliseconds(20);
  // No attempt starts later than this after the intended time.
  Duration patience = seconds(10);
};

// How long after the end of its last attempt the query is sent again (to
// another gateway); nothing when the caller gives up or has its answer.
std::optional<Duration> NextAttemptDelay(const RetryPolicy& policy,
                                         const QueryRecord& record,
                                         std::mt19937_64& random);

}  // namespace juniperway::lab
