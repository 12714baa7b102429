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

double VersionComparison::Usual::Bad(std::size_t slow_step) const {
  double bad = failed_;
  for (std::size_t step = slow_step; step < kLatencySteps; ++step) {
    bad += timed_[step];
  }
  return bad;
}

void VersionComparison::Comparison::AddOther(const AnswerCounts& counts,
                                             MonotonicTime now) {
  for (Usual* memory : {&usual, &latest}) {
    memory->Fade(now);
    memory->Add(counts);
  }
}

double VersionComparison::Comparison::UsualShare() const {
  const std::size_t slow_step = usual.SlowStep();
  const auto share = [](double bad, double total) {
    return total > 0 ? bad / total : 0;
  };
  const double bad_latest = latest.Bad(slow_step);
  // One standard deviation of a count is its root.
  const double beyond_chance =
      std::max(0.0, bad_latest - std::sqrt(bad_latest));
  const double seen = std::max(share(usual.Bad(slow_step), usual.total()),
                               share(beyond_chance, latest.total()));
  return std::clamp(seen * kUsualShareMargin, kLeastUsualShare,
                    kMostUsualShare);
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
    unjudged_.push_back({.reported_at = now,
                         .router = router,
                         .route = report.group.route,
                         .counts = fresh});
    return;
  }
  other_answers_ += fresh.total();
  by_route_[report.group.route].AddOther(fresh, now);
  all_routes_.AddOther(fresh, now);
}

void VersionComparison::Judge(MonotonicTime now, Duration wait,
                              BadAnswers bad) {
  while (!unjudged_.empty() && unjudged_.front().reported_at + wait <= now) {
    const Unjudged due = std::move(unjudged_.front());
    unjudged_.pop_front();
    for (Comparison* comparison : {&by_route_[due.route], &all_routes_}) {
      comparison->AddOther({}, now);
      AddCanary(due, bad, *comparison);
    }
    canary_bad_ += CountBad(due.counts, all_routes_, bad);
  }
}

std::uint32_t VersionComparison::CountBad(const AnswerCounts& counts,
                                          const Comparison& comparison,
                                          BadAnswers bad) {
  return bad == BadAnswers::kFailed
             ? counts.failed
             : counts.failed + counts.SlowerFrom(comparison.usual.SlowStep());
}

void VersionComparison::AddCanary(const Unjudged& answers, BadAnswers bad,
                                  Comparison& comparison) {
  const std::uint32_t count = CountBad(answers.counts, comparison, bad);
  comparison.sum.Add(answers.router, answers.counts.total() - count, count,
                     comparison.UsualShare());
}

const VersionComparison::Sum& VersionComparison::WorstSum() const {
  const Sum* worst = &all_routes_.sum;
  for (const auto& [route, comparison] : by_route_) {
    if (comparison.sum.score > worst->score) {
      worst = &comparison.sum;
    }
  }
  return *worst;
}

bool VersionComparison::IsWorse(std::size_t routers) const {
  const std::size_t needed = std::clamp<std::size_t>(routers, 1, kWitnesses);
  const auto is_worse = [needed](const Sum& sum) {
    return sum.score >= kScoreLimit && sum.witnesses.size() >= needed;
  };
  return is_worse(all_routes_.sum) ||
         std::ranges::any_of(by_route_, [&](const auto& entry) {
           return is_worse(entry.second.sum);
         });
}

Evidence VersionComparison::Describe() const {
  const Sum& worst = WorstSum();
  return {.canary_answers = canary_answers_,
          .canary_bad = canary_bad_,
          .other_answers = other_answers_,
          .other_bad_share = all_routes_.UsualShare(),
          .score = worst.score,
          .witnesses = worst.witnesses.size()};
}

}  // namespace juniperway::rollout
