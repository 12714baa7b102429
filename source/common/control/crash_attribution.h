// Attributes crashes of backends to the requests that caused them. Does no I/O;
// the time is an argument.
//
// A crash ends all requests that the backend runs, so innocent requests lose
// attempts too, but only on backends that also ran the crashing request. The
// request under which the most backends crashed therefore explains all these
// crashes. Crashes are attributed to another request only if enough other
// crashes remain.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/base/request_fingerprint.h"
#include "common/base/time.h"
#include "common/control/crash_record.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

// Minimum number of backends that crashed under a request, and whose crashes no
// other request explains, for the crashes to be attributed to the request. One
// or two crashes may be a coincidence; after the third crash hardly any further
// attempt is acceptable.
inline constexpr std::size_t kMinimumUnexplainedBackends = 3;

// Whether this incarnation of a backend (session::IncarnationName) is still on
// the discovery list. Another incarnation under the same id shows that this one
// has ended.
bool IsListed(
    const std::map<std::string, session::DiscoveredBackend>& discovered,
    const std::string& incarnation);

// Returns the requests that crashes are attributed to and that are not
// quarantined yet.
std::vector<RequestFingerprint> AttributeCrashes(const CrashRecords& records);

// Decides from the replicated crash records which requests to quarantine and
// which to release. LeaderRole owns it. A new leader starts without the times
// of the evidence, which delays a decision by the delays below but loses none.
class CrashJudge {
 public:
  // Delay from the last new evidence on a request to its quarantine. Evidence
  // of other routers on the same crashes arrives in this time: a router detects
  // the crash and reports it to a control node, which forwards it to the leader
  // (each step takes one round trip between regions, 24 ms).
  static constexpr Duration kEvidenceDelay = milliseconds(200);
  // Delay after which a crashed backend is no longer on the discovery list,
  // which takes seconds. A backend that is still listed is running and lost its
  // connections for another reason, such as too many of them.
  static constexpr Duration kDiscoveryRemovalDelay = seconds(20);

  struct Judgement {
    std::vector<RequestFingerprint> quarantine;
    std::vector<RequestFingerprint> release;

    bool empty() const { return quarantine.empty() && release.empty(); }
  };

  // Returns the requests to quarantine: those that crashes are attributed to
  // and whose evidence is unchanged for kEvidenceDelay. Also returns the
  // requests to release: those whose evidence is unchanged for
  // kDiscoveryRemovalDelay, with at least one backend that is still listed and
  // fewer than kMinimumUnexplainedBackends that are not.
  // @param is_listed returns true if the discovery list contains the backend
  //   incarnation with this name (session::IncarnationName).
  Judgement Judge(const CrashRecords& records,
                  const std::function<bool(const std::string&)>& is_listed,
                  MonotonicTime now);

 private:
  // Evidence on a request, and the time since which it is unchanged.
  struct Evidence {
    std::size_t ended_backends = 0;
    bool quarantined = false;
    MonotonicTime since;
  };

  // Updates evidence_ from the records.
  // @return whether evidence on any request changed since the last call.
  bool UpdateEvidence(const CrashRecords& records, MonotonicTime now);
  bool IsUnchangedFor(RequestFingerprint request, Duration time,
                      MonotonicTime now) const;

  std::map<RequestFingerprint, Evidence> evidence_;
  // Result of AttributeCrashes() for the last changed records. It is stored
  // because the search takes long when many requests are suspected.
  std::vector<RequestFingerprint> attributed_;
};

}  // namespace juniperway::control
