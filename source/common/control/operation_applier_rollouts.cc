// The operations on rollouts.
#include <string>
#include <utility>
#include <vector>

#include "common/control/operation_applier.h"
#include "common/control/order_subject.h"

namespace juniperway::control {
namespace {

using rollout::Rollout;
using rollout::RolloutState;

// A resent order may arrive late and without the change id of the first one.
// For this long after the planned end of the rollout, the same order does not
// start a new one. Operators resend an order within the time in which it must
// be acknowledged, which is at most 10 s on the known deployments.
constexpr Duration kOrderResendWindow = seconds(30);

std::set<std::string> VersionsOf(const FleetStore& fleet,
                                 const std::string& service) {
  std::set<std::string> versions;
  for (const auto& [id, backend] : fleet.discovered) {
    if (backend.service == service) {
      versions.insert(backend.version);
    }
  }
  return versions;
}

// Whether the order repeats the one that started `rollout`.
bool IsResend(const Rollout& rollout, const protocol::StartRolloutT& operation,
              WallTime now) {
  const bool same = rollout.target_version == operation.target_version &&
                    rollout.duration == Duration(operation.duration_us);
  const WallTime ended = rollout.ordered_at + rollout.duration;
  return same && (rollout.running() || now < ended + kOrderResendWindow);
}

}  // namespace

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::StartRolloutT& operation) {
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  const std::string subject = RolloutSubject(operation.service);
  if (auto refused = RefuseOvertaken(subject)) {
    return std::move(*refused);
  }
  const auto started = StartRollout(operation);
  if (started) {
    RecordOrder(subject, operation.change_id);
  }
  Outcome outcome = started ? Done() : Refuse(started.error());
  RecordChange(operation.change_id, operation.digest, outcome, {});
  return outcome;
}

Result<void> OperationApplier::StartRollout(
    const protocol::StartRolloutT& operation) {
  auto& rollouts = state_.fleet_.rollouts;
  const auto existing = rollouts.find(operation.service);
  if (existing != rollouts.end()) {
    if (IsResend(existing->second, operation, state_.wall_time_)) {
      return {};
    }
    if (existing->second.running()) {
      return MakeError(ErrorCode::kConflict, "service",
                       "a rollout to version " +
                           existing->second.target_version + " is running");
    }
  }
  Rollout rollout;
  rollout.number = state_.revision_ + 1;
  rollout.target_version = operation.target_version;
  rollout.replaced_versions = VersionsOf(state_.fleet_, operation.service);
  const bool target_is_listed =
      rollout.replaced_versions.erase(rollout.target_version) > 0;
  rollout.ordered_at = state_.wall_time_;
  rollout.duration = Duration(operation.duration_us);
  rollout.phase_began_at = rollout.ordered_at;
  rollout.share_permille = operation.share_permille;
  rollout.base_share_permille = operation.share_permille;
  rollout.change_id = operation.change_id;
  if (target_is_listed && rollout.replaced_versions.empty()) {
    // All backends run the target version. Limiting them as canaries would
    // leave the service without backends.
    rollout.state = RolloutState::kComplete;
  }
  rollouts[operation.service] = std::move(rollout);
  CommitRollout(operation.service);
  return {};
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::AdvanceRolloutT& operation) {
  const auto found = state_.fleet_.rollouts.find(operation.service);
  if (found == state_.fleet_.rollouts.end() || !found->second.running() ||
      found->second.number != operation.number) {
    return Done();
  }
  Rollout& rollout = found->second;
  const auto phase = static_cast<rollout::RolloutPhase>(operation.phase);
  if (rollout.phase != phase) {
    rollout.phase_began_at = state_.wall_time_;
    rollout.answers_before_phase = operation.canary_answers;
  }
  rollout.state = static_cast<RolloutState>(operation.state);
  rollout.phase = phase;
  rollout.share_permille = operation.share_permille;
  rollout.reason = operation.reason;
  CommitRollout(operation.service);
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::RemoveRolloutT& operation) {
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  const std::string subject = RolloutSubject(operation.service);
  if (auto refused = RefuseOvertaken(subject)) {
    return std::move(*refused);
  }
  RecordOrder(subject, operation.change_id);
  if (state_.fleet_.rollouts.erase(operation.service) > 0) {
    CommitRollout(operation.service);
  }
  Outcome outcome = Done();
  RecordChange(operation.change_id, operation.digest, outcome, {});
  return outcome;
}

void OperationApplier::CommitRollout(const std::string& service) {
  std::vector<FleetItem> items = {
      NamedItem(FleetItem::Kind::kRollout, service)};
  for (const auto& [id, backend] : state_.fleet_.discovered) {
    if (backend.service == service) {
      items.push_back(NamedItem(FleetItem::Kind::kDiscovered, id));
    }
  }
  state_.Commit(std::move(items));
  const auto rollout = state_.fleet_.rollouts.find(service);
  if (rollout != state_.fleet_.rollouts.end()) {
    rollout->second.revision = state_.revision_;
  }
}

}  // namespace juniperway::control
