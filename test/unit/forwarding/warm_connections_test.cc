// Which back ends a router has unused connections to, and what it makes of it.
#include "common/forwarding/warm_connections.h"

#include <doctest/doctest.h>

#include "support/request_run_world.h"

namespace juniperway::forwarding {
namespace {

using test::World;

TEST_CASE("an attempt takes an unused connection and leaves it after") {
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

// Back ends of shard s0 that answered scatters which are `gap` apart.
std::set<std::string> BackendsUsed(Duration gap, int scatters) {
  World world;
  std::set<std::string> used;
  for (int i = 0; i < scatters; ++i) {
    const RequestRun& run = world.Start();
    while (!run.outcome()) {
      const auto [attempt, send] = *world.under_way.begin();
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

TEST_CASE("scatters that are seconds apart use the connections there are") {
  CHECK(BackendsUsed(seconds(17), 30).size() == 1);
  // Longer apart than connections are kept, all are equal.
  CHECK(BackendsUsed(seconds(70), 30).size() == 3);
}

}  // namespace
}  // namespace juniperway::forwarding
