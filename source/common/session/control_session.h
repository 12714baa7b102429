// The daemon's side of its session with the control machines, as the gateway
// sees it. Implementations: ControlSessionClient (real), and the stand-ins of
// tests and simulation. All calls and callbacks are on the daemon's own thread.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/execution_state.h"
#include "common/base/time.h"
#include "common/session/fleet_view.h"

namespace juniperway::session {

// Identifies a request that must run at most once.
struct ClaimKey {
  std::string service;
  std::string request_id;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ClaimKey&) const = default;
};

enum class ClaimDecision {
  kGranted,         // First claim: the caller may run the request.
  kAlreadyClaimed,  // Someone claimed it before; see recorded_outcome.
  kExpired,         // The expiry has passed: nothing may run.
};

struct ClaimReply {
  ClaimDecision decision = ClaimDecision::kExpired;
  // For kAlreadyClaimed: what was recorded, if the claimant got that far.
  std::optional<ExecutionState> recorded_outcome;
};

class ControlSession {
 public:
  using ViewListener = std::function<void(const FleetViewPointer&)>;
  using ClaimCallback = std::function<void(Result<ClaimReply>)>;

  virtual ~ControlSession() = default;

  // The newest view; never null (an empty view before the first update).
  virtual FleetViewPointer View() const = 0;

  // Called with each new view, before the daemon confirms its revision.
  virtual void SetViewListener(ViewListener listener) = 0;

  // True while the daemon's lease is valid at `now`: its configuration is then
  // known to be the one in force.
  virtual bool HasLease(MonotonicTime now) const = 0;

  // Revision that every daemon with a lease has confirmed.
  virtual resources::Revision InForceRevision() const = 0;

  // Revision up to which every gateway of this zone with a lease has let go of
  // the back ends it does not own. An owner starts using a back end only when
  // this has reached the revision that made it the owner.
  virtual resources::Revision ZoneReleasedRevision() const = 0;

  // Called when InForceRevision or ZoneReleasedRevision grew.
  virtual void SetProgressListener(std::function<void()> listener) = 0;

  // Tells control up to which revision this gateway has let go.
  virtual void ReportReleased(resources::Revision revision) = 0;

  // Reports what an owned back end holds and whether it drains.
  virtual void ReportBackend(const std::string& backend,
                             const BackendReport& report) = 0;

  // Records a claim in replicated, synced state. The callback runs once, with
  // an error of kUnavailable/kDeadlineExceeded when the outcome is unknown
  // (the claim may have been recorded: treat as claimed by this attempt only
  // if a later reply says kGranted).
  // @param expiry when the id may be forgotten; bounds the claim store.
  virtual void Claim(const ClaimKey& key, WallTime expiry, Duration timeout,
                     ClaimCallback callback) = 0;

  // Records how a claimed request ended. Best effort.
  virtual void RecordOutcome(const ClaimKey& key, ExecutionState outcome) = 0;

  // Announces a planned stop; `done` runs once it is replicated or `timeout`
  // has passed.
  virtual void Leave(Duration timeout, std::function<void()> done) = 0;
};

}  // namespace juniperway::session
