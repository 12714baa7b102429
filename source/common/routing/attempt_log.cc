#include "common/routing/attempt_log.h"

namespace juniperway::routing {

AttemptId AttemptLog::Add(const Attempt& attempt) {
  attempts_.push_back(attempt);
  return size() - 1;
}

ResultVerdict AttemptLog::ClassifyResult(OwnerId owner, AttemptId id) {
  if (id >= attempts_.size() || attempts_[id].owner != owner) {
    return ResultVerdict::kForeign;
  }
  Attempt& attempt = attempts_[id];
  switch (attempt.status) {
    case AttemptStatus::kOutstanding:
      return ResultVerdict::kAccept;
    case AttemptStatus::kAnswered:
      return ResultVerdict::kDuplicate;
    case AttemptStatus::kAbandoned:
      attempt.status = AttemptStatus::kAnswered;
      return ResultVerdict::kLate;
  }
  return ResultVerdict::kForeign;
}

void AttemptLog::MarkProvablyNotRun(AttemptId id) {
  Attempt& attempt = attempts_[id];
  if (!attempt.provably_not_run) {
    attempt.provably_not_run = true;
    ++provably_not_run_;
  }
}

ExecutionState AttemptLog::Execution() const {
  return CountOfPossiblyRun() == 0 ? ExecutionState::kNotRun
                                   : ExecutionState::kMayHaveRun;
}

}  // namespace juniperway::routing
