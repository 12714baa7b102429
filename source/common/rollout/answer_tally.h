// Counts, on one router, how attempts of services with a running rollout ended,
// and remembers which counts changed since the last report to the leader. The
// router's BackendPool owns the only tally. Does no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/rollout/answer_counts.h"

namespace juniperway::rollout {

// The outcome of one attempt.
struct AttemptObservation {
  bool failed = false;
  // False if the latency does not depend on the version
  // (AnswerCounts::untimed).
  bool timed = true;
  Duration latency{};
};

class AnswerTally {
 public:
  // Maximum number of groups in one report. A group takes about 120 bytes in a
  // heartbeat, so a report stays under 2 KB: a tenth of the 21 KB that control
  // traffic may cost a daemon per second.
  static constexpr std::size_t kMaximumReportedGroups = 16;

  // Sets the running rollouts, by service. Discards the counts of all other
  // rollouts.
  void SetRollouts(const std::map<std::string, RolloutNumber>& rollouts);
  bool has_rollouts() const { return !rollouts_.empty(); }
  bool IsCounted(const std::string& service) const {
    return rollouts_.contains(service);
  }

  // Counts an attempt if the service has a running rollout; otherwise does
  // nothing.
  void Count(const AnswerGroup& group, const AttemptObservation& observation);

  // Returns the groups that changed since they were last reported, canaries
  // first. Groups beyond the maximum come with the next report.
  std::vector<AnswerReport> MakeReport();
  // Makes the next reports contain all groups again, for a new leader, which
  // has no counts.
  void ReportAllAgain();
  // Whether canaries have answered since the last report.
  bool has_new_canary_answers() const { return has_new_canary_answers_; }

 private:
  std::map<std::string, RolloutNumber> rollouts_;
  std::map<AnswerGroup, AnswerCounts> counts_;
  std::set<AnswerGroup> changed_;
  bool has_new_canary_answers_ = false;
};

}  // namespace juniperway::rollout
