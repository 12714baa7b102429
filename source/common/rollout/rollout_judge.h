// The leader's view of all roll-outs that are under way: what routers report of
// their canaries, and which step each takes next. What routers report is soft
// state: a new leader hears all of it again. Pure: time is an argument.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/rollout/answer_counts.h"
#include "common/rollout/rollout.h"
#include "common/rollout/rollout_plan.h"
#include "common/rollout/version_comparison.h"

namespace juniperway::rollout {

struct NamedStep {
  std::string service;
  RolloutNumber rollout = 0;
  RolloutStep step;
  // That decided it.
  Evidence evidence;
};

// How far routers with a lease are with a revision, as parts of them.
struct RouterProgress {
  // They know of it.
  double confirmed = 0;
  // Nothing of theirs is under way at back ends that it withdraws.
  double released = 0;
};

class RolloutJudge {
 public:
  explicit RolloutJudge(const ExposureLimit& limit) : limit_(limit) {}

  // This machine leads no more.
  void Stop();

  void OnReport(const std::string& router, std::uint64_t incarnation,
                const std::vector<AnswerReport>& reports,
                const Rollouts& rollouts, MonotonicTime now);

  // The router has reported everything to this leader.
  void OnHeard(const std::string& router) { heard_.insert(router); }

  // What is known of the fleet.
  struct Fleet {
    WallTime wall_time{};
    std::size_t routers = 0;
    std::function<RouterProgress(std::uint64_t revision)> progress;
    // Back ends of a service with a version that are in use.
    std::function<std::size_t(const std::string& service,
                              const std::string& version)>
        count_backends;
  };
  // Steps that are due. A step is named again until the state shows it.
  std::vector<NamedStep> TakeSteps(const Rollouts& rollouts, const Fleet& fleet,
                                   MonotonicTime now);

  // Roll-outs whose routers may use a share above the base share, as of the
  // last TakeSteps.
  std::vector<RolloutNumber> RenewedShares() const;

  // Of the roll-out that is under way; nothing was found otherwise.
  Evidence EvidenceOf(const std::string& service) const;

 private:
  // One roll-out under way, as this leader has seen it.
  struct Watch {
    RolloutNumber number = 0;
    // Elapsed time counts by this machine's clock that never steps; what went
    // before it led is taken from the wall clocks.
    MonotonicTime since;
    Duration elapsed_before{};
    RolloutPhase phase = RolloutPhase::kObserving;
    // Known to enough routers since then; max(): it is not.
    MonotonicTime phase_since = MonotonicTime::max();
    // Most routers have reported everything.
    bool heard = false;
    // Routers may use a share above the base share.
    bool renews_share = false;
    VersionComparison comparison;
  };

  // @return the watch of the roll-out, new where it is not watched yet.
  Watch& WatchOf(const std::string& service, const Rollout& rollout,
                 WallTime wall_time, MonotonicTime now);
  void ForgetEnded(const Rollouts& rollouts);
  // Most routers of the fleet have reported everything.
  bool HasHeardMost(const Fleet& fleet) const;

  ExposureLimit limit_;
  std::map<std::string, Watch> watches_;
  // Routers that have reported everything to this leader.
  std::set<std::string> heard_;
};

}  // namespace juniperway::rollout
