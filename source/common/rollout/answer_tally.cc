#include "common/rollout/answer_tally.h"

#include <algorithm>

namespace juniperway::rollout {

void AnswerTally::SetRollouts(
    const std::map<std::string, RolloutNumber>& rollouts) {
  const auto is_over = [&](const std::string& service) {
    const auto before = rollouts_.find(service);
    const auto now = rollouts.find(service);
    return now == rollouts.end() || before == rollouts_.end() ||
           before->second != now->second;
  };
  std::erase_if(
      counts_, [&](const auto& entry) { return is_over(entry.first.service); });
  std::erase_if(changed_, [&](const AnswerGroup& group) {
    return is_over(group.service);
  });
  rollouts_ = rollouts;
}

void AnswerTally::Count(const AnswerGroup& group,
                        const AttemptObservation& observation) {
  if (!IsCounted(group.service)) {
    return;
  }
  AnswerCounts& counts = counts_[group];
  if (observation.failed) {
    ++counts.failed;
  } else if (observation.timed) {
    ++counts.timed[LatencyStepOf(observation.latency)];
  } else {
    ++counts.untimed;
  }
  changed_.insert(group);
  has_new_canary_answers_ = has_new_canary_answers_ || group.canary;
}

std::vector<AnswerReport> AnswerTally::MakeReport() {
  std::vector<AnswerGroup> due(changed_.begin(), changed_.end());
  std::ranges::stable_sort(due, std::greater(), &AnswerGroup::canary);
  due.resize(std::min(due.size(), kMaximumReportedGroups));
  std::vector<AnswerReport> report;
  report.reserve(due.size());
  for (const AnswerGroup& group : due) {
    report.push_back({.group = group,
                      .rollout = rollouts_.at(group.service),
                      .counts = counts_.at(group)});
    changed_.erase(group);
  }
  has_new_canary_answers_ = false;
  return report;
}

void AnswerTally::ReportAllAgain() {
  for (const auto& [group, counts] : counts_) {
    changed_.insert(group);
  }
}

}  // namespace juniperway::rollout
