// Log of every attempt (one subquery sent to one backend) of one query. The
// query run derives the execution state from the log, and uses the log to
// discard late, duplicate and foreign results.
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
  kAbandoned,  // The front cancelled the attempt or discards its result.
};

// One subquery that the front planned or sent to one backend.
struct Attempt {
  // Index of the partition in the query.
  std::uint32_t partition = 0;
  BackendId backend = 0;
  OwnerId owner = 0;
  MonotonicTime sent_at{};
  AttemptStatus status = AttemptStatus::kOutstanding;
  // Whether the attempt probes a backend whose circuit breaker is open.
  bool probe = false;
  // Whether it is certain that the backend did not start the subquery.
  bool provably_not_run = false;
};

// Whether a result belongs to an outstanding attempt; all but kAccept are
// discarded.
enum class ResultVerdict {
  kAccept,
  kLate,       // The front abandoned the attempt before.
  kDuplicate,  // The attempt already has a result.
  kForeign,    // The attempt does not exist or belongs to another owner.
};

// Log of the attempts of one query, owned by its QueryRun. Attempt ids are
// dense and start at 0.
class AttemptLog {
 public:
  AttemptId Add(const Attempt& attempt);
  Attempt& Get(AttemptId id) { return attempts_[id]; }
  const Attempt& Get(AttemptId id) const { return attempts_[id]; }
  AttemptId size() const { return static_cast<AttemptId>(attempts_.size()); }

  // Classifies a result that `owner` sent for attempt `id`. The first result
  // for an abandoned attempt is late, each further one is a duplicate.
  ResultVerdict ClassifyResult(OwnerId owner, AttemptId id);

  void MarkProvablyNotRun(AttemptId id);

  // Returns the execution state of the query.
  // @return kNotRun when every attempt was provably not run or there is no
  //   attempt, else kMayHaveRun.
  ExecutionState Execution() const;
  // Returns the number of attempts that may have run on a backend.
  AttemptId CountOfPossiblyRun() const { return size() - provably_not_run_; }

 private:
  std::vector<Attempt> attempts_;
  AttemptId provably_not_run_ = 0;
};

}  // namespace juniperway::routing
