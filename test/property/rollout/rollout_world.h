// Simulates a rollout in a fleet under virtual time with the production
// decision code: the leader's RolloutJudge and plan, and each router's
// CanaryAllowance and AnswerTally. Messages are delayed, routers are
// partitioned and restart, and leaders change. With `leases` the control nodes'
// lease table decides what is in force, and a new leader learns of routers from
// their heartbeats. Otherwise a change is in force at once, and all routers
// report again when a leader starts. Each test owns its RolloutWorld.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/control/lease_table.h"
#include "common/rollout/answer_tally.h"
#include "common/rollout/canary_allowance.h"
#include "common/rollout/rollout_judge.h"

namespace juniperway::test {

// The fault of the target version.
enum class VersionFault {
  kNone,
  kFails,            // In a third of its answers, from the start.
  kSlow,             // Four times slower, from the start.
  kFailsOnOneRoute,  // In half of the answers on the rarer route.
  kFailsLater,       // Only after two fifths of the duration.
  kFailsUnderLoad,   // Only while it gets a fifth of the requests.
  kBothFail,         // Both versions fail alike for a while.
};

struct RolloutWorldOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 60;
  double requests_per_second = 100;
  Duration duration = seconds(12);
  VersionFault fault = VersionFault::kNone;
  // Partitions and restarts routers, and changes leaders.
  bool daemon_faults = false;
  // Planted defect: routers ignore the canaries' share and send canaries all
  // requests.
  bool ignores_share = false;
  // Planted defect: routers keep a share that no leader renews.
  bool ignores_share_lease = false;
  // The leader learns only from routers' heartbeats which changes are in force.
  bool leases = false;
};

struct RolloutReport {
  rollout::RolloutState state = rollout::RolloutState::kRunning;
  // Time from the order to the end of the rollout.
  Duration decided_after{};
  // Requests to the service and to the canaries until the end of the rollout's
  // duration.
  std::size_t requests = 0;
  std::size_t canary_requests = 0;
  // Canary requests that reachable routers sent more than kWorldRollbackBound
  // after the rollback.
  std::size_t late_canary_requests = 0;
  std::size_t canary_bad_before_decision = 0;
};

inline constexpr rollout::ExposureLimit kWorldExposure{.share = 0.1,
                                                       .slack = 50};
inline constexpr Duration kWorldRollbackBound = seconds(5);

class RolloutWorld {
 public:
  explicit RolloutWorld(const RolloutWorldOptions& options);
  RolloutReport Run();

 private:
  struct Router {
    std::string name;
    std::uint64_t incarnation = 1;
    rollout::Rollout view;
    bool has_rollout = false;
    rollout::CanaryAllowance allowance;
    rollout::AnswerTally tally;
    MonotonicTime next_report;
    // Term of the leader that last answered the router.
    std::uint64_t term = 0;
    // Whether the last heartbeat was refused or renewed no lease.
    bool lease_refused = false;
    MonotonicTime lease_end = MonotonicTime::min();
    MonotonicTime partitioned_until = MonotonicTime::min();
    MonotonicTime down_until = MonotonicTime::min();
  };
  struct Event {
    MonotonicTime time;
    std::function<void()> run;
  };

  void Schedule(MonotonicTime time, std::function<void()> run);
  void RunDueEvents();
  void MakeRequests();
  void SendRequest(Router& router);
  void SimulateAnswer(Router& router, const std::string& route, bool canary,
                      rollout::RolloutNumber number);
  bool IsBad(const std::string& route, bool canary);
  void SendHeartbeat(Router& router);
  void OnHeartbeat(Router& router, const control::HeartbeatFacts& facts,
                   const std::vector<rollout::AnswerReport>& reports,
                   MonotonicTime sent_at);
  void AnswerHeartbeat(Router& router, std::uint64_t incarnation,
                       control::GrantOutcome outcome, MonotonicTime sent_at);
  void StopLeader();
  void StartLeader();
  rollout::RouterProgress ProgressOf(std::uint64_t revision);
  void TakeLeaderSteps();
  void Publish();
  void ApplyRollout(Router& router, const rollout::Rollout& rollout);
  void InjectDaemonFaults();
  bool IsReachable(const Router& router) const;
  Duration MessageDelay();
  // Returns the delay of a heartbeat without a report or of a heartbeat answer.
  Duration AnswerDelay();
  double DrawUniform();

  RolloutWorldOptions options_;
  std::mt19937_64 random_;
  MonotonicTime now_{seconds(1000)};
  MonotonicTime ordered_at_;
  std::vector<std::string> names_;
  std::vector<Router> routers_;
  rollout::Rollouts rollouts_;
  rollout::RolloutJudge judge_{kWorldExposure};
  std::uint64_t term_ = 1;
  control::LeaseTable lease_table_{control::LeaseTable::Options()};
  std::map<std::string, session::Member> members_;
  // Separate generator for AnswerDelay, so that its draws do not change the
  // others.
  std::mt19937_64 answer_random_;
  MonotonicTime leaderless_until_ = MonotonicTime::min();
  std::vector<Event> events_;
  bool step_in_flight_ = false;
  MonotonicTime rolled_back_at_ = MonotonicTime::max();
  RolloutReport report_;
};

}  // namespace juniperway::test
