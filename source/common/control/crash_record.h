// What the fleet knows of a request that may end the back ends which run it, as
// replicated.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "common/base/request_fingerprint.h"
#include "common/base/time.h"

namespace juniperway::control {

struct CrashRecord {
  // Ids of back ends that ended under it, at most kMaximumEndedBackends.
  std::set<std::string> ended_backends;
  // It is to blame: routers refuse it.
  bool quarantined = false;
  // Of the first and the latest report on it, by the leaders' clocks.
  WallTime since{};
  WallTime latest{};
};

using CrashRecords = std::map<RequestFingerprint, CrashRecord>;

// Of one request. A scatter over hundreds of shards may end one in each, and a
// part of them is enough to tell which request explains a crash.
inline constexpr std::size_t kMaximumEndedBackends = 64;
// Of all; the one with the oldest report goes first, and of those that are
// quarantined only once no other is left. Bounds what reports of a mass failure
// take: 64 ids each at most.
inline constexpr std::size_t kMaximumCrashRecords = 512;
// Without a further report a suspicion ends after this: a caller that repeats a
// request does so within minutes.
inline constexpr Duration kSuspicionTime = seconds(600);
// ... and a quarantine after this. What comes again later may end three more
// back ends; a fault that takes longer to mend is for the operator.
inline constexpr Duration kQuarantineTime = seconds(3600);

}  // namespace juniperway::control
