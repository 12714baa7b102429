// Applies single operations of a command to the replicated state. Internal to
// control_state.cc.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "common/control/control_state.h"

namespace juniperway::control {

class OperationApplier {
 public:
  explicit OperationApplier(ControlState& state) : state_(state) {}

  protocol::OperationResultT Apply(const protocol::OperationUnion& operation);

  // Daemons that joined, left or were removed by the operations so far.
  std::set<std::string> TakeChangedMembers() {
    return std::move(changed_members_);
  }

  // Drops records of requests that were not reported again for long enough.
  void ExpireCrashes();

 private:
  using Outcome = protocol::OperationResultT;

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
  // @return kConflict when the service has another roll-out under way.
  Result<void> BeginRollout(const protocol::StartRolloutT& operation);
  // Of the service's roll-out and all its back ends: daemons see them change.
  void CommitRollout(const std::string& service);
  // Puts the order in force, or withdraws it.
  void SetEvacuation(const protocol::SetZoneEvacuationT& operation);

  void Judge(const protocol::JudgeCrashesT& operation);
  // Makes room for one more record.
  void DropOldestCrash();
  void CommitCrash(RequestFingerprint request);

  // The first outcome of a change id that was seen before, if it was.
  std::optional<Outcome> FindFirstOutcome(const std::string& change_id,
                                          std::uint64_t digest) const;
  void RememberChange(const std::string& change_id, std::uint64_t digest,
                      const Outcome& outcome,
                      const std::vector<resources::ResourceId>& written);

  Outcome WriteSet(std::vector<resources::Resource> set);
  Outcome Erase(const resources::ResourceId& id, resources::Revision version);
  // Success at the state's revision.
  Outcome Done() const;
  Outcome Refuse(const Error& error) const;
  // Adds the current objects to a conflict.
  void AttachCurrent(const std::vector<resources::ResourceId>& ids,
                     Outcome& outcome) const;

  ControlState& state_;
  std::set<std::string> changed_members_;
};

}  // namespace juniperway::control
