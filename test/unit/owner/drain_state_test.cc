#include "common/owner/drain_state.h"

#include <doctest/doctest.h>

#include "unit/owner/gate_fixture.h"

namespace juniperway::owner::testing {
namespace {

TEST_CASE("Each source alone reports a drain") {
  DrainState state;
  CHECK_FALSE(state.draining());
  SUBCASE("operator") { state.SetOperator(true); }
  SUBCASE("platform") { state.SetPlatform(true); }
  SUBCASE("report") { state.SetReported(true, At(0)); }
  SUBCASE("answer") { state.OnAnswer(true, At(0)); }
  SUBCASE("health") { state.OnHealth(true, At(0), At(0)); }
  CHECK(state.draining());
}

TEST_CASE("Health that lags does not withdraw the drain of a header") {
  DrainState state;
  state.OnAnswer(true, At(0));
  state.OnHealth(false, At(1000), At(1001));
  CHECK(state.source() == DrainSource::kAnswer);
  // An answer in flight when the drain began does not withdraw the drain.
  state.OnAnswer(false, At(1002));
  CHECK(state.draining());
  const MonotonicTime held = At(0) + DrainState::kHeaderPrecedenceWindow;
  state.OnHealth(false, held - Duration(1), held);
  CHECK(state.draining());
  state.OnHealth(false, held, held);
  CHECK_FALSE(state.draining());
}

TEST_CASE("An answer withdraws the drain of health and ignores health then") {
  DrainState state;
  state.OnHealth(true, At(0), At(1));
  state.OnAnswer(false, At(50));  // May have been sent before health's report.
  CHECK(state.draining());
  state.OnAnswer(false, At(200));
  CHECK_FALSE(state.draining());
  state.OnHealth(true, At(1000), At(1001));
  CHECK_FALSE(state.draining());
  const MonotonicTime later = At(200) + DrainState::kHealthIgnoredWindow;
  state.OnHealth(true, later, later);
  CHECK(state.draining());
}

TEST_CASE("Health withdraws its own drain") {
  DrainState state;
  state.OnHealth(true, At(0), At(1));
  state.OnHealth(false, At(1000), At(1001));
  CHECK_FALSE(state.draining());
}

TEST_CASE("While health is ignored, an answer still reports a drain") {
  DrainState state;
  state.OnHealth(true, At(0), At(1));
  state.OnAnswer(false, At(200));
  state.OnAnswer(true, At(300));
  CHECK(state.source() == DrainSource::kAnswer);
}

}  // namespace
}  // namespace juniperway::owner::testing
