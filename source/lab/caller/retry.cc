#include "lab/caller/retry.h"

namespace juniperway::lab {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

bool WorthAnotherAttempt(const QueryRecord& record) {
  const Attempt& last = record.attempts.back();
  switch (last.outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kMalformed:
      return false;
    case AttemptOutcome::kNotConnected:
    case AttemptOutcome::kLost:
    case AttemptOutcome::kTimedOut:
      // A non-repeatable query keeps its id, so that sending it again is safe.
      return true;
    case AttemptOutcome::kRefused:
      break;
  }
  if (last.status < kFirstServerError && last.status != kTooManyRequests) {
    return false;
  }
  return record.query.repeatable || last.execution == ExecutionState::kNotRun;
}

}  // namespace

std::optional<Duration> NextAttemptDelay(const RetryPolicy& policy,
                                         const QueryRecord& record,
                                         std::mt19937_64& random) {
  const std::size_t attempts = record.attempts.size();
  if (attempts >= policy.maximum_attempts || !WorthAnotherAttempt(record)) {
    return std::nullopt;
  }
  Duration delay = policy.default_back_off * (1 << (attempts - 1));
  if (record.attempts.back().retry_after) {
    delay = *record.attempts.back().retry_after;
  }
  std::uniform_int_distribution<Duration::rep> jitter(0, delay.count() / 2);
  delay += Duration(jitter(random));
  const Duration spent = record.attempts.back().ended - record.intended;
  if (spent + delay > policy.patience) {
    return std::nullopt;
  }
  return delay;
}

}  // namespace juniperway::lab
