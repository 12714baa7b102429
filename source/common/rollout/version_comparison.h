// Decides from the reports of all routers whether the canaries of one service
// do worse than the backends of the baseline version, which the canaries are to
// replace. RolloutJudge owns one comparison per running rollout. Does no I/O:
// time is an argument.
//
// An answer is bad if it is a failure or several times slower than typical
// answers of the baseline version. The comparison evaluates the share of
// failures and the share of slow answers separately, for each route and for all
// routes together, against baseline answers of the same seconds: a fault that
// affects both versions alike (a failed zone, corrupted answers) must not cause
// a rollback.
//
// Slow answers come in bursts: a machine that is briefly busy delays all of its
// requests in flight. Once the canaries get most requests, most of these slow
// answers are theirs. From then on slow answers are compared only with baseline
// answers of the same fraction of a second.
//
// The test is a cumulative sum of log-likelihood ratios (Page 1954) between two
// hypotheses: the canaries have the baseline's share of bad answers, or that
// share plus kMinimumDetectedIncrease. The sum is never negative, so a version
// that turns bad later is found as fast as one that is bad from the start. If
// the first hypothesis holds, the sum reaches the limit after e^limit answers
// on average at the earliest (Lorden 1971).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/rollout/answer_counts.h"

namespace juniperway::rollout {

// The evidence that a comparison has found so far.
struct Evidence {
  std::uint64_t canary_answers = 0;
  std::uint64_t canary_bad = 0;
  std::uint64_t baseline_answers = 0;
  double baseline_bad_share = 0;
  // Highest cumulative sum among the single routes and all routes together.
  double score = 0;
  // Number of witnesses: routers that reported bad canary answers which count
  // in that sum.
  std::size_t witnesses = 0;
};

class VersionComparison {
 public:
  // The cumulative sum that gives a verdict. A version as good as the baseline
  // reaches this sum once in 1e5 answers, which is one false alarm in some 500
  // rollouts of 200 answers each.
  static constexpr double kScoreLimit = 11.5;
  // The increase in the share of bad answers that the test is designed to
  // detect.
  static constexpr double kMinimumDetectedIncrease = 0.2;
  // Lower bound of the baseline's share of bad answers: in a version without
  // faults 1 in 50 answers is slow, for example because its backend pauses.
  static constexpr double kMinimumBaselineShare = 0.02;
  // Factor by which the baseline's share of bad answers is raised, because this
  // share is estimated from few answers.
  static constexpr double kBaselineShareMargin = 1.5;
  // An answer is slow if its latency step (LatencyStepOf) is at least this many
  // steps above the step of the baseline's 75 % quantile. Two steps double the
  // latency, and the quantile lies anywhere in its step, so an answer counts as
  // slow from 2 to 2.8 times the quantile on. Four times as much work makes an
  // answer some 3.5 times slower; a new connection, which takes 6 ms, makes
  // answers with 4 to 11 ms of work only 1.5 to 2.2 times slower.
  static constexpr std::size_t kSlowerSteps = 3;
  // Decay time of the baseline's statistics.
  static constexpr Duration kDecayTime = seconds(4);
  // Decay time of the second, short-term statistics of the baseline. Their
  // share of bad answers, less one standard deviation, replaces the long-term
  // share if it is higher. When both versions begin to fail alike, the
  // canaries' failures are reported at once, while the long-term statistics
  // follow only slowly; without the short-term ones 4 of 1,000 good versions
  // would be rolled back.
  static constexpr Duration kShortDecayTime = seconds(1);
  // Minimum number of witnesses (routers that reported bad canary answers) for
  // a verdict, so that one router or one network path between a router and its
  // canaries cannot end a rollout.
  static constexpr std::size_t kMinimumWitnesses = 3;
  // A canary answer is compared with baseline answers that were reported in the
  // same time slot, the one before, or one of the two after. Routers that send
  // requests to canaries report every 0.2 s.
  static constexpr Duration kTimeSlot = milliseconds(250);
  static constexpr Duration kTimeSlotReportDelay = 2 * kTimeSlot;

  // Adds what is new in a router's report.
  // @param incarnation identifies the run of the router's process; a restarted
  //   router has another one and counts from zero again.
  void OnReport(const std::string& router, std::uint64_t incarnation,
                const AnswerReport& report, MonotonicTime now);

  // Says how long after their report canary answers are evaluated. Routers
  // report baseline answers of the same moment up to a second later. Without
  // the delay, a fault that affects both versions looks like a fault of the
  // canaries, and 3 of 1,000 good versions would be rolled back.
  struct EvaluationRule {
    Duration failures_after{};
    // If empty, slow answers are not evaluated: while the baseline version gets
    // no requests, the leader cannot tell whether only the canaries have become
    // slower.
    std::optional<Duration> latencies_after;
    // Whether slow answers are compared only with baseline answers of adjacent
    // time slots.
    bool within_time_slots = false;
  };
  void Evaluate(MonotonicTime now, const EvaluationRule& rule);

  // Whether the canaries do worse than the baseline: the verdict.
  // @param routers number of routers in the fleet; a fleet of two routers needs
  //   only two witnesses.
  bool IsWorse(std::size_t routers) const;
  // Returns the highest cumulative sum divided by kScoreLimit; a value of 1
  // suffices for a verdict if there are enough witnesses.
  double RelativeScore() const { return WorstSum().score / kScoreLimit; }
  Evidence Describe() const;

 private:
  // The last counts that one router has reported of one group.
  struct Source {
    std::uint64_t incarnation = 0;
    AnswerCounts counts;
  };
  // In which way an answer is bad.
  enum class Badness { kFailed, kSlow };
  // Number of bad answers among a total; decayed counts are fractional.
  struct BadCount {
    double bad = 0;
    double total = 0;
  };
  // Exponentially decayed counts of the baseline version's answers.
  class BaselineStatistics {
   public:
    explicit BaselineStatistics(Duration decay_time)
        : decay_time_(decay_time) {}

    void Decay(MonotonicTime now);
    void Add(const AnswerCounts& counts);
    // Returns the first latency step that counts as slow; kLatencySteps if too
    // few answers are known.
    std::size_t SlowStep() const;
    // Counts the bad answers. For Badness::kSlow these are the timed answers in
    // slow_step or a higher step.
    BadCount Count(Badness badness, std::size_t slow_step) const;

   private:
    Duration decay_time_;
    double total_ = 0;
    double failed_ = 0;
    std::array<double, kLatencySteps> timed_{};
    MonotonicTime decayed_at_;
  };
  // The baseline version's answers by the time slot in which they were
  // reported.
  class BaselineTimeSlots {
   public:
    void Add(const AnswerCounts& counts, MonotonicTime now);
    // Counts the timed answers that were reported around `time`, and among them
    // the bad ones: those in slow_step or a higher step.
    BadCount CountAround(MonotonicTime time, std::size_t slow_step) const;

   private:
    std::map<std::int64_t, AnswerCounts> by_slot_;
  };
  struct CumulativeSum {
    double score = 0;
    std::set<std::string> witnesses;

    // Adds the answers of one report. Their order is unknown, and they count as
    // evenly mixed: with the bad ones last, a few among the thousands that a
    // router first reports to a new leader would reach kScoreLimit.
    void Add(const std::string& router, std::uint32_t good, std::uint32_t bad,
             double baseline_share);
  };
  struct Comparison {
    BaselineStatistics baseline{kDecayTime};
    BaselineStatistics latest_baseline{kShortDecayTime};
    BaselineTimeSlots time_slots;
    CumulativeSum failures;
    CumulativeSum slow;

    void AddBaseline(const AnswerCounts& counts, MonotonicTime now);
    void Decay(MonotonicTime now);
    // Returns the share of bad answers that a version as good as the baseline
    // may have.
    double AllowedBadShare(Badness badness) const;
    // Returns the allowed share of slow answers around `time`; nothing if too
    // few baseline answers are known.
    std::optional<double> SlowShareAround(MonotonicTime time) const;
  };

  // Reported canary answers that are still to be evaluated.
  struct PendingAnswers {
    MonotonicTime reported_at;
    std::string router;
    std::string route;
    AnswerCounts counts;
  };

  // Returns the counts that the router's previous report did not contain.
  AnswerCounts TakeIncrement(const std::string& router,
                             std::uint64_t incarnation,
                             const AnswerReport& report);
  void EvaluateFailures(const PendingAnswers& answers);
  void EvaluateLatencies(const PendingAnswers& answers, bool within_time_slots);
  // Returns the sums of all routes together and of each route alone.
  std::vector<const CumulativeSum*> AllSums() const;
  // Returns the highest sum.
  const CumulativeSum& WorstSum() const;

  std::map<std::pair<std::string, AnswerGroup>, Source> sources_;
  // Both queues are ordered by time of report, oldest first.
  std::deque<PendingAnswers> pending_failures_;
  std::deque<PendingAnswers> pending_latencies_;
  std::map<std::string, Comparison> by_route_;
  Comparison all_routes_;
  std::uint64_t canary_answers_ = 0;
  std::uint64_t canary_bad_ = 0;
  std::uint64_t baseline_answers_ = 0;
};

}  // namespace juniperway::rollout
