#include "common/rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace juniperway::rollout {
namespace {

// Below so many answers of the other version it is not known what is slow.
constexpr double kLeastUsualAnswers = 5;
// Quantile of the other version's latencies that slow answers are compared to.
constexpr double kUsualQuantile = 0.75;
// Shares above this leave no room for a worse one; such a service is down.
constexpr double kMostUsualShare = 0.75;

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

// Slots of moments that answers may still be compared to.
constexpr std::int64_t kSlotsKept = 8;

// Share of bad answers that a version may have where the other one has this.
double AllowedShare(double usual_share) {
  return std::clamp(usual_share * VersionComparison::kUsualShareMargin,
                    VersionComparison::kLeastUsualShare, kMostUsualShare);
}

}  // namespace

void VersionComparison::Usual::Fade(MonotonicTime now) {
  const double seconds_passed = ToSeconds(now - faded_at_);
  faded_at_ = now;
  const double left = std::exp(-seconds_passed / ToSeconds(memory_));
  total_ *= left;
  failed_ *= left;
  for (double& count : timed_) {
    count *= left;
  }
}

void VersionComparison::Usual::Add(const AnswerCounts& counts) {
  total_ += counts.total();
  failed_ += counts.failed;
  for (std::size_t step = 0; step < kLatencySteps; ++step) {
    timed_[step] += counts.timed[step];
  }
}

std::size_t VersionComparison::Usual::SlowStep() const {
  double all = 0;
  for (const double count : timed_) {
    all += count;
  }
  if (all < kLeastUsualAnswers) {
    return kLatencySteps;
  }
  double below = 0;
  std::size_t step = 0;
  while (step < kLatencySteps && below + timed_[step] < kUsualQuantile * all) {
    below += timed_[step];
    ++step;
  }
  return std::min(step + kSlowerSteps, kLatencySteps);
}

VersionComparison::BadCount VersionComparison::Usual::Count(
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

void VersionComparison::Moments::Add(const AnswerCounts& counts,
                                     MonotonicTime now) {
  const std::int64_t slot = now.time_since_epoch() / kMomentSlot;
  by_slot_[slot] += counts;
  by_slot_.erase(by_slot_.begin(), by_slot_.lower_bound(slot - kSlotsKept));
}

VersionComparison::BadCount VersionComparison::Moments::CountAround(
    MonotonicTime time, std::size_t slow_step) const {
  const std::int64_t slot = time.time_since_epoch() / kMomentSlot;
  const auto end = by_slot_.upper_bound(slot + 2);
  BadCount count;
  for (auto entry = by_slot_.lower_bound(slot - 1); entry != end; ++entry) {
    count.bad += entry->second.SlowerFrom(slow_step);
    count.total += entry->second.SlowerFrom(0);
  }
  return count;
}

void VersionComparison::Comparison::AddOther(const AnswerCounts& counts,
                                             MonotonicTime now) {
  Fade(now);
  usual.Add(counts);
  latest.Add(counts);
  moments.Add(counts, now);
}

void VersionComparison::Comparison::Fade(MonotonicTime now) {
  usual.Fade(now);
  latest.Fade(now);
}

double VersionComparison::Comparison::UsualShare(Badness badness) const {
  const std::size_t slow_step = usual.SlowStep();
  const auto share = [](double bad, double total) {
    return total > 0 ? bad / total : 0;
  };
  const BadCount of_late = usual.Count(badness, slow_step);
  const BadCount now = latest.Count(badness, slow_step);
  // One standard deviation of a count is its root.
  const double beyond_chance = std::max(0.0, now.bad - std::sqrt(now.bad));
  return AllowedShare(std::max(share(of_late.bad, of_late.total),
                               share(beyond_chance, now.total)));
}

std::optional<double> VersionComparison::Comparison::SlowShareAround(
    MonotonicTime time) const {
  const BadCount count = moments.CountAround(time, usual.SlowStep());
  if (count.total < kLeastUsualAnswers) {
    return std::nullopt;
  }
  // Laplace's rule of succession: a share of few answers is not taken for zero.
  const double share = (count.bad + 1) / (count.total + 2);
  return std::max(AllowedShare(share), UsualShare(Badness::kSlow));
}

void VersionComparison::Sum::Add(const std::string& router, std::uint32_t good,
                                 std::uint32_t bad, double usual_share) {
  const double worse_share = std::min(usual_share + kLeastHarm, 0.99);
  const double for_good = std::log((1 - worse_share) / (1 - usual_share));
  const double for_bad = std::log(worse_share / usual_share);
  score = std::max(0.0, score + good * for_good);
  if (score == 0) {
    witnesses.clear();
  }
  score += bad * for_bad;
  if (bad > 0) {
    witnesses.insert(router);
  }
}

AnswerCounts VersionComparison::TakeNew(const std::string& router,
                                        std::uint64_t incarnation,
                                        const AnswerReport& report) {
  Source& source = sources_[{router, report.group}];
  if (source.incarnation != incarnation) {
    source = {.incarnation = incarnation, .counts = {}};
  }
  const AnswerCounts fresh = Difference(report.counts, source.counts);
  source.counts = report.counts;
  return fresh;
}

void VersionComparison::OnReport(const std::string& router,
                                 std::uint64_t incarnation,
                                 const AnswerReport& report,
                                 MonotonicTime now) {
  const AnswerCounts fresh = TakeNew(router, incarnation, report);
  if (report.group.canary) {
    canary_answers_ += fresh.total();
    const Unjudged unjudged{.reported_at = now,
                            .router = router,
                            .route = report.group.route,
                            .counts = fresh};
    unjudged_failures_.push_back(unjudged);
    unjudged_latencies_.push_back(unjudged);
    return;
  }
  other_answers_ += fresh.total();
  by_route_[report.group.route].AddOther(fresh, now);
  all_routes_.AddOther(fresh, now);
}

void VersionComparison::Judge(MonotonicTime now, const JudgingRule& rule) {
  const auto take_due = [now](std::deque<Unjudged>& unjudged, Duration after,
                              const auto& judge) {
    while (!unjudged.empty() && unjudged.front().reported_at + after <= now) {
      judge(unjudged.front());
      unjudged.pop_front();
    }
  };
  all_routes_.Fade(now);
  for (auto& [route, comparison] : by_route_) {
    comparison.Fade(now);
  }
  take_due(unjudged_failures_, rule.failures_after,
           [this](const Unjudged& answers) { JudgeFailures(answers); });
  if (!rule.latencies_after) {
    unjudged_latencies_.clear();
    return;
  }
  take_due(unjudged_latencies_, *rule.latencies_after,
           [&](const Unjudged& answers) {
             JudgeLatencies(answers, rule.same_moment);
           });
}

void VersionComparison::JudgeFailures(const Unjudged& answers) {
  const AnswerCounts& counts = answers.counts;
  canary_bad_ += counts.failed;
  for (Comparison* comparison : {&by_route_[answers.route], &all_routes_}) {
    comparison->failures.Add(answers.router, counts.answered(), counts.failed,
                             comparison->UsualShare(Badness::kFailed));
  }
}

void VersionComparison::JudgeLatencies(const Unjudged& answers,
                                       bool same_moment) {
  const auto count_slow = [&](const Comparison& comparison) {
    return answers.counts.SlowerFrom(comparison.usual.SlowStep());
  };
  canary_bad_ += count_slow(all_routes_);
  for (Comparison* comparison : {&by_route_[answers.route], &all_routes_}) {
    const std::uint32_t slow = count_slow(*comparison);
    const std::uint32_t fast = answers.counts.SlowerFrom(0) - slow;
    const std::optional<double> usual_share =
        same_moment ? comparison->SlowShareAround(answers.reported_at)
                    : comparison->UsualShare(Badness::kSlow);
    // Without others to compare with, slow answers say nothing.
    comparison->slow.Add(
        answers.router, fast, usual_share ? slow : 0,
        usual_share.value_or(comparison->UsualShare(Badness::kSlow)));
  }
}

std::vector<const VersionComparison::Sum*> VersionComparison::Sums() const {
  std::vector<const Sum*> sums{&all_routes_.failures, &all_routes_.slow};
  for (const auto& [route, comparison] : by_route_) {
    sums.push_back(&comparison.failures);
    sums.push_back(&comparison.slow);
  }
  return sums;
}

const VersionComparison::Sum& VersionComparison::WorstSum() const {
  const std::vector<const Sum*> sums = Sums();
  return **std::ranges::max_element(sums, {},
                                    [](const Sum* sum) { return sum->score; });
}

bool VersionComparison::IsWorse(std::size_t routers) const {
  const std::size_t needed = std::clamp<std::size_t>(routers, 1, kWitnesses);
  return std::ranges::any_of(Sums(), [needed](const Sum* sum) {
    return sum->score >= kScoreLimit && sum->witnesses.size() >= needed;
  });
}

Evidence VersionComparison::Describe() const {
  const Sum& worst = WorstSum();
  return {.canary_answers = canary_answers_,
          .canary_bad = canary_bad_,
          .other_answers = other_answers_,
          .other_bad_share = std::max(all_routes_.UsualShare(Badness::kFailed),
                                      all_routes_.UsualShare(Badness::kSlow)),
          .score = worst.score,
          .witnesses = worst.witnesses.size()};
}

}  // namespace juniperway::rollout
