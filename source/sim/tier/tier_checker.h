// What the query tier promises its callers, checked against what back ends
// really began. It is told of every observation and keeps the first violation.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/key_range.h"
#include "common/routing/query_types.h"

namespace juniperway::sim {

enum class TierPromise {
  kOneSnapshot,   // rows are those of one index version
  kTrueCoverage,  // exactly what the answer calls searched is in it
  kNotRunTrue,    // what was refused as not run began nowhere
  kAtMostOnce,    // a request that must not be repeated begins once
  kSlotsKept,     // a back end never runs more than its slots
  kDrainKept,     // nothing begins at a back end known to drain
};

std::string_view TierPromiseName(TierPromise promise);

struct TierViolation {
  TierPromise promise = TierPromise::kOneSnapshot;
  std::string detail;
};

// There is a row at each multiple of this.
inline constexpr Key kRowSpacing = kKeySpaceEnd / 64;
std::string RowValue(resources::IndexVersion version, Key key);

// One request of a caller, with all its submissions.
struct CallerRequest {
  std::string id;
  KeyRange asked;
  bool repeatable = true;
};

class TierChecker {
 public:
  // A back end begins a part of a request.
  void ObserveBegun(const CallerRequest& request, KeyRange range);
  // The caller is told: its latest submission has this outcome.
  void ObserveOutcome(const CallerRequest& request,
                      const routing::QueryOutcome& outcome);
  void ObserveLoad(const std::string& backend, std::size_t running,
                   std::size_t slots);
  void ObserveStart(const std::string& backend, bool known_to_drain);

  const std::optional<TierViolation>& violation() const { return violation_; }
  const std::map<TierPromise, std::uint64_t>& checks() const { return checks_; }
  std::uint64_t whole() const { return whole_; }
  std::uint64_t partial() const { return partial_; }
  std::uint64_t refused() const { return refused_; }

 private:
  void Expect(TierPromise promise, bool holds, const std::string& detail);
  void CheckAnswer(const CallerRequest& request, const routing::Answer& answer);
  void CheckRows(const CallerRequest& request, const routing::Answer& answer);

  struct Begun {
    std::vector<KeyRange> ranges;
    // The caller was told that nothing was run.
    bool denied = false;
  };

  std::optional<TierViolation> violation_;
  std::map<TierPromise, std::uint64_t> checks_;
  std::map<std::string, Begun> requests_;
  std::uint64_t whole_ = 0;
  std::uint64_t partial_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace juniperway::sim
