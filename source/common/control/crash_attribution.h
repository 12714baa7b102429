// Which of the requests that were running on back ends when these ended is to
// blame. Pure.
//
// A crash ends whatever its back end is running, so that innocent requests lose
// attempts too. They lose them only where the one to blame was running as well:
// the request under which most back ends ended explains those, and another one
// is blamed only for what is left.
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

// Back ends that have to end under a request, and are not explained by another
// one, before the request is to blame. One or two may be a coincidence; after
// the third one the users allow hardly any further attempt.
inline constexpr std::size_t kBlamedAfter = 3;

// Whether this run of a back end's process (session::IncarnationName) is still
// on the discovery list. Another run under the same id shows that it has ended.
bool IsListed(
    const std::map<std::string, session::DiscoveredBackend>& discovered,
    const std::string& incarnation);

// Requests that are to blame and not quarantined yet.
std::vector<RequestFingerprint> FindBlamed(const CrashRecords& records);

// Decides over the replicated evidence when to quarantine and when to release.
// Kept by the leader; the next one begins anew, which delays a judgement by the
// times below and loses none.
class CrashJudge {
 public:
  // Other routers' evidence of the same crashes arrives within this: the way to
  // a control machine and on to the leader, and until a router has seen that a
  // back end is gone (each one round trip between regions, 24 ms).
  static constexpr Duration kSettleTime = milliseconds(200);
  // A back end that has ended is off the discovery list after this: seconds
  // after its crash. One that is still listed lives, and lost its connections
  // for another reason, such as having too many of them.
  static constexpr Duration kListedTime = seconds(20);

  struct Judgement {
    std::vector<RequestFingerprint> quarantine;
    std::vector<RequestFingerprint> release;

    bool empty() const { return quarantine.empty() && release.empty(); }
  };

  // @param is_listed whether the discovery list holds this run of a back end.
  Judgement Judge(const CrashRecords& records,
                  const std::function<bool(const std::string&)>& is_listed,
                  MonotonicTime now);

 private:
  // How much evidence there is on a request, and since when.
  struct Watched {
    std::size_t ended_backends = 0;
    bool quarantined = false;
    MonotonicTime since;
  };

  // @return whether anything has changed since the last call.
  bool Watch(const CrashRecords& records, MonotonicTime now);
  bool IsUnchangedFor(RequestFingerprint request, Duration time,
                      MonotonicTime now) const;

  std::map<RequestFingerprint, Watched> watched_;
  // Of the records as they were last seen to change: to find them may take long
  // where many requests are suspected.
  std::vector<RequestFingerprint> blamed_;
};

}  // namespace juniperway::control
