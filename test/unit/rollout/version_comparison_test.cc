// Tests whether VersionComparison finds that canaries do worse than the
// baseline version.
#include "common/rollout/version_comparison.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

#include "common/rollout/rollout_plan.h"

namespace juniperway::rollout {
namespace {

constexpr std::size_t kRouters = 10;

// Returns a rule that evaluates all answers this long after their report.
constexpr VersionComparison::EvaluationRule EvaluateAfter(Duration delay) {
  return {.failures_after = delay, .latencies_after = delay};
}

// Simulates routers that report each answer at once.
struct Reports {
  void Add(std::size_t router, bool canary, bool failed, Duration latency,
           const std::string& route = "r") {
    const AnswerGroup group{.service = "s", .route = route, .canary = canary};
    AnswerCounts& counts = totals[{router, group}];
    if (failed) {
      ++counts.failed;
    } else {
      ++counts.timed[LatencyStepOf(latency)];
    }
    comparison.OnReport("router-" + std::to_string(router), 1,
                        {.group = group, .rollout = 1, .counts = counts}, now);
    comparison.Evaluate(now, EvaluateAfter(Duration(0)));
    now += milliseconds(10);
  }

  std::map<std::pair<std::size_t, AnswerGroup>, AnswerCounts> totals;
  VersionComparison comparison;
  MonotonicTime now{seconds(10)};
};

// Simulates answers of both versions, nine of the baseline for each one of the
// canaries.
// @return the number of canary answers until they were found worse; -1 if they
//   were not within `answers`.
int AnswersUntilWorse(double canary_failure_share,
                      double baseline_failure_share, Duration canary_latency,
                      std::uint64_t seed, int answers) {
  Reports reports;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int answer = 1; answer <= answers; ++answer) {
    for (int other = 0; other < 9; ++other) {
      reports.Add(random() % kRouters, false,
                  draw(random) < baseline_failure_share, milliseconds(13));
    }
    reports.Add(random() % kRouters, true, draw(random) < canary_failure_share,
                canary_latency);
    if (reports.comparison.IsWorse(kRouters)) {
      return answer;
    }
  }
  return -1;
}

TEST_CASE("of 200 rollouts with 500 good answers none is rolled back") {
  for (const double failure_share : {0.0, 0.02, 0.2, 0.5}) {
    CAPTURE(failure_share);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      CHECK(AnswersUntilWorse(failure_share, failure_share, milliseconds(13),
                              seed, 500) == -1);
    }
  }
}

TEST_CASE("failures are found within 150 answers, mostly within 50") {
  int within_50 = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const int answers =
        AnswersUntilWorse(0.33, 0.01, milliseconds(13), seed, 150);
    CHECK(answers > 0);
    within_50 += answers <= 50 ? 1 : 0;
  }
  // The 150 answers contain about 0.33 x 150 = 50 bad ones. In 95 of the 100
  // runs the first 50 answers, with about 17 bad ones, must suffice.
  CHECK(within_50 >= 95);
}

TEST_CASE("answers that are several times slower are found") {
  const int answers = AnswersUntilWorse(0, 0, milliseconds(46), 1, 50);
  CHECK(answers > 0);
  CHECK(answers <= 10);
}

TEST_CASE("neither four bad answers nor one router give a verdict") {
  Reports reports;
  for (int i = 0; i < 100; ++i) {
    reports.Add(i % kRouters, false, false, milliseconds(13));
  }
  for (std::size_t i = 0; i < 4; ++i) {
    reports.Add(i, true, true, {});
  }
  CHECK_FALSE(reports.comparison.IsWorse(kRouters));
  Reports one_router;
  for (int i = 0; i < 100; ++i) {
    one_router.Add(i % kRouters, false, false, milliseconds(13));
  }
  for (int i = 0; i < 500; ++i) {
    one_router.Add(0, true, true, {});
  }
  CHECK_FALSE(one_router.comparison.IsWorse(kRouters));
  // A fleet of one router has no other witness, so this router alone suffices
  // for a verdict.
  CHECK(one_router.comparison.IsWorse(1));
}

TEST_CASE("a fault of one route is found among answers of other routes") {
  Reports reports;
  int answers = 0;
  while (!reports.comparison.IsWorse(kRouters) && answers < 200) {
    ++answers;
    const std::string route = answers % 4 == 0 ? "rare" : "often";
    for (std::size_t other = 0; other < 9; ++other) {
      reports.Add(other, false, false, milliseconds(13), route);
    }
    reports.Add(answers % kRouters, true, route == "rare" && answers % 8 == 0,
                milliseconds(13), route);
  }
  CHECK(answers < 120);
}

// Returns whether the canaries are found worse if answers are evaluated this
// long after their report. Seven canary answers fail within half a second and
// are reported at once. A third of the baseline's answers in the same time fail
// too, but are reported half a second later.
bool IsWorseAfter(Duration delay) {
  VersionComparison comparison;
  MonotonicTime now{seconds(10)};
  AnswerReport baseline{
      .group = {.service = "s", .route = "r", .canary = false},
      .rollout = 1,
      .counts = {}};
  const std::size_t step = LatencyStepOf(milliseconds(13));
  baseline.counts.timed.at(step) = 90;
  comparison.OnReport("router-0", 1, baseline, now);
  for (std::size_t router = 0; router < 7; ++router) {
    AnswerReport canary = baseline;
    canary.group.canary = true;
    canary.counts = {};
    canary.counts.failed = 1;
    now += milliseconds(70);
    comparison.OnReport("router-" + std::to_string(router), 1, canary, now);
    comparison.Evaluate(now, EvaluateAfter(delay));
  }
  now += milliseconds(500);
  baseline.counts.failed = 30;
  baseline.counts.timed.at(step) += 60;
  comparison.OnReport("router-0", 1, baseline, now);
  for (int later = 0; later < 10; ++later) {
    now += milliseconds(100);
    comparison.Evaluate(now, EvaluateAfter(delay));
  }
  return comparison.IsWorse(kRouters);
}

TEST_CASE("a fault of both versions that canaries show first is no verdict") {
  CHECK(IsWorseAfter(Duration(0)));
  CHECK_FALSE(IsWorseAfter(seconds(1)));
}

// Simulates 450 canary and 50 baseline answers per second. For one second, a
// third of the canary answers are slow. Each router reports every 0.2 s.
// Returns whether the canaries are found worse.
// @param baseline_slow whether a third of the baseline answers are slow in the
//   same second as well.
bool IsWorseInBurst(bool baseline_slow) {
  VersionComparison comparison;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  std::map<std::pair<std::size_t, AnswerGroup>, AnswerCounts> totals;
  const MonotonicTime begin{seconds(10)};
  for (int tick = 0; tick < 1500; ++tick) {
    const MonotonicTime now = begin + tick * milliseconds(2);
    const std::size_t router = random() % kRouters;
    const bool canary = draw(random) < 0.9;
    const bool in_burst = tick >= 500 && tick < 1000;
    const bool slow =
        in_burst && (canary || baseline_slow) && draw(random) < 0.33;
    const AnswerGroup group{.service = "s", .route = "r", .canary = canary};
    ++totals[{router, group}].timed.at(
        LatencyStepOf(slow ? milliseconds(60) : milliseconds(13)));
    if (tick % 10 == 0) {
      const std::size_t reporter = tick / 10 % kRouters;
      for (const auto& [key, counts] : totals) {
        if (key.first == reporter) {
          comparison.OnReport("router-" + std::to_string(reporter), 1,
                              {.group = key.second, .counts = counts}, now);
        }
      }
    }
    comparison.Evaluate(
        now, {.latencies_after = VersionComparison::kTimeSlotReportDelay,
              .within_time_slots = true});
    if (comparison.IsWorse(kRouters)) {
      return true;
    }
  }
  return false;
}

// Guards against a good version that is rolled back because its machines, or
// the routers' machines, are briefly busy while it gets most requests.
TEST_CASE("a burst of slow answers of both versions is no verdict") {
  CHECK_FALSE(IsWorseInBurst(/*baseline_slow=*/true));
  CHECK(IsWorseInBurst(/*baseline_slow=*/false));
}

TEST_CASE("slow answers without baseline answers at the time do not count") {
  VersionComparison comparison;
  MonotonicTime now{seconds(10)};
  AnswerReport report;
  report.group = {.service = "s", .route = "r"};
  report.counts.timed.at(LatencyStepOf(milliseconds(13))) = 50;
  comparison.OnReport("others", 1, report, now);
  now += seconds(3);
  report.group.canary = true;
  report.counts = {};
  report.counts.timed.at(LatencyStepOf(milliseconds(60))) = 50;
  for (std::size_t router = 0; router < kRouters; ++router) {
    comparison.OnReport("router-" + std::to_string(router), 1, report, now);
  }
  now += seconds(1);
  comparison.Evaluate(
      now, {.latencies_after = milliseconds(500), .within_time_slots = true});
  CHECK(comparison.RelativeScore() == 0);
}

TEST_CASE("few slow answers among many in one report are no evidence") {
  // A router's first report to a new leader holds all of its answers.
  constexpr std::size_t kReporters = 3;
  VersionComparison comparison;
  const MonotonicTime now{seconds(10)};
  const auto report = [&](std::size_t router, bool canary, std::uint32_t fast,
                          std::uint32_t slow) {
    AnswerReport answers{
        .group = {.service = "s", .route = "r", .canary = canary},
        .rollout = 1,
        .counts = {}};
    answers.counts.timed[LatencyStepOf(milliseconds(1))] = fast;
    answers.counts.timed[LatencyStepOf(milliseconds(10))] = slow;
    comparison.OnReport("router-" + std::to_string(router), 1, answers, now);
  };
  for (std::size_t router = 0; router < kReporters; ++router) {
    report(router, /*canary=*/false, 9000, 50);
    report(router, /*canary=*/true, 1000, 6);
  }
  comparison.Evaluate(now, EvaluateAfter(Duration(0)));
  CHECK(comparison.RelativeScore() < kMaximumScoreBeforeFull);
}

TEST_CASE("counts of a restarted router add to its previous ones") {
  VersionComparison comparison;
  AnswerReport report;
  report.group = {.service = "s", .route = "r", .canary = true};
  report.counts.failed = 5;
  const MonotonicTime now{seconds(1)};
  comparison.OnReport("a", 1, report, now);
  comparison.OnReport("a", 1, report, now);
  comparison.Evaluate(now, EvaluateAfter(Duration(0)));
  CHECK(comparison.Describe().canary_bad == 5);
  report.counts.failed = 2;
  comparison.OnReport("a", 2, report, now);
  comparison.Evaluate(now, EvaluateAfter(Duration(0)));
  CHECK(comparison.Describe().canary_bad == 7);
}

}  // namespace
}  // namespace juniperway::rollout
