// Applies the individual operations of a command to the replicated state. Only
// ControlState uses it, and creates one applier for each command.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/control/control_state.h"

namespace juniperway::control {

// Changes the state that its creator passes in and owns.
class OperationApplier {
 public:
  explicit OperationApplier(ControlState& state) : state_(state) {}

  protocol::OperationResultT Apply(const protocol::OperationItemT& item);

  // Returns the daemons whose membership the operations so far have changed.
  std::set<std::string> TakeChangedMembers() {
    return std::move(changed_members_);
  }

  // Drops crash records whose time to live has passed since the last report.
  void ExpireCrashes();

 private:
  using Outcome = protocol::OperationResultT;

  Outcome Apply(const protocol::OperationUnion& operation);
  Outcome Apply(const protocol::ApplyResourcesT& operation);
  Outcome Apply(const protocol::DeleteResourceT& operation);
  Outcome Apply(const protocol::JoinMemberT& operation);
  Outcome Apply(const protocol::LeaveMemberT& operation);
  Outcome Apply(const protocol::RemoveMemberT& operation);
  Outcome Apply(const protocol::ClaimRequestT& operation);
  Outcome Apply(const protocol::RecordOutcomeT& operation);
  Outcome Apply(const protocol::ReportBackendsT& operation);
  Outcome Apply(const protocol::SetPlatformLeavingT& operation);
  Outcome Apply(const protocol::PutRouteTableT& operation);
  Outcome Apply(const protocol::UpdateDiscoveredT& operation);
  Outcome Apply(const protocol::SetZoneEvacuationT& operation);
  Outcome Apply(const protocol::ReportCrashT& operation);
  Outcome Apply(const protocol::JudgeCrashesT& operation);
  Outcome Apply(const protocol::StartRolloutT& operation);
  Outcome Apply(const protocol::AdvanceRolloutT& operation);
  Outcome Apply(const protocol::RemoveRolloutT& operation);
  // @return kConflict when another rollout of the service is running.
  Result<void> StartRollout(const protocol::StartRolloutT& operation);
  // Commits a change of the service's rollout and of all its backends, whose
  // role in the rollout daemons see.
  void CommitRollout(const std::string& service);
  // Starts or ends the evacuation of a zone.
  void SetEvacuation(const protocol::SetZoneEvacuationT& operation);

  void Judge(const protocol::JudgeCrashesT& operation);
  // Evicts the crash record with the oldest report. Evicts a quarantined record
  // only when there are no others.
  void EvictOldestCrash();
  void CommitCrash(RequestFingerprint request);

  // Returns the first outcome of the change with this id if the change was
  // applied before. The outcome is an error when that change had another
  // digest.
  std::optional<Outcome> FindFirstOutcome(const std::string& change_id,
                                          std::uint64_t digest) const;
  void RecordChange(const std::string& change_id, std::uint64_t digest,
                    const Outcome& outcome,
                    const std::vector<resources::ResourceId>& written);

  // Refuses the current order if a later one on `subject` was accepted.
  std::optional<Outcome> RefuseOvertaken(const std::string& subject) const;
  void RecordOrder(const std::string& subject, const std::string& change_id);

  Outcome WriteSet(std::vector<resources::Resource> set);
  Outcome Erase(const resources::ResourceId& id, resources::Revision version);
  // Returns success at the current revision of the state.
  Outcome Done() const;
  Outcome Refuse(const Error& error) const;
  // Adds the current resources to an outcome, so that the operator sees which
  // versions conflict.
  void AttachCurrent(const std::vector<resources::ResourceId>& ids,
                     Outcome& outcome) const;

  ControlState& state_;
  // The order that the current operation is based on.
  flatbuffers::Optional<OrderNumber> based_on_;
  std::set<std::string> changed_members_;
};

}  // namespace juniperway::control
