// A cluster of consensus state machines under virtual time, with a seeded
// network, disks that sync late and lose what is not synced, and drifting
// clocks. The same seed gives the same run. Checks every invariant as it goes.
//
// The machines are the product's own raft::Fsm; this file plays their driver.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "common/base/error.h"
#include "common/raft/fsm.h"
#include "sim/raft_checker.h"
#include "sim/raft_disk.h"

namespace juniperway::sim {

// Faults of the driver or the machine that the state machine's contract rules
// out. Planted to show that the checker finds what they break.
enum class RaftDefect {
  kForgetsVote,       // a restart finds the term, but not the vote
  kLosesSyncedTail,   // a restart finds fewer entries than were synced
  kSendsBeforeSync,   // messages leave before what they depend on is synced
  kSkipsRestartWait,  // a restarted node votes at once
  kMixesUpSnapshots,  // a snapshot restores an older state
  // The clock stands while the machine is suspended, as CLOCK_MONOTONIC does.
  kClockStandsWhileSuspended,
};

struct RaftClusterOptions {
  std::uint64_t seed = 0;
  raft::Options raft;  // id and seed are set for each node
  // Clocks run at rates within 1 ± half of this.
  double clock_drift = 0.008;
  double loss = 0.0;         // share of messages
  double duplication = 0.0;  // share of messages
  Duration minimum_delay = microseconds(200);
  Duration maximum_delay = milliseconds(5);
  double late = 0.01;  // share of messages that take up to this long:
  Duration maximum_lateness = seconds(3);
  Duration maximum_sync = milliseconds(10);
  // Snapshot after so many applied entries.
  raft::Index snapshot_interval = 50;
  std::set<RaftDefect> defects;
};

class RaftCluster {
 public:
  // Starts nodes 1 to `nodes`, all voters.
  RaftCluster(const RaftClusterOptions& options, int nodes);
  ~RaftCluster();
  RaftCluster(const RaftCluster&) = delete;
  RaftCluster& operator=(const RaftCluster&) = delete;

  // Runs the events of the next `duration`; stops early at a violation.
  void Run(Duration duration);
  // Since the start of the simulation.
  Duration now() const { return now_; }

  // Starts a node with an empty disk, to become a learner.
  void AddNode(raft::NodeId id);
  // Ends the process. What was not synced is lost, or was just written.
  void Crash(raft::NodeId id);
  void Restart(raft::NodeId id);
  // As Crash, and the disk never comes back.
  void Destroy(raft::NodeId id);
  // As Crash, and the node comes back at once with the empty disk that it had
  // at its first start.
  void LoseDisk(raft::NodeId id);
  // The process stands still or its machine is suspended: its clock runs on and
  // messages wait.
  void Freeze(raft::NodeId id, Duration duration);
  // Cuts one direction between two nodes.
  void Cut(raft::NodeId from, raft::NodeId to);
  // Ends all cuts, loss and duplication.
  void HealNetwork();
  void SetLoss(double loss, double duplication);

  // Proposes a new command there. @return false if it was refused.
  bool Propose(raft::NodeId id);
  // Calls an input of a running node's state machine, e.g. a membership
  // change. @return what the call returned; kUnavailable if it does not run.
  template <typename Call>
  auto Input(raft::NodeId id, Call call)
      -> decltype(call(std::declval<raft::Fsm&>(), MonotonicTime())) {
    if (!IsResponsive(id)) {
      return MakeError(ErrorCode::kUnavailable, "", "does not run");
    }
    auto outcome = call(*nodes_.at(id).fsm, LocalTime(id));
    AfterInput(id);
    return outcome;
  }

  // Runs and isn't frozen.
  bool IsResponsive(raft::NodeId id) const;
  bool IsRunning(raft::NodeId id) const;
  std::vector<raft::NodeId> RunningNodes() const;
  std::vector<raft::NodeId> CrashedNodes() const;  // that can be restarted
  raft::Status GetStatus(raft::NodeId id) const;
  // The node that holds the lease, if any.
  std::optional<raft::NodeId> LeaseHolder() const;

  RaftChecker& checker() { return checker_; }

 private:
  struct Node {
    std::unique_ptr<raft::Fsm> fsm;  // null: not running
    std::optional<RaftDisk> disk;    // empty: destroyed
    // The Ready that is being synced.
    std::optional<raft::Ready> syncing;
    raft::Index applied = 0;
    std::uint64_t hash = 0;  // of the state machine
    raft::Term led_term = 0;
    // Own proposals that wait to be applied: index to term.
    std::map<raft::Index, raft::Term> proposals;
    std::uint64_t incarnation = 0;
    double clock_rate = 1.0;
    Duration clock_offset{0};
    Duration wake_at = Duration::max();
    Duration frozen_until{0};
  };
  struct Event {
    enum class Kind { kDeliver, kWake, kSynced };
    Kind kind = Kind::kWake;
    raft::NodeId node = raft::kNoNode;
    std::uint64_t incarnation = 0;  // kWake, kSynced: of the process
    raft::Message message;          // kDeliver
  };

  MonotonicTime LocalTime(raft::NodeId id) const;
  Duration ToTrueTime(const Node& node, MonotonicTime time) const;
  Duration RandomDuration(Duration minimum, Duration maximum);
  bool Chance(double probability);
  bool Has(RaftDefect defect) const;

  void Schedule(Duration at, Event event);
  void Handle(Event event);
  void ScheduleWake(raft::NodeId id);
  // Takes and carries out Readys, and observes what changed.
  void AfterInput(raft::NodeId id);
  void Pump(raft::NodeId id);
  void ObserveTaken(raft::NodeId id, const raft::Ready& ready);
  void FinishReady(raft::NodeId id, raft::Ready ready);
  void Apply(raft::NodeId id, const raft::Entry& entry);
  void RestoreSnapshot(raft::NodeId id, const raft::Snapshot& snapshot);
  void CompactIfDue(raft::NodeId id);
  Duration RandomDelay();
  void SendAll(const std::vector<raft::Message>& messages);
  void Start(raft::NodeId id);
  void ObserveRole(raft::NodeId id);
  void ObserveLeases();

  RaftClusterOptions options_;
  raft::Configuration initial_;
  std::mt19937_64 random_;
  RaftChecker checker_;
  std::map<raft::NodeId, Node> nodes_;
  std::set<std::pair<raft::NodeId, raft::NodeId>> cuts_;  // from, to
  // Ordered by time, then by creation.
  std::map<std::pair<Duration, std::uint64_t>, Event> events_;
  std::uint64_t events_made_ = 0;
  std::uint64_t commands_made_ = 0;
  Duration now_{0};
};

}  // namespace juniperway::sim
