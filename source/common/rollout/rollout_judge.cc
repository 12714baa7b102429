#include "common/rollout/rollout_judge.h"

#include <algorithm>

namespace juniperway::rollout {
namespace {

// A router's report of the other version's answers is at most this much later
// than one of a canary's: one heartbeat (session::SessionTiming).
constexpr Duration kOthersReportedWithin = seconds(1);

// While canaries get little, a verdict can wait for what all routers report of
// the same second; later each second costs much of the exposure limit.
VersionComparison::JudgingRule JudgingRuleOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kObserving:
      return {.failures_after = kOthersReportedWithin,
              .latencies_after = kOthersReportedWithin};
    case RolloutPhase::kWidening:
    case RolloutPhase::kFull:
      return {.latencies_after = VersionComparison::kMomentReportedWithin,
              .same_moment = true};
    case RolloutPhase::kReplacing:
      break;
  }
  return {};
}

// What routers tell a new leader holds both versions' answers of the same time:
// there is nothing to wait for.
constexpr VersionComparison::JudgingRule kJudgeAtOnce{.latencies_after =
                                                          Duration(0)};

// Part of the routers that has to know a phase, or to have reported to a new
// leader. With all of them a router that is cut off would hold up the roll-out
// until its lease ends, a third of a short roll-out's time.
constexpr double kMostRouters = 0.9;

bool IsKnown(RolloutPhase phase, double confirmed_part) {
  // The replaced versions stop next: no router may use them any more.
  return confirmed_part >=
         (phase == RolloutPhase::kReplacing ? 1.0 : kMostRouters);
}

}  // namespace

void RolloutJudge::Stop() {
  watches_.clear();
  heard_.clear();
}

bool RolloutJudge::HasHeardMost(const Fleet& fleet) const {
  return static_cast<double>(heard_.size()) >=
         kMostRouters * static_cast<double>(fleet.routers);
}

RolloutJudge::Watch& RolloutJudge::WatchOf(const std::string& service,
                                           const Rollout& rollout,
                                           WallTime wall_time,
                                           MonotonicTime now) {
  Watch& watch = watches_[service];
  if (watch.number != rollout.number) {
    const Duration passed = wall_time - rollout.ordered_at;
    watch = Watch{};
    watch.number = rollout.number;
    watch.since = now;
    // Clocks of machines differ, and may jump.
    watch.elapsed_before = std::clamp(passed, Duration(0), rollout.duration);
  }
  return watch;
}

void RolloutJudge::ForgetEnded(const Rollouts& rollouts) {
  std::erase_if(watches_, [&](const auto& entry) {
    const auto rollout = rollouts.find(entry.first);
    return rollout == rollouts.end() || !rollout->second.running();
  });
}

void RolloutJudge::OnReport(const std::string& router,
                            std::uint64_t incarnation,
                            const std::vector<AnswerReport>& reports,
                            const Rollouts& rollouts, MonotonicTime now) {
  for (const AnswerReport& report : reports) {
    const auto rollout = rollouts.find(report.group.service);
    const bool current = rollout != rollouts.end() &&
                         rollout->second.running() &&
                         rollout->second.number == report.rollout;
    const auto watch = watches_.find(report.group.service);
    if (current && watch != watches_.end() &&
        watch->second.number == report.rollout) {
      watch->second.comparison.OnReport(router, incarnation, report, now);
    }
  }
}

std::vector<NamedStep> RolloutJudge::TakeSteps(const Rollouts& rollouts,
                                               const Fleet& fleet,
                                               MonotonicTime now) {
  ForgetEnded(rollouts);
  std::vector<NamedStep> steps;
  for (const auto& [service, rollout] : rollouts) {
    if (!rollout.running()) {
      continue;
    }
    Watch& watch = WatchOf(service, rollout, fleet.wall_time, now);
    const RouterProgress progress = fleet.progress(rollout.revision);
    const bool known = IsKnown(rollout.phase, progress.confirmed);
    if (watch.phase != rollout.phase || !known) {
      watch.phase = rollout.phase;
      watch.phase_since = MonotonicTime::max();
    }
    if (known) {
      watch.phase_since = std::min(watch.phase_since, now);
    }
    if (!watch.heard && HasHeardMost(fleet)) {
      watch.heard = true;
      watch.comparison.Judge(now, kJudgeAtOnce);
    }
    watch.comparison.Judge(now, JudgingRuleOf(rollout.phase));
    const Evidence evidence = watch.comparison.Describe();
    const RolloutFacts facts{
        .elapsed = watch.elapsed_before + (now - watch.since),
        .watched = now - watch.since,
        .heard = watch.heard,
        .in_phase = known ? Duration(now - watch.phase_since) : Duration(0),
        .since_phase_began =
            std::clamp(Duration(fleet.wall_time - rollout.phase_began_at),
                       Duration(0), rollout.duration),
        .canaries_worse = watch.comparison.IsWorse(fleet.routers),
        .suspicion = watch.comparison.Suspicion(),
        .canary_answers = evidence.canary_answers,
        .other_answers = evidence.other_answers,
        .canaries = fleet.count_backends(service, rollout.target_version),
        .known = known,
        .released = progress.released >= 1};
    watch.renews_share = MayRenewShare(rollout, facts);
    if (auto step = NextStep(rollout, facts, limit_)) {
      steps.push_back({.service = service,
                       .rollout = rollout.number,
                       .step = std::move(*step),
                       .evidence = evidence});
    }
  }
  return steps;
}

std::vector<RolloutNumber> RolloutJudge::RenewedShares() const {
  std::vector<RolloutNumber> renewed;
  for (const auto& [service, watch] : watches_) {
    if (watch.renews_share) {
      renewed.push_back(watch.number);
    }
  }
  return renewed;
}

Evidence RolloutJudge::EvidenceOf(const std::string& service) const {
  const auto watch = watches_.find(service);
  return watch == watches_.end() ? Evidence{}
                                 : watch->second.comparison.Describe();
}

}  // namespace juniperway::rollout
