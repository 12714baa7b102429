#include "lab/promises/report.h"

#include <fmt/format.h>

namespace juniperway::lab {
namespace {

constexpr std::size_t kMaximumExamples = 20;

}  // namespace

std::string_view PromiseName(Promise promise) {
  switch (promise) {
    case Promise::kOneSnapshot:
      return "one_snapshot";
    case Promise::kCoverageTrue:
      return "coverage_true";
    case Promise::kWholeAndOwn:
      return "whole_and_own";
    case Promise::kRefusalHonest:
      return "refusal_honest";
    case Promise::kAtMostOnce:
      return "at_most_once";
    case Promise::kNoWorkAfterDrain:
      return "no_work_after_drain";
    case Promise::kPlannedStopCutsNothing:
      return "planned_stop_cuts_nothing";
    case Promise::kConfigurationInForce:
      return "configuration_in_force";
    case Promise::kNeverReverts:
      return "never_reverts";
    case Promise::kSlotsAndConnections:
      return "slots_and_connections";
  }
  return "unknown";
}

void PromiseReport::Check(Promise promise, bool holds,
                          const std::string& detail) {
  Count& count = counts_[promise];
  ++count.checked;
  if (holds) {
    return;
  }
  ++count.violations;
  if (examples_.size() < kMaximumExamples) {
    examples_.push_back(fmt::format("{}: {}", PromiseName(promise), detail));
  }
}

void PromiseReport::Merge(const PromiseReport& other) {
  for (const auto& [promise, count] : other.counts_) {
    counts_[promise].checked += count.checked;
    counts_[promise].violations += count.violations;
  }
  for (const std::string& example : other.examples_) {
    if (examples_.size() < kMaximumExamples) {
      examples_.push_back(example);
    }
  }
}

PromiseReport::Count PromiseReport::count(Promise promise) const {
  const auto found = counts_.find(promise);
  return found == counts_.end() ? Count() : found->second;
}

std::uint64_t PromiseReport::violations() const {
  std::uint64_t violations = 0;
  for (const auto& [promise, count] : counts_) {
    violations += count.violations;
  }
  return violations;
}

}  // namespace juniperway::lab
