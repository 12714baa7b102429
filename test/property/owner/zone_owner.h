// One owner of a simulated zone: runs OwnershipTracker and a BackendGate for
// each back end as the I/O shell does, plays the back ends' answers, and writes
// down what happened.
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

// What all owners of a zone share.
struct ZoneSurroundings {
  sim::Timeline& timeline;
  Chances& chances;
  WorldResult& result;
  PlantedDefect defect = PlantedDefect::kNone;
};

class ZoneOwner {
 public:
  ZoneOwner(std::string name, const session::FleetView& view,
            ZoneSurroundings surroundings);

  Heartbeat MakeHeartbeat();
  void TakeView(const session::FleetViewPointer& view);
  // The answer to a heartbeat sent at `sent` renewed the lease.
  void TakeLease(MonotonicTime sent);
  void TakeWatermarks(resources::Revision in_force,
                      resources::Revision zone_released);
  // Notices that the lease began or ended.
  void CheckLease();
  void Submit(const std::string& backend, SubqueryId id,
              MonotonicTime deadline);
  void Cancel(const std::string& backend, SubqueryId id);

  // No message gets through in either direction until `end`.
  void CutOffUntil(MonotonicTime end) { cut_until_ = end; }
  bool reachable() const { return timeline_.now() >= cut_until_; }
  resources::Revision seen() const { return view_ ? view_->revision : 0; }

 private:
  // The use of one back end.
  struct Use {
    std::string backend;
    BackendGate gate;
    // Searches that the back end has not ended yet.
    std::set<SubqueryId> running = {};
    // Subqueries without a result.
    std::set<SubqueryId> open = {};
    // Cancels and probes of an earlier life are not answered any more.
    std::uint64_t generation = 0;
    std::uint32_t calls = 0;
    bool drain_known = false;
  };

  void TakeDrain(Use& use, bool drain);
  void CutOff();
  void RefreshAccess();
  void NoteLetGo();
  void Perform(Use& use, const GateActions& actions);
  void PerformOne(Use& use, const GateAction& action);
  void ArmTimer(Use& use);
  void StartSearch(Use& use, SubqueryId id);
  void OnReply(Use& use, SubqueryId id);
  void EndSearch(Use& use, SubqueryId id);
  void SendCall(Use& use, SubqueryId id, bool probe);
  void OnCancelDone(Use& use, SubqueryId id);
  BackendReply RandomReply();
  void Note(EventKind kind, const Use& use, SubqueryId id = 0);
  void NoteResult(const Use& use, SubqueryId id,
                  protocol::SubqueryOutcome outcome);

  std::string name_;
  sim::Timeline& timeline_;
  Chances& chances_;
  WorldResult& result_;
  PlantedDefect defect_;
  OwnershipTracker tracker_;
  session::FleetViewPointer view_;
  std::map<std::string, std::unique_ptr<Use>> uses_;
  std::optional<MonotonicTime> lease_end_;
  bool leased_ = false;
  MonotonicTime cut_until_;
};

}  // namespace juniperway::owner::testing
