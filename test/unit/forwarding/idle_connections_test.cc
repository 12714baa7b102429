// Tests the estimate of the idle connections of a router, and its effect on the
// choice of a backend.
#include "common/forwarding/idle_connections.h"

#include <doctest/doctest.h>

#include "support/request_run_world.h"

namespace juniperway::forwarding {
namespace {

using test::World;

TEST_CASE(
    "an attempt uses an idle connection and leaves one after its answer") {
  const MonotonicTime now{seconds(100)};
  IdleConnections warm(seconds(20));
  CHECK_FALSE(warm.IsAnyOpen(now));
  warm.OnSent(now);
  warm.OnAnswered(now);
  CHECK(warm.IsAnyOpen(now + seconds(19)));
  CHECK_FALSE(warm.IsAnyOpen(now + seconds(20)));
  warm.OnSent(now + seconds(1));
  CHECK_FALSE(warm.IsAnyOpen(now + seconds(1)));
  warm.OnAnswered(now + seconds(2));
  warm.OnAnswered(now + seconds(3));
  warm.OnSent(now + seconds(22));
  CHECK_FALSE(warm.IsAnyOpen(now + seconds(23)));
}

// Returns the backends of shard s0 that answered scatter requests sent `gap`
// apart.
std::set<std::string> BackendsUsed(Duration gap, int scatters) {
  World world;
  std::set<std::string> used;
  for (int i = 0; i < scatters; ++i) {
    const RequestRun& run = world.Start();
    while (!run.outcome()) {
      const auto [attempt, send] = *world.in_flight.begin();
      if (send.backend.starts_with("s0-")) {
        used.insert(send.backend);
      }
      world.now += milliseconds(10);
      world.End(attempt, AttemptResult::kAnswered);
    }
    world.now += gap;
  }
  return used;
}

TEST_CASE("scatter requests seconds apart use the open connections") {
  CHECK(BackendsUsed(seconds(17), 30).size() == 1);
  // When the idle connections have expired, all replicas are equal.
  CHECK(BackendsUsed(seconds(70), 30).size() == 3);
}

}  // namespace
}  // namespace juniperway::forwarding
