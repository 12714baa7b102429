// The replicated evidence on requests that may crash the backends that run
// them. FleetStore owns the records.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "common/base/request_fingerprint.h"
#include "common/base/time.h"

namespace juniperway::control {

// Evidence on one request.
struct CrashRecord {
  // Incarnation names (session::IncarnationName) of backends that crashed while
  // they ran the request, at most kMaximumEndedBackends.
  std::set<std::string> ended_backends;
  // Whether crashes are attributed to the request. If so, routers refuse the
  // request.
  bool quarantined = false;
  // Times of the first and of the latest report: the wall time of the state,
  // which comes from the leader's clock, when the state applied the report.
  WallTime since{};
  WallTime latest{};
};

using CrashRecords = std::map<RequestFingerprint, CrashRecord>;

// Maximum number of backends in one record. A scatter over hundreds of shards
// may crash a backend of each; a subset suffices to attribute the crashes.
inline constexpr std::size_t kMaximumEndedBackends = 64;
// Maximum number of records. The state evicts the record with the oldest report
// first, and quarantined ones only when there are no others. Together with
// kMaximumEndedBackends this bounds the size of the state in a mass failure.
inline constexpr std::size_t kMaximumCrashRecords = 512;
// Time to live of a suspicion after the last report. A client that repeats a
// request does so within minutes.
inline constexpr Duration kSuspicionTimeToLive = seconds(600);
// Time to live of a quarantine after the last report. A request that is sent
// again later may crash three more backends; the operator has to handle a fault
// that lasts longer.
inline constexpr Duration kQuarantineTimeToLive = seconds(3600);

}  // namespace juniperway::control
