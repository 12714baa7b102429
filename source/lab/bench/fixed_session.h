// A ControlSession without control machines: the view and the lease never
// change, and no claim is granted. For benchmarks of the query path.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "common/session/control_session.h"

namespace juniperway::lab {

class FixedSession : public session::ControlSession {
 public:
  // The view may be set until the first gateway starts, and by its thread.
  void SetView(session::FleetViewPointer view) { view_ = std::move(view); }

  session::FleetViewPointer View() const override { return view_; }
  void SetViewListener(ViewListener) override {}
  bool HasLease(MonotonicTime) const override { return true; }
  resources::Revision InForceRevision() const override {
    return view_->revision;
  }
  resources::Revision ZoneReleasedRevision() const override {
    return view_->revision;
  }
  void SetProgressListener(std::function<void()>) override {}
  void ReportReleased(resources::Revision) override {}
  void ReportBackend(const std::string&,
                     const session::BackendReport&) override {}
  void Claim(const session::ClaimKey&, WallTime, Duration,
             ClaimCallback callback) override {
    callback(MakeError(ErrorCode::kUnavailable, "", "no control machines"));
  }
  void RecordOutcome(const session::ClaimKey&, ExecutionState) override {}
  void Leave(Duration, std::function<void()> done) override { done(); }

 private:
  session::FleetViewPointer view_ =
      std::make_shared<const session::FleetView>();
};

}  // namespace juniperway::lab
