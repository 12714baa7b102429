#include "sim/tier/tier_checker.h"

#include <algorithm>

namespace juniperway::sim {

std::string_view TierPromiseName(TierPromise promise) {
  switch (promise) {
    case TierPromise::kOneSnapshot:
      return "one snapshot";
    case TierPromise::kTrueCoverage:
      return "true coverage";
    case TierPromise::kNotRunTrue:
      return "not run true";
    case TierPromise::kAtMostOnce:
      return "at most once";
    case TierPromise::kSlotsKept:
      return "slots kept";
    case TierPromise::kDrainKept:
      return "drain kept";
  }
  return "unknown";
}

std::string RowValue(resources::IndexVersion version, Key key) {
  return "v" + std::to_string(version) + "k" + std::to_string(key);
}

void TierChecker::Expect(TierPromise promise, bool holds,
                         const std::string& detail) {
  ++checks_[promise];
  if (!holds && !violation_) {
    violation_ = TierViolation{promise, detail};
  }
}

void TierChecker::ObserveBegun(const CallerRequest& request, KeyRange range) {
  Begun& begun = requests_[request.id];
  Expect(TierPromise::kNotRunTrue, !begun.denied,
         request.id + " begins after it was refused as not run");
  if (!request.repeatable) {
    const bool again = std::ranges::any_of(
        begun.ranges,
        [range](const KeyRange& other) { return other.Intersects(range); });
    Expect(TierPromise::kAtMostOnce, !again, request.id + " begins again");
  }
  begun.ranges.push_back(range);
}

void TierChecker::ObserveOutcome(const CallerRequest& request,
                                 const routing::QueryOutcome& outcome) {
  if (const auto* answer = std::get_if<routing::Answer>(&outcome)) {
    ++(answer->coverage.missing.empty() ? whole_ : partial_);
    CheckAnswer(request, *answer);
    return;
  }
  ++refused_;
  const auto* refusal = std::get_if<routing::Refusal>(&outcome);
  if (refusal != nullptr && refusal->execution == ExecutionState::kNotRun) {
    Begun& begun = requests_[request.id];
    Expect(TierPromise::kNotRunTrue, begun.ranges.empty(),
           request.id + " was refused as not run, but had begun");
    begun.denied = true;
  }
}

void TierChecker::CheckAnswer(const CallerRequest& request,
                              const routing::Answer& answer) {
  std::vector<KeyRange> parts = answer.coverage.searched;
  for (const routing::MissingRange& missing : answer.coverage.missing) {
    parts.push_back(missing.range);
  }
  std::ranges::sort(parts, {}, &KeyRange::begin);
  Key expected = request.asked.begin;
  bool whole = true;
  for (const KeyRange& part : parts) {
    whole = whole && part.begin == expected;
    expected = part.end;
  }
  Expect(TierPromise::kTrueCoverage, whole && expected == request.asked.end,
         request.id + " has a coverage that is not the asked range");
  CheckRows(request, answer);
}

void TierChecker::CheckRows(const CallerRequest& request,
                            const routing::Answer& answer) {
  std::size_t next = 0;
  for (const KeyRange& range : answer.coverage.searched) {
    const Key first = (range.begin + kRowSpacing - 1) / kRowSpacing;
    for (Key key = first * kRowSpacing; key < range.end; key += kRowSpacing) {
      const bool there =
          next < answer.rows.size() && answer.rows[next].key == key;
      Expect(TierPromise::kTrueCoverage, there,
             request.id + " lacks the row at " + std::to_string(key));
      if (there) {
        Expect(TierPromise::kOneSnapshot,
               answer.rows[next].value == RowValue(answer.index_version, key),
               request.id + " of version " +
                   std::to_string(answer.index_version) + " has the row " +
                   std::string(answer.rows[next].value));
        ++next;
      }
    }
  }
  Expect(TierPromise::kTrueCoverage, next == answer.rows.size(),
         request.id + " has rows outside of what it searched");
}

void TierChecker::ObserveLoad(const std::string& backend, std::size_t running,
                              std::size_t slots) {
  Expect(TierPromise::kSlotsKept, running <= slots,
         backend + " runs " + std::to_string(running) + " of " +
             std::to_string(slots));
}

void TierChecker::ObserveStart(const std::string& backend,
                               bool known_to_drain) {
  Expect(TierPromise::kDrainKept, !known_to_drain,
         backend + " gets work although it drains");
}

}  // namespace juniperway::sim
