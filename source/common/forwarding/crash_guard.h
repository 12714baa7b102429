// What a router knows of requests that end the back ends which run them, and
// how carefully it handles each because of that. Pure: time is an argument.
//
// A request is suspected once back ends ended under it and none survived it.
// The fleet's verdicts come with each view; what this router saw itself counts
// until they do, and while it is cut off from control.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/request_fingerprint.h"
#include "common/base/time.h"
#include "common/session/fleet_view.h"

namespace juniperway::forwarding {

// How a request is to be handled.
enum class Caution {
  kNone,
  // One attempt at one back end goes first, and the others follow only where
  // that back end survives.
  kTrial,
  // Nothing is sent.
  kRefuse,
};

class CrashGuard {
 public:
  // Requests that this router remembers by itself; the oldest go first. 64
  // bytes and the ids of their back ends each.
  static constexpr std::size_t kMaximumRemembered = 1024;
  // Without further evidence: longer than control takes to learn of it, also
  // where it first has to elect a leader.
  static constexpr Duration kMemory = seconds(60);
  // Back ends that have to end under a request before it is suspected. One or
  // two may be a coincidence: a crash ends what else its back end was running.
  static constexpr std::size_t kSuspectedAfter = 3;

  void OnView(const session::FleetView& view);

  // Back ends ended under the request, and none has survived it.
  void OnBackendsEnded(RequestFingerprint request,
                       const std::vector<std::string>& backends,
                       MonotonicTime now);
  // A back end ran the request and went on.
  // @return true when the request had been suspected, here or by the fleet.
  bool OnSurvived(RequestFingerprint request);

  Caution CautionFor(RequestFingerprint request, MonotonicTime now) const;

  // Requests that the fleet refuses.
  std::size_t quarantined() const { return quarantined_; }

 private:
  struct Observation {
    std::set<std::string> ended_backends;
    MonotonicTime latest;
  };

  void ForgetOldest();

  std::map<RequestFingerprint, Observation> own_;
  // Of the newest view.
  CopyOnWriteMap<RequestFingerprint, session::CrashingRequest> fleet_;
  std::size_t quarantined_ = 0;
};

}  // namespace juniperway::forwarding
