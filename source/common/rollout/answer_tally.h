// A router's counts of how attempts ended, of the services that have a roll-out
// under way, and what of them the leader has not been told. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/rollout/answer_counts.h"

namespace juniperway::rollout {

// How one attempt ended, as far as it says something about its back end.
struct AttemptObservation {
  bool failed = false;
  // How long it took says something about the version.
  bool timed = true;
  Duration latency{};
};

class AnswerTally {
 public:
  // Groups in one report. One takes about 120 bytes in a heartbeat, so that a
  // report stays under 2 KB: a tenth of what control may cost a daemon in a
  // second (21 KB/s).
  static constexpr std::size_t kMaximumReported = 16;

  // Roll-outs that are under way, by service; counts of others are dropped.
  void SetRollouts(const std::map<std::string, RolloutNumber>& rollouts);
  bool counts_anything() const { return !rollouts_.empty(); }
  bool IsCounted(const std::string& service) const {
    return rollouts_.contains(service);
  }

  // Ignored unless the service has a roll-out under way.
  void Count(const AnswerGroup& group, const AttemptObservation& observation);

  // Groups that changed since they were last reported; canaries first, and the
  // rest with the next report.
  std::vector<AnswerReport> MakeReport();
  // A leader that heard nothing so far has to be told everything.
  void ReportAllAgain();
  // Canaries have answered since the last report.
  bool has_news() const { return has_news_; }

 private:
  std::map<std::string, RolloutNumber> rollouts_;
  std::map<AnswerGroup, AnswerCounts> counts_;
  std::set<AnswerGroup> changed_;
  bool has_news_ = false;
};

}  // namespace juniperway::rollout
