#include "common/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace juniperway::rollout {
namespace {

// Minimum number of baseline answers; with fewer answers the slow step is
// unknown.
constexpr double kMinimumBaselineAnswers = 5;
// Quantile of the baseline version's latencies that slow answers are measured
// against.
constexpr double kBaselineQuantile = 0.75;
// Upper bound of the share of bad answers that canaries may have. It is below
// 1, so that canaries can still do worse. A service with a larger share of bad
// answers is down.
constexpr double kMaximumBaselineShare = 0.75;

AnswerCounts Difference(const AnswerCounts& newer, const AnswerCounts& older) {
  AnswerCounts difference;
  const auto subtract = [](std::uint32_t left, std::uint32_t right) {
    return left > right ? left - right : 0;
  };
  difference.failed = subtract(newer.failed, older.failed);
  difference.untimed = subtract(newer.untimed, older.untimed);
  for (std::size_t step = 0; step < kLatencySteps; ++step) {
    difference.timed[step] = subtract(newer.timed[step], older.timed[step]);
  }
  return difference;
}

// Number of time slots that are kept for comparison.
constexpr std::int64_t kRetainedTimeSlots = 8;

// Returns the share of bad answers that canaries may have if the baseline
// version has this share.
double AllowedShare(double baseline_share) {
  return std::clamp(baseline_share * VersionComparison::kBaselineShareMargin,
                    VersionComparison::kMinimumBaselineShare,
                    kMaximumBaselineShare);
}

}  // namespace

void VersionComparison::BaselineStatistics::Decay(MonotonicTime now) {
  const double seconds_passed = ToSeconds(now - decayed_at_);
  decayed_at_ = now;
  const double decay = std::exp(-seconds_passed / ToSeconds(decay_time_));
  total_ *= decay;
  failed_ *= decay;
  for (double& count : timed_) {
    count *= decay;
  }
}

void VersionComparison::BaselineStatistics::Add(const AnswerCounts& counts) {
  total_ += counts.total();
  failed_ += counts.failed;
  for (std::size_t step = 0; step < kLatencySteps; ++step) {
    timed_[step] += counts.timed[step];
  }
}

std::size_t VersionComparison::BaselineStatistics::SlowStep() const {
  double all = 0;
  for (const double count : timed_) {
    all += count;
  }
  if (all < kMinimumBaselineAnswers) {
    return kLatencySteps;
  }
  double below = 0;
  std::size_t step = 0;
  while (step < kLatencySteps &&
         below + timed_[step] < kBaselineQuantile * all) {
    below += timed_[step];
    ++step;
  }
  return std::min(step + kSlowerSteps, kLatencySteps);
}

VersionComparison::BadCount VersionComparison::BaselineStatistics::Count(
    Badness badness, std::size_t slow_step) const {
  if (badness == Badness::kFailed) {
    return {.bad = failed_, .total = total_};
  }
  BadCount count;
  for (std::size_t step = 0; step < kLatencySteps; ++step) {
    count.total += timed_[step];
    count.bad += step >= slow_step ? timed_[step] : 0;
  }
  return count;
}

void VersionComparison::BaselineTimeSlots::Add(const AnswerCounts& counts,
                                               MonotonicTime now) {
  const std::int64_t slot = now.time_since_epoch() / kTimeSlot;
  by_slot_[slot] += counts;
  by_slot_.erase(by_slot_.begin(),
                 by_slot_.lower_bound(slot - kRetainedTimeSlots));
}

VersionComparison::BadCount VersionComparison::BaselineTimeSlots::CountAround(
    MonotonicTime time, std::size_t slow_step) const {
  const std::int64_t slot = time.time_since_epoch() / kTimeSlot;
  const auto end = by_slot_.upper_bound(slot + 2);
  BadCount count;
  for (auto entry = by_slot_.lower_bound(slot - 1); entry != end; ++entry) {
    count.bad += entry->second.CountFromStep(slow_step);
    count.total += entry->second.CountFromStep(0);
  }
  return count;
}

void VersionComparison::Comparison::AddBaseline(const AnswerCounts& counts,
                                                MonotonicTime now) {
  Decay(now);
  baseline.Add(counts);
  latest_baseline.Add(counts);
  time_slots.Add(counts, now);
}

void VersionComparison::Comparison::Decay(MonotonicTime now) {
  baseline.Decay(now);
  latest_baseline.Decay(now);
}

double VersionComparison::Comparison::AllowedBadShare(Badness badness) const {
  const std::size_t slow_step = baseline.SlowStep();
  const auto share = [](double bad, double total) {
    return total > 0 ? bad / total : 0;
  };
  const BadCount recent = baseline.Count(badness, slow_step);
  const BadCount now = latest_baseline.Count(badness, slow_step);
  // The standard deviation of a Poisson count is its square root.
  const double beyond_chance = std::max(0.0, now.bad - std::sqrt(now.bad));
  return AllowedShare(std::max(share(recent.bad, recent.total),
                               share(beyond_chance, now.total)));
}

std::optional<double> VersionComparison::Comparison::SlowShareAround(
    MonotonicTime time) const {
  const BadCount count = time_slots.CountAround(time, baseline.SlowStep());
  if (count.total < kMinimumBaselineAnswers) {
    return std::nullopt;
  }
  // Laplace's rule of succession: a share that is estimated from few answers is
  // never zero.
  const double share = (count.bad + 1) / (count.total + 2);
  return std::max(AllowedShare(share), AllowedBadShare(Badness::kSlow));
}

void VersionComparison::CumulativeSum::Add(const std::string& router,
                                           std::uint32_t good,
                                           std::uint32_t bad,
                                           double baseline_share) {
  const double worse_share =
      std::min(baseline_share + kMinimumDetectedIncrease, 0.99);
  const double good_increment =
      std::log((1 - worse_share) / (1 - baseline_share));
  const double bad_increment = std::log(worse_share / baseline_share);
  score = std::max(0.0, score + good * good_increment + bad * bad_increment);
  if (score == 0) {
    witnesses.clear();
  } else if (bad > 0) {
    witnesses.insert(router);
  }
}

AnswerCounts VersionComparison::TakeIncrement(const std::string& router,
                                              std::uint64_t incarnation,
                                              const AnswerReport& report) {
  Source& source = sources_[{router, report.group}];
  if (source.incarnation != incarnation) {
    source = {.incarnation = incarnation, .counts = {}};
  }
  const AnswerCounts increment = Difference(report.counts, source.counts);
  source.counts = report.counts;
  return increment;
}

void VersionComparison::OnReport(const std::string& router,
                                 std::uint64_t incarnation,
                                 const AnswerReport& report,
                                 MonotonicTime now) {
  const AnswerCounts increment = TakeIncrement(router, incarnation, report);
  if (report.group.canary) {
    canary_answers_ += increment.total();
    const PendingAnswers pending{.reported_at = now,
                                 .router = router,
                                 .route = report.group.route,
                                 .counts = increment};
    pending_failures_.push_back(pending);
    pending_latencies_.push_back(pending);
    return;
  }
  baseline_answers_ += increment.total();
  by_route_[report.group.route].AddBaseline(increment, now);
  all_routes_.AddBaseline(increment, now);
}

void VersionComparison::Evaluate(MonotonicTime now,
                                 const EvaluationRule& rule) {
  const auto take_due = [now](std::deque<PendingAnswers>& pending,
                              Duration after, const auto& evaluate) {
    while (!pending.empty() && pending.front().reported_at + after <= now) {
      evaluate(pending.front());
      pending.pop_front();
    }
  };
  all_routes_.Decay(now);
  for (auto& [route, comparison] : by_route_) {
    comparison.Decay(now);
  }
  take_due(
      pending_failures_, rule.failures_after,
      [this](const PendingAnswers& answers) { EvaluateFailures(answers); });
  if (!rule.latencies_after) {
    pending_latencies_.clear();
    return;
  }
  take_due(pending_latencies_, *rule.latencies_after,
           [&](const PendingAnswers& answers) {
             EvaluateLatencies(answers, rule.within_time_slots);
           });
}

void VersionComparison::EvaluateFailures(const PendingAnswers& answers) {
  const AnswerCounts& counts = answers.counts;
  canary_bad_ += counts.failed;
  for (Comparison* comparison : {&by_route_[answers.route], &all_routes_}) {
    comparison->failures.Add(answers.router, counts.answered(), counts.failed,
                             comparison->AllowedBadShare(Badness::kFailed));
  }
}

void VersionComparison::EvaluateLatencies(const PendingAnswers& answers,
                                          bool within_time_slots) {
  const auto count_slow = [&](const Comparison& comparison) {
    return answers.counts.CountFromStep(comparison.baseline.SlowStep());
  };
  canary_bad_ += count_slow(all_routes_);
  for (Comparison* comparison : {&by_route_[answers.route], &all_routes_}) {
    const std::uint32_t slow = count_slow(*comparison);
    const std::uint32_t fast = answers.counts.CountFromStep(0) - slow;
    const std::optional<double> baseline_share =
        within_time_slots ? comparison->SlowShareAround(answers.reported_at)
                          : comparison->AllowedBadShare(Badness::kSlow);
    // Without answers of the baseline version in the same time slots, slow
    // answers are not counted.
    comparison->slow.Add(
        answers.router, fast, baseline_share ? slow : 0,
        baseline_share.value_or(comparison->AllowedBadShare(Badness::kSlow)));
  }
}

std::vector<const VersionComparison::CumulativeSum*>
VersionComparison::AllSums() const {
  std::vector<const CumulativeSum*> sums{&all_routes_.failures,
                                         &all_routes_.slow};
  for (const auto& [route, comparison] : by_route_) {
    sums.push_back(&comparison.failures);
    sums.push_back(&comparison.slow);
  }
  return sums;
}

const VersionComparison::CumulativeSum& VersionComparison::WorstSum() const {
  const std::vector<const CumulativeSum*> sums = AllSums();
  return **std::ranges::max_element(
      sums, {}, [](const CumulativeSum* sum) { return sum->score; });
}

bool VersionComparison::IsWorse(std::size_t routers) const {
  const std::size_t needed =
      std::clamp<std::size_t>(routers, 1, kMinimumWitnesses);
  return std::ranges::any_of(AllSums(), [needed](const CumulativeSum* sum) {
    return sum->score >= kScoreLimit && sum->witnesses.size() >= needed;
  });
}

Evidence VersionComparison::Describe() const {
  const CumulativeSum& worst = WorstSum();
  return {.canary_answers = canary_answers_,
          .canary_bad = canary_bad_,
          .baseline_answers = baseline_answers_,
          .baseline_bad_share =
              std::max(all_routes_.AllowedBadShare(Badness::kFailed),
                       all_routes_.AllowedBadShare(Badness::kSlow)),
          .score = worst.score,
          .witnesses = worst.witnesses.size()};
}

}  // namespace juniperway::rollout
