// Tracks requests that crash the backends which run them, and decides how the
// router handles each request. RouterServer owns the guard. The class reads no
// clock: callers pass the current time.
//
// A request is suspected once kMinimumCrashedBackends backends have crashed
// while they ran it and none has run it successfully. The control group's
// verdicts arrive with each fleet view and take precedence. The router's own
// observations apply until a verdict arrives, also while the router is
// partitioned from the control group.
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

// How the router handles a request.
enum class RequestHandling {
  kNone,
  // The router sends one attempt to one backend first, and further attempts
  // only once that backend has answered successfully.
  kTrial,
  // The router refuses the request.
  kRefuse,
};

// Decides per request fingerprint; see the top of this file.
class CrashGuard {
 public:
  // Maximum number of the router's own observations; the guard evicts the
  // oldest first. Each observation takes 64 bytes and the ids of its backends.
  static constexpr std::size_t kMaximumObservations = 1024;
  // How long the guard uses an observation without further evidence. It is
  // longer than the control group takes to turn a crash report into a verdict,
  // including a leader election.
  static constexpr Duration kObservationTimeToLive = seconds(60);
  // Distinct backends that must crash while they run a request before it is
  // suspected. One or two may be a coincidence: a crash also breaks the other
  // requests that the backend was running.
  static constexpr std::size_t kMinimumCrashedBackends = 3;

  void OnView(const session::FleetView& view);

  // Records that these backends crashed while they ran the request, and that
  // none has survived it.
  void OnBackendsCrashed(RequestFingerprint request,
                         const std::vector<std::string>& backends,
                         MonotonicTime now);
  // Records that a backend answered the request successfully.
  // @return true when this router had observed crashes while backends ran the
  //   request, or the newest view lists the request as crashing.
  bool OnSurvived(RequestFingerprint request);

  RequestHandling HandlingOf(RequestFingerprint request,
                             MonotonicTime now) const;

  // Returns the number of requests that the newest view quarantines.
  std::size_t quarantined() const { return quarantined_; }

 private:
  struct Observation {
    std::set<std::string> crashed_backends;
    MonotonicTime latest;
  };

  void EvictOldest();

  std::map<RequestFingerprint, Observation> observations_;
  // The crashing requests of the newest view.
  CopyOnWriteMap<RequestFingerprint, session::CrashingRequest> fleet_verdicts_;
  std::size_t quarantined_ = 0;
};

}  // namespace juniperway::forwarding
