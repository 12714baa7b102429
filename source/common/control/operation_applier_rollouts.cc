// What operations on roll-outs do to the replicated state.
#include <string>
#include <utility>
#include <vector>

#include "common/control/operation_applier.h"

namespace juniperway::control {
namespace {

using rollout::Rollout;
using rollout::RolloutState;

// An order that is sent again may come late, and without the change id of the
// first one: the same order is not a new one for this long after the roll-out
// has ended. Callers send an order again for less than the time in which it has
// to be acknowledged, 10 s at most on the known deployments.
constexpr Duration kResendTime = seconds(30);

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

// The order asks for what the roll-out has done, or does.
bool IsResend(const Rollout& rollout, const protocol::StartRolloutT& operation,
              WallTime now) {
  const bool same = rollout.target_version == operation.target_version &&
                    rollout.duration == Duration(operation.duration_us);
  const WallTime ended = rollout.ordered_at + rollout.duration;
  return same && (rollout.running() || now < ended + kResendTime);
}

}  // namespace

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::StartRolloutT& operation) {
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  const auto begun = BeginRollout(operation);
  Outcome outcome = begun ? Done() : Refuse(begun.error());
  RememberChange(operation.change_id, operation.digest, outcome, {});
  return outcome;
}

Result<void> OperationApplier::BeginRollout(
    const protocol::StartRolloutT& operation) {
  auto& rollouts = state_.fleet_.rollouts;
  const auto held = rollouts.find(operation.service);
  if (held != rollouts.end()) {
    if (IsResend(held->second, operation, state_.wall_time_)) {
      return {};
    }
    if (held->second.running()) {
      return MakeError(ErrorCode::kConflict, "service",
                       "a roll-out to version " + held->second.target_version +
                           " is under way");
    }
  }
  Rollout rollout;
  rollout.number = state_.revision_ + 1;
  rollout.target_version = operation.target_version;
  rollout.replaced_versions = VersionsOf(state_.fleet_, operation.service);
  const bool is_there =
      rollout.replaced_versions.erase(rollout.target_version) > 0;
  rollout.ordered_at = state_.wall_time_;
  rollout.duration = Duration(operation.duration_us);
  rollout.phase_began_at = rollout.ordered_at;
  rollout.share_permille = operation.share_permille;
  rollout.base_share_permille = operation.share_permille;
  rollout.change_id = operation.change_id;
  if (is_there && rollout.replaced_versions.empty()) {
    // Nothing else runs: holding it back would leave the service without back
    // ends.
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
  if (state_.fleet_.rollouts.erase(operation.service) > 0) {
    CommitRollout(operation.service);
  }
  Outcome outcome = Done();
  RememberChange(operation.change_id, operation.digest, outcome, {});
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
