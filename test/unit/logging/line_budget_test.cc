// How many log lines may be written in a time.
#include "common/logging/line_budget.h"

#include <doctest/doctest.h>

namespace juniperway::logging {
namespace {

const MonotonicTime kStart(seconds(100));

int TakeAll(LineBudget& budget, MonotonicTime now) {
  int taken = 0;
  while (budget.Take(now)) {
    ++taken;
  }
  return taken;
}

TEST_CASE("a burst gets the lines of one second") {
  LineBudget budget(200);
  CHECK(TakeAll(budget, kStart) == 200);
}

TEST_CASE("lines come back with time, never more than a second's") {
  LineBudget budget(200);
  TakeAll(budget, kStart);
  CHECK(TakeAll(budget, kStart + milliseconds(100)) == 20);
  CHECK(TakeAll(budget, kStart + seconds(60)) == 200);
}

TEST_CASE("asking for a line takes none") {
  LineBudget budget(1);
  CHECK(budget.HasLine(kStart));
  CHECK(budget.HasLine(kStart));
  CHECK(budget.Take(kStart));
  CHECK_FALSE(budget.HasLine(kStart));
  CHECK(budget.HasLine(kStart + seconds(1)));
}

TEST_CASE("a budget of nothing lets nothing pass") {
  LineBudget budget(0);
  CHECK_FALSE(budget.Take(kStart));
  CHECK_FALSE(budget.Take(kStart + seconds(1000)));
}

}  // namespace
}  // namespace juniperway::logging
