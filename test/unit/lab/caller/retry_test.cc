#include "lab/caller/retry.h"

#include <doctest/doctest.h>

namespace juniperway::lab {
namespace {

QueryRecord After(
    AttemptOutcome outcome, bool repeatable, int status = 503,
    std::optional<ExecutionState> execution = ExecutionState::kNotRun) {
  QueryRecord record;
  record.query.repeatable = repeatable;
  Attempt attempt;
  attempt.outcome = outcome;
  attempt.status = status;
  attempt.execution = execution;
  record.attempts = {attempt};
  return record;
}

bool Retries(const QueryRecord& record) {
  std::mt19937_64 random(1);
  return NextAttemptDelay(RetryPolicy(), record, random).has_value();
}

TEST_CASE("an answer and a refusal of bad input end the query") {
  CHECK_FALSE(Retries(After(AttemptOutcome::kAnswered, true, 200)));
  CHECK_FALSE(Retries(After(AttemptOutcome::kRefused, true, 400)));
}

TEST_CASE("a non-repeatable query comes back only when nothing ran") {
  CHECK(Retries(After(AttemptOutcome::kRefused, false)));
  CHECK(Retries(After(AttemptOutcome::kLost, false)));
  CHECK_FALSE(Retries(After(AttemptOutcome::kRefused, false, 504,
                            ExecutionState::kMayHaveRun)));
  CHECK(Retries(
      After(AttemptOutcome::kRefused, true, 504, ExecutionState::kMayHaveRun)));
}

TEST_CASE("comes back no earlier than it was told, and not for ever") {
  std::mt19937_64 random(1);
  QueryRecord record = After(AttemptOutcome::kRefused, true);
  record.attempts.back().retry_after = milliseconds(300);
  CHECK(NextAttemptDelay(RetryPolicy(), record, random) >= milliseconds(300));
  record.attempts.back().retry_after = seconds(60);
  CHECK_FALSE(NextAttemptDelay(RetryPolicy(), record, random).has_value());
  record.attempts.back().retry_after.reset();
  record.attempts.resize(RetryPolicy().maximum_attempts,
                         record.attempts.back());
  CHECK_FALSE(Retries(record));
}

}  // namespace
}  // namespace juniperway::lab
