// Every subquery that was sent for one query and what became of it: the
// evidence for the execution state, and the filter for results that are late,
// duplicate or foreign.
#pragma once

#include <cstdint>
#include <vector>

#include "common/base/execution_state.h"
#include "common/base/time.h"
#include "common/routing/query_types.h"

namespace juniperway::routing {

enum class AttemptStatus : std::uint8_t {
  kOutstanding,
  kAnswered,
  kGivenUp,  // Cancelled, or its answer no longer counts.
};

struct Attempt {
  // Index of the partition in the query.
  std::uint32_t partition = 0;
  BackendId backend = 0;
  OwnerId owner = 0;
  MonotonicTime sent_at{};
  AttemptStatus status = AttemptStatus::kOutstanding;
  // It tests a back end whose breaker is open.
  bool probe = false;
  bool provably_not_run = false;
};

// What to do with a result.
enum class ReplyVerdict {
  kAccept,
  kLate,       // The attempt was given up.
  kDuplicate,  // The attempt was answered before.
  kForeign,    // No such attempt, or another owner's.
};

class AttemptLog {
 public:
  AttemptId Add(const Attempt& attempt);
  Attempt& Get(AttemptId id) { return attempts_[id]; }
  const Attempt& Get(AttemptId id) const { return attempts_[id]; }
  AttemptId size() const { return static_cast<AttemptId>(attempts_.size()); }

  // A second result for a late attempt is a duplicate.
  ReplyVerdict Judge(OwnerId owner, AttemptId id);

  void MarkProvablyNotRun(AttemptId id);

  // kNotRun when every attempt, if any, was provably not run.
  ExecutionState Execution() const;
  // Attempts that may have cost a back end something.
  AttemptId CountThatMayHaveRun() const { return size() - provably_not_run_; }

 private:
  std::vector<Attempt> attempts_;
  AttemptId provably_not_run_ = 0;
};

}  // namespace juniperway::routing
