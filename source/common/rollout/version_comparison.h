// Whether the canaries of one service do worse than the back ends that they are
// to replace, from what all routers have seen of both. Pure.
//
// An answer is bad when it is a failure or several times slower than what is
// usual of the other version. What is compared is the share of failures, and
// that of slow answers, of each route alone and of all routes together, on the
// same seconds: what hits both versions alike (a zone that is down, spoiled
// answers) is no reason to roll back.
//
// Slow answers come in bursts: a machine that is busy for a moment makes
// whatever is under way slow. Once canaries get most requests, most of those
// are theirs, so their slow answers are judged by those of the other version in
// the same fraction of a second only.
//
// The test is a cumulative sum of log-likelihood ratios (Page 1954) between the
// other version's share of bad answers and that share plus kLeastHarm. It
// starts over at zero whenever the canaries do well, so that a version that
// turns bad later is found as fast as one that is bad from the start. Under the
// first hypothesis it reaches the limit after e^limit answers on average at the
// least (Lorden 1971).
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

// What a comparison has found so far.
struct Evidence {
  std::uint64_t canary_answers = 0;
  std::uint64_t canary_bad = 0;
  std::uint64_t other_answers = 0;
  double other_bad_share = 0;
  // Highest of all routes' sums.
  double score = 0;
  // Routers that saw bad answers of canaries, of that sum.
  std::size_t witnesses = 0;
};

class VersionComparison {
 public:
  // Of the test: one false alarm in 1e5 answers of a version as good as the
  // other one, some 500 roll-outs of 200 answers each.
  static constexpr double kScoreLimit = 11.5;
  // Difference of the shares of bad answers that has to be found.
  static constexpr double kLeastHarm = 0.2;
  // The other version's share is never taken for less: 1 in 50 answers of a
  // version without faults is slow, for example while its back end pauses.
  static constexpr double kLeastUsualShare = 0.02;
  // And for so many times more than it was seen: it is known from few answers.
  static constexpr double kUsualShareMargin = 1.5;
  // An answer is slow when it takes this many steps of a half octave more than
  // three quarters of the other version's answers: 2 to 2.8 times as long. Work
  // that takes four times as long makes an answer some 3.5 times slower, a
  // connection that is new 1.5 to 2.2 times (11 and 4 ms of work, 6 ms for the
  // connection).
  static constexpr std::size_t kSlowerSteps = 3;
  // The other version is judged by its answers of the last seconds: they fade
  // to 1 / e in this time.
  static constexpr Duration kMemory = seconds(4);
  // And by those of the last moment, as far as chance does not explain them:
  // when both versions begin to fail alike, the canaries' answers are reported
  // at once and the others' fade in. 4 of 1,000 good versions were undone so
  // (property.rollout/rollout).
  static constexpr Duration kShortMemory = seconds(1);
  // One router, or one network between a router and its canaries, must not end
  // a roll-out.
  static constexpr std::size_t kWitnesses = 3;
  // Answers are of the same moment when they were reported in the same slot as
  // the canary's, the one before, or one of the two after it. Routers that send
  // canaries requests report each 0.2 s.
  static constexpr Duration kMomentSlot = milliseconds(250);
  static constexpr Duration kMomentReportedWithin = 2 * kMomentSlot;

  // @param router and its start: a router that restarts counts from zero.
  void OnReport(const std::string& router, std::uint64_t incarnation,
                const AnswerReport& report, MonotonicTime now);

  // When answers of canaries are judged, since they were reported. The others'
  // answers of the same moment are reported up to a second later: a fault that
  // hits both alike looks like the canaries' own until then, and 3 of 1,000
  // good versions were undone for it (property.rollout/rollout).
  struct JudgingRule {
    Duration failures_after{};
    // Nothing: slow answers are not judged. While the other version gets no
    // requests, what makes all answers slower has nothing to be compared with.
    std::optional<Duration> latencies_after;
    // Slow answers are compared to answers of the same moment.
    bool same_moment = false;
  };
  void Judge(MonotonicTime now, const JudgingRule& rule);

  // The canaries do worse.
  // @param routers that there are: a fleet of two has two witnesses at most.
  bool IsWorse(std::size_t routers) const;
  // How far the worst sum has come towards its limit; 1 and more: it is there.
  double Suspicion() const { return WorstSum().score / kScoreLimit; }
  Evidence Describe() const;

 private:
  // What one router has reported of one group.
  struct Source {
    std::uint64_t incarnation = 0;
    AnswerCounts counts;
  };
  // What is bad of an answer.
  enum class Badness { kFailed, kSlow };
  // How many of some answers are bad.
  struct BadCount {
    double bad = 0;
    double total = 0;
  };
  // The other version's answers of late.
  class Usual {
   public:
    explicit Usual(Duration memory) : memory_(memory) {}

    void Fade(MonotonicTime now);
    void Add(const AnswerCounts& counts);
    // The first step that counts as slow; kLatencySteps: none is known.
    std::size_t SlowStep() const;
    // Slow ones are those that took this step or a higher one.
    BadCount Count(Badness badness, std::size_t slow_step) const;

   private:
    Duration memory_;
    double total_ = 0;
    double failed_ = 0;
    std::array<double, kLatencySteps> timed_{};
    MonotonicTime faded_at_;
  };
  // The other version's answers by the moment at which they were reported.
  class Moments {
   public:
    void Add(const AnswerCounts& counts, MonotonicTime now);
    // Timed answers that were reported around then.
    BadCount CountAround(MonotonicTime time, std::size_t slow_step) const;

   private:
    std::map<std::int64_t, AnswerCounts> by_slot_;
  };
  struct Sum {
    double score = 0;
    std::set<std::string> witnesses;

    void Add(const std::string& router, std::uint32_t good, std::uint32_t bad,
             double usual_share);
  };
  struct Comparison {
    Usual usual{kMemory};
    Usual latest{kShortMemory};
    Moments moments;
    Sum failures;
    Sum slow;

    void AddOther(const AnswerCounts& counts, MonotonicTime now);
    void Fade(MonotonicTime now);
    // Share of bad answers that a version as good as the other one may have.
    double UsualShare(Badness badness) const;
    // The same of slow answers around then; nothing: too few are known.
    std::optional<double> SlowShareAround(MonotonicTime time) const;
  };

  // Answers of canaries that are not judged yet.
  struct Unjudged {
    MonotonicTime reported_at;
    std::string router;
    std::string route;
    AnswerCounts counts;
  };

  // What is new in a report.
  AnswerCounts TakeNew(const std::string& router, std::uint64_t incarnation,
                       const AnswerReport& report);
  void JudgeFailures(const Unjudged& answers);
  void JudgeLatencies(const Unjudged& answers, bool same_moment);
  // Of all routes together, and of each alone.
  std::vector<const Sum*> Sums() const;
  // The sum that is nearest to its limit.
  const Sum& WorstSum() const;

  std::map<std::pair<std::string, AnswerGroup>, Source> sources_;
  // Oldest first.
  std::deque<Unjudged> unjudged_failures_;
  std::deque<Unjudged> unjudged_latencies_;
  std::map<std::string, Comparison> by_route_;
  Comparison all_routes_;
  std::uint64_t canary_answers_ = 0;
  std::uint64_t canary_bad_ = 0;
  std::uint64_t other_answers_ = 0;
};

}  // namespace juniperway::rollout
