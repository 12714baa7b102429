// Whether the canaries of one service do worse than the back ends that they are
// to replace, from what all routers have seen of both. Pure.
//
// An answer is bad when it is a failure or several times slower than what is
// usual of the other version. What is compared is the share of bad answers, of
// each route alone and of all routes together, on the same seconds: what hits
// both versions alike (a zone that is down, spoiled answers) is no reason to
// roll back.
//
// The test is a cumulative sum of log-likelihood ratios (Page 1954) between the
// other version's share of bad answers and that share plus kLeastHarm. It
// starts over at zero whenever the canaries do well, so that a version that
// turns bad later is found as fast as one that is bad from the start. Under the
// first hypothesis it reaches the limit after e^limit answers on average at the
// least (Lorden 1971).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

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

  // @param router and its start: a router that restarts counts from zero.
  void OnReport(const std::string& router, std::uint64_t incarnation,
                const AnswerReport& report, MonotonicTime now);

  // Which answers of canaries are bad.
  enum class BadAnswers { kFailed, kFailedOrSlow };

  // Judges what was reported of canaries at least `wait` ago. The others'
  // answers of the same moment are reported up to a second later: a fault that
  // hits both alike looks like the canaries' own until then, and 3 of 1,000
  // good versions were undone for it (property.rollout/rollout).
  // @param bad kFailed while the other version gets no requests: what makes
  //   all answers slower then has nothing to be compared with. A good version
  //   was undone so within 0.4 s, on a machine with a load of 2.5 a core.
  void Judge(MonotonicTime now, Duration wait,
             BadAnswers bad = BadAnswers::kFailedOrSlow);

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
  // The other version's answers of late.
  class Usual {
   public:
    explicit Usual(Duration memory) : memory_(memory) {}

    void Fade(MonotonicTime now);
    void Add(const AnswerCounts& counts);
    // The first step that counts as slow; kLatencySteps: none is known.
    std::size_t SlowStep() const;
    double total() const { return total_; }
    // That failed, or took this step or a higher one.
    double Bad(std::size_t slow_step) const;

   private:
    Duration memory_;
    double total_ = 0;
    double failed_ = 0;
    std::array<double, kLatencySteps> timed_{};
    MonotonicTime faded_at_;
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
    Sum sum;

    void AddOther(const AnswerCounts& counts, MonotonicTime now);
    // Share of bad answers that a version as good as the other one may have.
    double UsualShare() const;
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
  static std::uint32_t CountBad(const AnswerCounts& counts,
                                const Comparison& comparison, BadAnswers bad);
  static void AddCanary(const Unjudged& answers, BadAnswers bad,
                        Comparison& comparison);
  const Sum& WorstSum() const;

  std::map<std::pair<std::string, AnswerGroup>, Source> sources_;
  // Oldest first.
  std::deque<Unjudged> unjudged_;
  std::map<std::string, Comparison> by_route_;
  Comparison all_routes_;
  std::uint64_t canary_answers_ = 0;
  std::uint64_t canary_bad_ = 0;
  std::uint64_t other_answers_ = 0;
};

}  // namespace juniperway::rollout
