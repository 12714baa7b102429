// Evaluates all running rollouts on the leader: collects the routers' reports
// about the canaries and the baseline version, and decides the next step of
// each rollout. The control node's LeaderRole owns the RolloutJudge. The
// reports are soft state: routers send all of them again to a new leader. Does
// no I/O: time is an argument.
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

struct ServiceStep {
  std::string service;
  RolloutNumber rollout = 0;
  RolloutStep step;
  // Evidence of the comparison at the time when the step was decided.
  Evidence evidence;
};

// How many routers have applied a revision, as shares (0 to 1) of the routers
// with a lease.
struct RouterProgress {
  // Share of routers that have confirmed the revision.
  double confirmed = 0;
  // Share of routers that have no request in flight at backends that the
  // revision withdraws.
  double released = 0;
};

class RolloutJudge {
 public:
  explicit RolloutJudge(const ExposureLimit& limit) : limit_(limit) {}

  // Discards all state when this control node stops being the leader.
  void Stop();

  void OnReport(const std::string& router, std::uint64_t incarnation,
                const std::vector<AnswerReport>& reports,
                const Rollouts& rollouts, MonotonicTime now);

  // Records that the router has reported all of its counts to this leader.
  void OnFullReport(const std::string& router) {
    reported_routers_.insert(router);
  }

  // What the leader knows of the fleet.
  struct Fleet {
    WallTime wall_time{};
    std::size_t routers = 0;
    std::function<RouterProgress(std::uint64_t revision)> progress;
    // Returns the number of listed backends of the service that run the
    // version.
    std::function<std::size_t(const std::string& service,
                              const std::string& version)>
        count_backends;
  };
  // Returns the steps that are due. The same step is returned again until
  // `rollouts` contains it.
  std::vector<ServiceStep> TakeSteps(const Rollouts& rollouts,
                                     const Fleet& fleet, MonotonicTime now);

  // Returns the rollouts whose routers may use a share above the base share, as
  // of the last TakeSteps call.
  std::vector<RolloutNumber> RenewedShares() const;

  // Returns the evidence on the service's running rollout; empty if none is
  // running.
  Evidence EvidenceOf(const std::string& service) const;

 private:
  // The state of one running rollout on this leader.
  struct Evaluation {
    RolloutNumber number = 0;
    // The time since then is measured with this control node's monotonic clock.
    // The time before this control node became leader (elapsed_before) is taken
    // from the wall clocks.
    MonotonicTime evaluated_since;
    Duration elapsed_before{};
    RolloutPhase phase = RolloutPhase::kObserving;
    // When enough routers had confirmed the phase; max() while too few routers
    // have confirmed it.
    MonotonicTime phase_confirmed_since = MonotonicTime::max();
    // Whether most routers have reported all of their counts.
    bool most_reported = false;
    // Whether routers may use a share above the base share.
    bool renews_share = false;
    VersionComparison comparison;
  };

  // Returns the evaluation of the rollout, and creates it if the rollout is
  // new.
  Evaluation& EvaluationOf(const std::string& service, const Rollout& rollout,
                           WallTime wall_time, MonotonicTime now);
  void RemoveEnded(const Rollouts& rollouts);
  // Whether most routers of the fleet have reported all of their counts.
  bool HaveMostReported(const Fleet& fleet) const;

  ExposureLimit limit_;
  std::map<std::string, Evaluation> evaluations_;
  // Routers that have reported all of their counts to this leader.
  std::set<std::string> reported_routers_;
};

}  // namespace juniperway::rollout
