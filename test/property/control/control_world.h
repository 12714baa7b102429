// A simulated control group with daemons. It runs the real LeaderRole,
// ControlState and SessionState under message loss, delay and clock drift, with
// daemons that crash or are partitioned, and leaders that are partitioned or
// paused and recover. A model replaces raft and has the same guarantees: one
// log, and a leader lease that expires before the next leader is elected. After
// each event the world checks the guarantees of the watermarks. The test owns
// the world; all times are simulated.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "common/control/control_state.h"
#include "common/control/leader_role.h"
#include "common/session/session_state.h"

namespace juniperway::control::testing {

// A disabled mechanism, which the checks must detect.
enum class Defect {
  kNone,
  // A leader uses its leader lease for longer than consensus grants it.
  kLeaderLeaseTooLong,
  // A new leader assumes that no member holds a lease.
  kDropsLeases,
  // A daemon counts its lease from the answer instead of from its heartbeat.
  kLeaseFromAnswer,
  // A daemon confirms a revision before it uses the revision.
  kEarlyConfirmation,
  // A daemon reports that it released backends before it has done so.
  kEarlyRelease,
  // Clocks drift by more than the maximum that the lease table assumes.
  kExcessiveClockDrift,
};

struct WorldOptions {
  std::uint64_t seed = 1;
  Defect defect = Defect::kNone;
  std::size_t daemons = 6;
  Duration duration = seconds(90);
};

struct WorldReport {
  // The violated guarantee; empty if there is none.
  std::string violation;
  // Numbers of events in the run, which show that it exercised the faults.
  std::uint64_t leaders = 0;
  std::uint64_t grants = 0;
  std::uint64_t lost_leases = 0;
  std::uint64_t removals = 0;
  resources::Revision revision = 0;
  resources::Revision in_force = 0;
};

// Runs one seeded history.
class ControlWorld {
 public:
  explicit ControlWorld(const WorldOptions& options);
  ~ControlWorld();

  WorldReport Run();

 private:
  struct Node;
  struct Daemon;
  struct Event {
    MonotonicTime time;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  // --- Time and network
  void At(MonotonicTime time, std::function<void()> run);
  // Runs `deliver` after a network delay unless the message is lost. A paused
  // node runs it when it resumes; a partitioned node never does.
  void ToNode(std::size_t node, std::function<void()> deliver);
  void DeliverLater(std::function<void()> run);
  bool Chance(double probability);
  Duration RandomDuration(Duration low, Duration high);

  // --- Consensus model
  void Elect();
  void FailLeader();
  void ReconnectNode(std::size_t node);
  Result<raft::Fsm::Proposal> Propose(std::size_t node, std::string command);
  void ApplyUpTo(std::size_t node, std::size_t count);
  raft::Status StatusOf(std::size_t node) const;
  bool HasLeaderLease(std::size_t node) const;

  // --- Control nodes
  void MakeNode(std::size_t number);
  void TickNode(std::size_t node);
  void Forward(std::size_t daemon, std::uint64_t session,
               session::HeartbeatContent content);
  void AnswerHeartbeat(std::size_t daemon, std::uint64_t session,
                       const protocol::HeartbeatReplyT& reply);

  // --- Daemons
  void StartDaemon(std::size_t daemon);
  void TickDaemon(std::size_t daemon, std::uint64_t start);
  void OnView(std::size_t daemon, std::uint64_t session,
              resources::Revision revision);
  void Join(std::size_t daemon);
  MonotonicTime DaemonTime(const Daemon& daemon) const;

  void WriteService();
  void PartitionRandomDaemon();
  void Check();

  WorldOptions options_;
  WorldReport report_;
  std::mt19937_64 random_;
  MonotonicTime now_{seconds(1)};
  std::uint64_t last_order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;

  std::vector<raft::Entry> log_;
  raft::Term term_ = 0;
  std::optional<std::size_t> leader_;
  std::uint64_t changes_ = 0;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  // Highest watermarks that any leader announced.
  resources::Revision announced_in_force_ = 0;
  std::map<std::string, resources::Revision> announced_zones_;
};

}  // namespace juniperway::control::testing
