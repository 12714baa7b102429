// A ControlSession without control machines: the test sets view and lease, and
// claims live in memory. One thread; callbacks run through the io_context.
#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/session/control_session.h"

namespace juniperway::test {

class StaticSession : public session::ControlSession {
 public:
  explicit StaticSession(asio::io_context& context)
      : context_(context),
        view_(std::make_shared<const session::FleetView>()) {}

  // What the next claims meet.
  enum class ClaimBehaviour {
    kAnswer,   // Decided by the claims recorded so far.
    kUnknown,  // Recorded, but the answer is lost (kUnavailable).
    kExpired,
    kHold,  // Recorded; answered by ReleaseHeldClaims.
  };

  void SetView(session::FleetView view) {
    view_ = std::make_shared<const session::FleetView>(std::move(view));
    if (view_listener_) {
      view_listener_(view_);
    }
  }
  void SetLease(bool has_lease) { has_lease_ = has_lease; }
  void SetInForce(resources::Revision revision) {
    in_force_ = revision;
    NotifyProgress();
  }
  void SetZoneReleased(resources::Revision revision) {
    zone_released_ = revision;
    NotifyProgress();
  }
  void SetClaimBehaviour(ClaimBehaviour behaviour) {
    claim_behaviour_ = behaviour;
  }
  void ReleaseHeldClaims() {
    for (auto& reply : std::exchange(held_, {})) {
      asio::post(context_, std::move(reply));
    }
  }
  std::size_t held_claims() const { return held_.size(); }
  const std::map<session::ClaimKey, std::optional<ExecutionState>>& claims()
      const {
    return claims_;
  }
  const std::map<std::string, session::BackendReport>& reports() const {
    return reports_;
  }
  resources::Revision reported_released() const { return reported_released_; }

  session::FleetViewPointer View() const override { return view_; }
  void SetViewListener(ViewListener listener) override {
    view_listener_ = std::move(listener);
  }
  bool HasLease(MonotonicTime) const override { return has_lease_; }
  resources::Revision InForceRevision() const override { return in_force_; }
  resources::Revision ZoneReleasedRevision() const override {
    return zone_released_;
  }
  void SetProgressListener(std::function<void()> listener) override {
    progress_listener_ = std::move(listener);
  }
  void ReportReleased(resources::Revision revision) override {
    reported_released_ = revision;
  }
  void ReportBackend(const std::string& backend,
                     const session::BackendReport& report) override {
    reports_[backend] = report;
  }
  void Claim(const session::ClaimKey& key, WallTime, Duration,
             ClaimCallback callback) override {
    const Result<session::ClaimReply> reply = Decide(key);
    auto run = [callback = std::move(callback), reply] { callback(reply); };
    if (claim_behaviour_ == ClaimBehaviour::kHold) {
      held_.push_back(std::move(run));
    } else {
      asio::post(context_, std::move(run));
    }
  }
  void RecordOutcome(const session::ClaimKey& key,
                     ExecutionState outcome) override {
    claims_[key] = outcome;
  }
  void Leave(Duration, std::function<void()> done) override {
    asio::post(context_, std::move(done));
  }

 private:
  Result<session::ClaimReply> Decide(const session::ClaimKey& key) {
    if (claim_behaviour_ == ClaimBehaviour::kExpired) {
      return session::ClaimReply{session::ClaimDecision::kExpired, {}};
    }
    const auto [claim, first] = claims_.try_emplace(key, std::nullopt);
    if (claim_behaviour_ == ClaimBehaviour::kUnknown) {
      return MakeError(ErrorCode::kUnavailable, "", "claim's outcome unknown");
    }
    if (first) {
      return session::ClaimReply{session::ClaimDecision::kGranted, {}};
    }
    return session::ClaimReply{session::ClaimDecision::kAlreadyClaimed,
                               claim->second};
  }
  void NotifyProgress() {
    if (progress_listener_) {
      progress_listener_();
    }
  }

  asio::io_context& context_;
  session::FleetViewPointer view_;
  ViewListener view_listener_;
  std::function<void()> progress_listener_;
  bool has_lease_ = true;
  resources::Revision in_force_ = 0;
  resources::Revision zone_released_ = 0;
  resources::Revision reported_released_ = 0;
  ClaimBehaviour claim_behaviour_ = ClaimBehaviour::kAnswer;
  std::vector<std::function<void()>> held_;
  std::map<session::ClaimKey, std::optional<ExecutionState>> claims_;
  std::map<std::string, session::BackendReport> reports_;
};

}  // namespace juniperway::test
