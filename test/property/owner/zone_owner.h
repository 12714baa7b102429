// One owner of a simulated zone: runs OwnershipTracker and a BackendGate for
// each backend as the gateway does, simulates the backends' answers, and
// records the events.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "common/owner/backend_gate.h"
#include "common/owner/ownership_tracker.h"
#include "property/owner/chances.h"
#include "property/owner/owner_world.h"
#include "property/owner/zone_control.h"
#include "sim/timeline.h"

namespace juniperway::owner::testing {

// Objects that all owners of a zone share.
struct ZoneContext {
  sim::Timeline& timeline;
  RandomSource& random;
  WorldResult& result;
  PlantedDefect defect = PlantedDefect::kNone;
};

// One owner of the zone. The simulation holds the ZoneOwner; the objects that
// ZoneContext refers to outlive the ZoneOwner.
class ZoneOwner {
 public:
  ZoneOwner(std::string name, const session::FleetView& view,
            ZoneContext context);

  Heartbeat MakeHeartbeat();
  void TakeView(const session::FleetViewPointer& view);
  // Processes an answer that granted or renewed the lease; the owner sent the
  // heartbeat at `sent`.
  void TakeLease(MonotonicTime sent);
  void TakeWatermarks(resources::Revision in_force,
                      resources::Revision zone_released);
  // Applies the begin or the end of the lease if either has occurred since the
  // last call.
  void CheckLease();
  void Submit(const std::string& backend, SubqueryId id,
              MonotonicTime deadline);
  void Cancel(const std::string& backend, SubqueryId id);

  // Drops all messages from and to this owner until `end`.
  void PartitionUntil(MonotonicTime end) { partitioned_until_ = end; }
  bool reachable() const { return timeline_.now() >= partitioned_until_; }
  resources::Revision seen() const { return view_ ? view_->revision : 0; }

 private:
  // State of one backend at this owner.
  struct BackendState {
    std::string backend;
    BackendGate gate;
    // Searches that the backend has not ended yet.
    std::set<SubqueryId> running = {};
    // Subqueries without a result.
    std::set<SubqueryId> open = {};
    // Increases when the owner closes all connections. Answers to cancel
    // requests and probes of an earlier generation are ignored.
    std::uint64_t generation = 0;
    // Number of cancel requests and probes in flight.
    std::uint32_t calls = 0;
    bool drain_known = false;
  };

  void TakeDrain(BackendState& state, bool drain);
  void CutOff();
  void RefreshAccess();
  void RecordReleasedBackends();
  void Perform(BackendState& state, const GateActions& actions);
  void PerformOne(BackendState& state, const GateAction& action);
  void ArmTimer(BackendState& state);
  void StartSearch(BackendState& state, SubqueryId id);
  void OnReply(BackendState& state, SubqueryId id);
  void EndSearch(BackendState& state, SubqueryId id);
  void SendCall(BackendState& state, SubqueryId id, bool probe);
  void OnCancelDone(BackendState& state, SubqueryId id);
  BackendReply RandomReply();
  void Record(EventKind kind, const BackendState& state, SubqueryId id = 0);
  void RecordResult(const BackendState& state, SubqueryId id,
                    protocol::SubqueryOutcome outcome);

  std::string name_;
  sim::Timeline& timeline_;
  RandomSource& random_;
  WorldResult& result_;
  PlantedDefect defect_;
  OwnershipTracker tracker_;
  session::FleetViewPointer view_;
  std::map<std::string, std::unique_ptr<BackendState>> backends_;
  std::optional<MonotonicTime> lease_end_;
  bool leased_ = false;
  MonotonicTime partitioned_until_;
};

}  // namespace juniperway::owner::testing
