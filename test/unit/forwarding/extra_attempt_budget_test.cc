// Tests the budget for extra attempts: in any window a router sends at most
// ratio x requests + its share of the slack.
#include "common/forwarding/extra_attempt_budget.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace juniperway::forwarding {
namespace {

constexpr ExtraAttemptLimits kLimits{
    .ratio = 0.2, .slack = 60, .window = seconds(10), .routers = 6};

TEST_CASE("without requests a router has only its share of the slack") {
  ExtraAttemptBudget budget;
  int taken = 0;
  while (budget.TryTakeAttempt(kLimits, MonotonicTime(seconds(100)))) {
    ++taken;
  }
  CHECK(taken > 0);
  CHECK(taken <= 10);
}

TEST_CASE("the budget is available again after a window") {
  ExtraAttemptBudget budget;
  MonotonicTime now(seconds(100));
  while (budget.TryTakeAttempt(kLimits, now)) {
  }
  CHECK_FALSE(budget.TryTakeAttempt(kLimits, now + seconds(9)));
  CHECK(budget.TryTakeAttempt(kLimits, now + seconds(13)));
}

TEST_CASE("no window exceeds the limit under varying request rates") {
  struct Event {
    MonotonicTime at;
    bool extra;
  };
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    ExtraAttemptBudget budget;
    std::deque<Event> window;
    double requests = 0;
    double extra = 0;
    MonotonicTime now(seconds(50));
    for (int step = 0; step < 5000; ++step) {
      const bool busy = (step / 500) % 2 == 0;
      now += milliseconds(random() % (busy ? 10 : 200));
      budget.OnRequest(kLimits, now);
      window.push_back({now, false});
      ++requests;
      if (budget.TryTakeAttempt(kLimits, now)) {
        window.push_back({now, true});
        ++extra;
      }
      while (now - window.front().at > kLimits.window) {
        (window.front().extra ? extra : requests) -= 1;
        window.pop_front();
      }
      // The budget covers 1.1 windows. An earlier window with more requests may
      // allow more extra attempts than this window alone, so this check is
      // stricter than the guarantee.
      CHECK(extra <= kLimits.ratio * requests * 1.1 + kLimits.slack / 6);
    }
  }
}

TEST_CASE("the remaining share falls with each extra attempt") {
  ExtraAttemptBudget budget;
  const MonotonicTime now(seconds(100));
  CHECK(budget.RemainingShare(kLimits, now) == 1);
  double remaining = 1;
  while (budget.TryTakeAttempt(kLimits, now)) {
    CHECK(budget.RemainingShare(kLimits, now) < remaining);
    remaining = budget.RemainingShare(kLimits, now);
  }
  CHECK(remaining < 0.2);
  ExtraAttemptLimits none = kLimits;
  none.slack = 0;
  CHECK(ExtraAttemptBudget().RemainingShare(none, now) == 0);
}

TEST_CASE("a router that has just started has no share of the slack") {
  ExtraAttemptLimits limits = kLimits;
  limits.slack_from = MonotonicTime(seconds(110));
  ExtraAttemptBudget budget;
  CHECK_FALSE(budget.TryTakeAttempt(limits, MonotonicTime(seconds(109))));
  // The router has the budget that its own requests allow.
  for (int i = 0; i < 20; ++i) {
    budget.OnRequest(limits, MonotonicTime(seconds(109)));
  }
  CHECK(budget.TryTakeAttempt(limits, MonotonicTime(seconds(109))));
  CHECK(budget.TryTakeAttempt(limits, MonotonicTime(seconds(110))));
}

}  // namespace
}  // namespace juniperway::forwarding
