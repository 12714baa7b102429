// Whether canaries do worse than what they are to replace.
#include "common/rollout/version_comparison.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

namespace juniperway::rollout {
namespace {

constexpr std::size_t kRouters = 10;

// All answers are judged this long after they were reported.
constexpr VersionComparison::JudgingRule JudgeAfter(Duration wait) {
  return {.failures_after = wait, .latencies_after = wait};
}

// Routers that report each answer at once.
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
    comparison.Judge(now, JudgeAfter(Duration(0)));
    now += milliseconds(10);
  }

  std::map<std::pair<std::size_t, AnswerGroup>, AnswerCounts> totals;
  VersionComparison comparison;
  MonotonicTime now{seconds(10)};
};

// Answers of both versions, one of the canaries for each nine of the others.
// @return how many answers of canaries came until they were found worse; -1:
//   they were not, in so many answers of theirs.
int AnswersUntilWorse(double canary_failing, double other_failing,
                      Duration canary_latency, std::uint64_t seed,
                      int answers) {
  Reports reports;
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int answer = 1; answer <= answers; ++answer) {
    for (int other = 0; other < 9; ++other) {
      reports.Add(random() % kRouters, false, draw(random) < other_failing,
                  milliseconds(13));
    }
    reports.Add(random() % kRouters, true, draw(random) < canary_failing,
                canary_latency);
    if (reports.comparison.IsWorse(kRouters)) {
      return answer;
    }
  }
  return -1;
}

TEST_CASE("of 200 roll-outs of 500 good answers none is undone") {
  for (const double failing : {0.0, 0.02, 0.2, 0.5}) {
    CAPTURE(failing);
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      CHECK(AnswersUntilWorse(failing, failing, milliseconds(13), seed, 500) ==
            -1);
    }
  }
}

TEST_CASE("failures are found within 50 bad answers, mostly within few") {
  int within_50 = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const int answers =
        AnswersUntilWorse(0.33, 0.01, milliseconds(13), seed, 150);
    CHECK(answers > 0);
    within_50 += answers <= 50 ? 1 : 0;
  }
  // 0.5 x 0.33 x 150 bad answers are 50.
  CHECK(within_50 >= 95);
}

TEST_CASE("answers that are several times slower are found") {
  const int answers = AnswersUntilWorse(0, 0, milliseconds(46), 1, 50);
  CHECK(answers > 0);
  CHECK(answers <= 10);
}

TEST_CASE("five bad answers are not enough, of one router never enough") {
  Reports reports;
  for (int i = 0; i < 100; ++i) {
    reports.Add(i % kRouters, false, false, milliseconds(13));
  }
  for (std::size_t i = 0; i < 4; ++i) {
    reports.Add(i, true, true, {});
  }
  CHECK_FALSE(reports.comparison.IsWorse(kRouters));
  Reports lone;
  for (int i = 0; i < 100; ++i) {
    lone.Add(i % kRouters, false, false, milliseconds(13));
  }
  for (int i = 0; i < 500; ++i) {
    lone.Add(0, true, true, {});
  }
  CHECK_FALSE(lone.comparison.IsWorse(kRouters));
  // In a fleet of one there is no other witness.
  CHECK(lone.comparison.IsWorse(1));
}

TEST_CASE("a fault of one route is found among answers of others") {
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

// Seven canaries' answers fail within half a second, reported at once; of the
// others' answers in the same time a third fails, reported half a second later.
bool IsWorseAfter(Duration wait) {
  VersionComparison comparison;
  MonotonicTime now{seconds(10)};
  AnswerReport others{.group = {.service = "s", .route = "r", .canary = false},
                      .rollout = 1,
                      .counts = {}};
  const std::size_t step = LatencyStepOf(milliseconds(13));
  others.counts.timed.at(step) = 90;
  comparison.OnReport("router-0", 1, others, now);
  for (std::size_t router = 0; router < 7; ++router) {
    AnswerReport canary = others;
    canary.group.canary = true;
    canary.counts = {};
    canary.counts.failed = 1;
    now += milliseconds(70);
    comparison.OnReport("router-" + std::to_string(router), 1, canary, now);
    comparison.Judge(now, JudgeAfter(wait));
  }
  now += milliseconds(500);
  others.counts.failed = 30;
  others.counts.timed.at(step) += 60;
  comparison.OnReport("router-0", 1, others, now);
  for (int later = 0; later < 10; ++later) {
    now += milliseconds(100);
    comparison.Judge(now, JudgeAfter(wait));
  }
  return comparison.IsWorse(kRouters);
}

TEST_CASE("a fault of both is not held against canaries that show it first") {
  CHECK(IsWorseAfter(Duration(0)));
  CHECK_FALSE(IsWorseAfter(seconds(1)));
}

// Answers of both versions at 450 and 50 a second, a third of them slow for one
// second; each router reports every 0.2 s.
// @param others_slow the other version's answers are slow then as well.
bool IsWorseInBurst(bool others_slow) {
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
        in_burst && (canary || others_slow) && draw(random) < 0.33;
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
    comparison.Judge(
        now, {.latencies_after = VersionComparison::kMomentReportedWithin,
              .same_moment = true});
    if (comparison.IsWorse(kRouters)) {
      return true;
    }
  }
  return false;
}

// Guards against a good version that is undone because its machines, or the
// routers', were busy for a moment once it got most requests.
TEST_CASE("a burst that slows both versions is not held against canaries") {
  CHECK_FALSE(IsWorseInBurst(/*others_slow=*/true));
  CHECK(IsWorseInBurst(/*others_slow=*/false));
}

TEST_CASE("slow answers without others of the same moment say nothing") {
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
  comparison.Judge(now,
                   {.latencies_after = milliseconds(500), .same_moment = true});
  CHECK(comparison.Suspicion() == 0);
}

TEST_CASE("a router that restarts counts from zero and loses nothing") {
  VersionComparison comparison;
  AnswerReport report;
  report.group = {.service = "s", .route = "r", .canary = true};
  report.counts.failed = 5;
  const MonotonicTime now{seconds(1)};
  comparison.OnReport("a", 1, report, now);
  comparison.OnReport("a", 1, report, now);
  comparison.Judge(now, JudgeAfter(Duration(0)));
  CHECK(comparison.Describe().canary_bad == 5);
  report.counts.failed = 2;
  comparison.OnReport("a", 2, report, now);
  comparison.Judge(now, JudgeAfter(Duration(0)));
  CHECK(comparison.Describe().canary_bad == 7);
}

}  // namespace
}  // namespace juniperway::rollout
