#include "common/routing/coverage.h"

namespace juniperway::routing {
namespace {

void AddSearched(KeyRange range, std::vector<KeyRange>& searched) {
  if (!searched.empty() && searched.back().end == range.begin) {
    searched.back().end = range.end;
  } else {
    searched.push_back(range);
  }
}

void AddMissing(KeyRange range, MissingReason reason,
                std::vector<MissingRange>& missing) {
  const bool extends_last = !missing.empty() &&
                            missing.back().range.end == range.begin &&
                            missing.back().reason == reason;
  if (extends_last) {
    missing.back().range.end = range.end;
  } else {
    missing.push_back({range, reason});
  }
}

}  // namespace

Coverage MakeCoverage(std::span<const RangeOutcome> outcomes) {
  Coverage coverage;
  Key searched_width = 0;
  Key asked_width = 0;
  for (const RangeOutcome& outcome : outcomes) {
    const Key width = outcome.range.end - outcome.range.begin;
    asked_width += width;
    if (outcome.missing.has_value()) {
      AddMissing(outcome.range, *outcome.missing, coverage.missing);
    } else {
      searched_width += width;
      AddSearched(outcome.range, coverage.searched);
    }
  }
  if (asked_width > 0) {
    coverage.share =
        static_cast<double>(searched_width) / static_cast<double>(asked_width);
  }
  return coverage;
}

}  // namespace juniperway::routing
