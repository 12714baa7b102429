// The replicated state machine of the control group: resources, membership,
// backend reports, serving index versions, claims, change ids, crash records
// and rollouts. Each control node owns one state machine. The state machine
// does no I/O and is deterministic: all nodes that apply the same commands have
// the same state. The time is the leader's wall time in each command; the state
// ignores steps back.
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
#include "common/control/order_table.h"
#include "common/control/revision_log.h"
#include "common/protocol/command_generated.h"

namespace juniperway::control {

// Maximum number of claims. The state refuses further claims (kTooLarge) until
// some expire.
inline constexpr std::size_t kMaximumClaims = 2000000;
// How far the expiry of a claim may exceed the service's maximum_expiry, to
// allow for the difference between the clocks of the client and the leader.
inline constexpr Duration kClaimClockAllowance = seconds(60);

// Effects of one command.
struct AppliedCommand {
  // One result for each operation, in order.
  std::vector<protocol::OperationResultT> results;
  // Daemons whose membership has changed.
  std::set<std::string> changed_members;
};

// Serializes a command for the consensus log.
std::string EncodeCommand(const protocol::CommandT& command);

// The whole replicated state; only commands change it.
class ControlState {
 public:
  // Applies one command of the log. Aborts the process if the command does not
  // decode, because a committed command always does.
  AppliedCommand Apply(std::string_view command);
  AppliedCommand Apply(const protocol::CommandT& command);

  std::string EncodeSnapshot() const;
  // @return kCorrupt when `data` is not a snapshot.
  static Result<ControlState> DecodeSnapshot(std::string_view data);

  // Skips `revisions`, and as many order numbers, and raises the wall time in a
  // state that is restored from a backup, so that the state does not reuse a
  // revision or an order number, or grant a request id, that may have been used
  // after the backup.
  void SkipRevisions(resources::Revision revisions, WallTime wall_time);

  resources::Revision revision() const { return revision_; }
  // Highest timestamp of the commands so far.
  WallTime wall_time() const { return wall_time_; }
  const FleetStore& fleet() const { return fleet_; }
  const ClaimStore& claims() const { return claims_; }
  const OrderTable& orders() const { return orders_; }
  // Returns the record of the first outcome of the change with this id, or
  // null.
  const protocol::ChangeRecordT* FindChange(const std::string& id) const {
    return changes_.Find(id);
  }

  // Returns the update that brings a daemon from revision `from` to this state:
  // the full state when `from` is 0 or older than the revision log. `from` must
  // not be above revision().
  protocol::FleetUpdateT UpdateSince(resources::Revision from) const;

  // Returns the resources that changed after `from`, or nullopt when `from` is
  // older than the revision log.
  std::optional<std::vector<resources::ResourceId>> ResourcesChangedSince(
      resources::Revision from) const;

 private:
  friend class OperationApplier;

  // Raises the revision and records under it a change that daemons see.
  void Commit(std::vector<FleetItem> items);
  // Raises the serving versions of these services where NextServingVersion()
  // returns one.
  void AdvanceServing(const std::set<std::string>& services);

  resources::Revision revision_ = 0;
  WallTime wall_time_{};
  FleetStore fleet_;
  ClaimStore claims_;
  ChangeTable changes_;
  OrderTable orders_;
  RevisionLog log_;
};

}  // namespace juniperway::control
