// The product's promises, and how often each was checked and found broken.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace juniperway::lab {

enum class Promise {
  kOneSnapshot,
  kCoverageTrue,
  kWholeAndOwn,
  kRefusalHonest,
  kAtMostOnce,
  kNoWorkAfterDrain,
  kPlannedStopCutsNothing,
  kConfigurationInForce,
  kNeverReverts,
  kSlotsAndConnections,
};

// The name in reports, e.g. "one_snapshot".
std::string_view PromiseName(Promise promise);

class PromiseReport {
 public:
  struct Count {
    std::uint64_t checked = 0;
    std::uint64_t violations = 0;
  };

  // Counts one check; a broken one is kept as an example (the first few).
  void Check(Promise promise, bool holds, const std::string& detail);
  void Merge(const PromiseReport& other);

  Count count(Promise promise) const;
  const std::map<Promise, Count>& counts() const { return counts_; }
  std::uint64_t violations() const;
  // "one_snapshot: …", for people.
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  std::map<Promise, Count> counts_;
  std::vector<std::string> examples_;
};

}  // namespace juniperway::lab
