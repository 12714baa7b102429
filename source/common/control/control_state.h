// The replicated state machine of the control machines: resources, membership,
// reports, serving index versions, claims and change ids. Pure and
// deterministic: every machine that applies the same commands has the same
// state. Time is the leader's wall time in each command, kept monotone.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/control/change_table.h"
#include "common/control/claim_store.h"
#include "common/control/fleet_store.h"
#include "common/control/revision_log.h"
#include "common/protocol/command_generated.h"

namespace juniperway::control {

// More claims than this are refused (kTooLarge) until some expire.
inline constexpr std::size_t kMaximumClaims = 2000000;
// How far a claim's expiry may lie past the service's maximum_expiry, for the
// difference of the caller's clock and the leader's.
inline constexpr Duration kClaimClockAllowance = seconds(60);

// What one command did.
struct AppliedCommand {
  // One for each operation, in order.
  std::vector<protocol::OperationResultT> results;
  // Daemons that joined, left or were removed.
  std::set<std::string> changed_members;
};

// Serializes a command for the consensus log.
std::string EncodeCommand(const protocol::CommandT& command);

class ControlState {
 public:
  // Applies one command of the log. A command that does not decode is a broken
  // invariant and aborts.
  AppliedCommand Apply(std::string_view command);
  AppliedCommand Apply(const protocol::CommandT& command);

  std::string EncodeSnapshot() const;
  // @return kCorrupt when `data` is not a snapshot.
  static Result<ControlState> DecodeSnapshot(std::string_view data);

  // For a state restored from a backup, where history went on after it: leaves
  // out `revisions`, and raises the wall time, so that neither a revision nor a
  // request id that may have been used since is taken for a new one.
  void LeaveGap(resources::Revision revisions, WallTime wall_time);

  resources::Revision revision() const { return revision_; }
  // Highest time stamped on a command so far.
  WallTime wall_time() const { return wall_time_; }
  const FleetStore& fleet() const { return fleet_; }
  const ClaimStore& claims() const { return claims_; }
  // The first outcome of a change id, or null.
  const protocol::ChangeRecordT* FindChange(const std::string& id) const {
    return changes_.Find(id);
  }

  // What brings a daemon from `from` to this state: a full state when `from` is
  // 0 or too old. `from` must not be above revision().
  protocol::FleetUpdateT UpdateSince(resources::Revision from) const;

  // Resources that changed after `from`; nothing when that is too old.
  std::optional<std::vector<resources::ResourceId>> ResourcesChangedSince(
      resources::Revision from) const;

 private:
  friend class OperationApplier;

  // A change that daemons see: takes the next revision.
  void Commit(std::vector<FleetItem> items);
  // Serves newer snapshots of these services where the rule allows it.
  void AdvanceServing(const std::set<std::string>& services);

  resources::Revision revision_ = 0;
  WallTime wall_time_{};
  FleetStore fleet_;
  ClaimStore claims_;
  ChangeTable changes_;
  RevisionLog log_;
};

}  // namespace juniperway::control
