// Tests runs whose request may crash backends: how many backends a run risks,
// and that a request which lost backends by coincidence is only delayed.
#include <doctest/doctest.h>

#include <set>

#include "support/request_run_world.h"

namespace juniperway::forwarding {
namespace {

using test::kShards;
using test::ShardName;
using test::World;

TEST_CASE("a scatter that crashes backends risks one more replica") {
  World world;
  RequestRun& run = world.Start();
  while (!run.outcome()) {
    REQUIRE_FALSE(world.in_flight.empty());
    world.Lose(world.in_flight.begin()->first);
  }
  CHECK(world.sent.size() == kShards + 1);
  CHECK(run.outcome()->result == RunResult::kFailed);
  // The control group has attributed the crash by then.
  CHECK(run.outcome()->retry_after == seconds(1));
  CHECK(run.crash_evidence().lost.size() == kShards + 1);
  CHECK_FALSE(run.crash_evidence().survived);
}

TEST_CASE("a suspected request is not hedged") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 0; shard < 3; ++shard) {
    world.Lose(world.AttemptAt(ShardName(shard)));
  }
  // Time passes until shortly before the end of the route's target latency.
  for (int times = 0; times < 4; ++times) {
    world.Wait();
  }
  CHECK(world.sent.size() == kShards);
  // The losses were a coincidence: a backend answers, and the run sends
  // attempts for the other shards again.
  world.Answer(ShardName(3));
  CHECK(world.sent.size() == kShards + 3);
  for (int shard = 0; shard < 3; ++shard) {
    world.Answer(ShardName(shard));
  }
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kSuccess);
  CHECK(run.outcome()->missing.empty());
  CHECK(run.crash_evidence().survived);
}

TEST_CASE("an error answer does not show that the backend survives") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 0; shard < 3; ++shard) {
    world.Lose(world.AttemptAt(ShardName(shard)));
  }
  world.End(world.AttemptAt(ShardName(3)), AttemptResult::kFailed);
  // The run sends only the trial attempt.
  CHECK(world.sent.size() == kShards + 1);
  CHECK_FALSE(run.crash_evidence().survived);
}

TEST_CASE("a lost backend is replaced as soon as another one answers") {
  World world;
  world.Start();
  world.Lose(world.AttemptAt(ShardName(0)));
  CHECK(world.AttemptAt(ShardName(0)) == 0);
  world.Answer(ShardName(1));
  CHECK(world.AttemptAt(ShardName(0)) != 0);
  // Since a backend has survived, the run replaces later losses at once.
  world.Lose(world.AttemptAt(ShardName(2)));
  CHECK(world.AttemptAt(ShardName(2)) != 0);
}

TEST_CASE("a request to one service is retried after a lost backend") {
  World world;
  world.MakeSingle(/*repeatable=*/true);
  RequestRun& run = world.Start();
  world.Lose(world.AttemptAt("s0"));
  REQUIRE(world.AttemptAt("s0") != 0);
  world.Answer("s0");
  CHECK(run.outcome()->result == RunResult::kSuccess);
}

TEST_CASE("a request that was suspected before sends one trial attempt") {
  World world;
  RequestRun& run = world.Start(/*suspected=*/true);
  CHECK(world.sent.size() == 1);
  SUBCASE("its backend crashes: the run sends nothing else") {
    world.Lose(world.in_flight.begin()->first);
    CHECK(world.sent.size() == 1);
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kFailed);
  }
  SUBCASE("its backend survives: the run sends the others") {
    world.End(world.in_flight.begin()->first, AttemptResult::kAnswered);
    CHECK(world.sent.size() == kShards);
  }
  SUBCASE("its backend did not run it: the run sends another trial") {
    world.End(world.in_flight.begin()->first, AttemptResult::kShed);
    CHECK(world.sent.size() == 2);
    CHECK(world.in_flight.size() == 1);
  }
  SUBCASE("its backend is unresponsive: the run does not hedge") {
    for (int times = 0; times < 20; ++times) {
      world.Wait();
    }
    CHECK(world.sent.size() == 1);
  }
}

TEST_CASE("evidence names the lost incarnation, not only the id") {
  World world;
  world.MakeSingle(/*repeatable=*/true);
  for (int replica = 0; replica < test::kReplicas; ++replica) {
    const std::string id = ShardName(0) + "-" + std::to_string(replica);
    world.view.discovered[id].start = WallTime(seconds(20));
  }
  world.pool.Update(world.view, 1, world.now);
  RequestRun& run = world.Start();
  world.Lose(world.in_flight.begin()->first);
  REQUIRE_FALSE(run.crash_evidence().lost.empty());
  const std::string name = run.crash_evidence().lost.front().incarnation;
  CHECK(name.ends_with("@20000"));
}

}  // namespace
}  // namespace juniperway::forwarding
