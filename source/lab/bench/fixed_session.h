// A control session whose view and watermarks the benchmark sets; the lease is
// always valid, and there are no claims.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "common/session/control_session.h"

namespace juniperway::lab {

class FixedSession : public session::ControlSession {
 public:
  void Set(session::FleetViewPointer view) { view_ = std::move(view); }
  void SetReleased(resources::Revision revision) {
    in_force_ = revision;
    zone_released_ = revision;
  }
  // Runs with each revision that the owner has released.
  void SetReleaseListener(std::function<void(resources::Revision)> listener) {
    on_released_ = std::move(listener);
  }

  session::FleetViewPointer View() const override { return view_; }
  void SetViewListener(ViewListener /*listener*/) override {}
  bool HasLease(MonotonicTime /*now*/) const override { return true; }
  resources::Revision InForceRevision() const override { return in_force_; }
  resources::Revision ZoneReleasedRevision() const override {
    return zone_released_;
  }
  void SetProgressListener(std::function<void()> /*listener*/) override {}
  void ReportReleased(resources::Revision revision) override {
    if (on_released_) {
      on_released_(revision);
    }
  }
  void ReportBackend(const std::string& /*backend*/,
                     const session::BackendReport& /*report*/) override {}
  void Claim(const session::ClaimKey& /*key*/, WallTime /*expiry*/,
             Duration /*timeout*/, ClaimCallback callback) override {
    callback(MakeError(ErrorCode::kUnavailable, "", "no claims here"));
  }
  void RecordOutcome(const session::ClaimKey& /*key*/,
                     ExecutionState /*outcome*/) override {}
  void Leave(Duration /*timeout*/, std::function<void()> done) override {
    done();
  }

 private:
  session::FleetViewPointer view_ = std::make_shared<session::FleetView>();
  resources::Revision in_force_ = 0;
  resources::Revision zone_released_ = 0;
  std::function<void(resources::Revision)> on_released_;
};

}  // namespace juniperway::lab
