// A run whose request may end the back ends that run it: how many of them it
// risks, and that an unlucky request loses nothing but a little time.
#include <doctest/doctest.h>

#include <set>

#include "support/request_run_world.h"

namespace juniperway::forwarding {
namespace {

using test::kShards;
using test::ShardName;
using test::World;

TEST_CASE("a scatter that ends its back ends risks one replica more") {
  World world;
  RequestRun& run = world.Start();
  while (!run.outcome()) {
    REQUIRE_FALSE(world.under_way.empty());
    world.Lose(world.under_way.begin()->first);
  }
  CHECK(world.sent.size() == kShards + 1);
  CHECK(run.outcome()->result == RunResult::kFailed);
  // The fleet knows by then.
  CHECK(run.outcome()->retry_after == seconds(1));
  CHECK(run.crash_evidence().lost.size() == kShards + 1);
  CHECK_FALSE(run.crash_evidence().survived);
}

TEST_CASE("no hedge goes out while the request is suspected") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 0; shard < 3; ++shard) {
    world.Lose(world.AttemptAt(ShardName(shard)));
  }
  // Until shortly before the target.
  for (int times = 0; times < 4; ++times) {
    world.Wait();
  }
  CHECK(world.sent.size() == kShards);
  // It was chance: a back end answers, and all the others are asked again.
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

TEST_CASE("a back end that fails the request has not shown that it survives") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 0; shard < 3; ++shard) {
    world.Lose(world.AttemptAt(ShardName(shard)));
  }
  world.End(world.AttemptAt(ShardName(3)), AttemptResult::kFailed);
  // Only the one attempt that goes ahead.
  CHECK(world.sent.size() == kShards + 1);
  CHECK_FALSE(run.crash_evidence().survived);
}

TEST_CASE("one lost back end is replaced as soon as another one answers") {
  World world;
  world.Start();
  world.Lose(world.AttemptAt(ShardName(0)));
  CHECK(world.AttemptAt(ShardName(0)) == 0);
  world.Answer(ShardName(1));
  CHECK(world.AttemptAt(ShardName(0)) != 0);
  // Later losses are replaced at once.
  world.Lose(world.AttemptAt(ShardName(2)));
  CHECK(world.AttemptAt(ShardName(2)) != 0);
}

TEST_CASE("a request to one service is repeated after a lost back end") {
  World world;
  world.MakeSingle(/*repeatable=*/true);
  RequestRun& run = world.Start();
  world.Lose(world.AttemptAt("s0"));
  REQUIRE(world.AttemptAt("s0") != 0);
  world.Answer("s0");
  CHECK(run.outcome()->result == RunResult::kSuccess);
}

TEST_CASE("of a request that was suspected before one attempt goes ahead") {
  World world;
  RequestRun& run = world.Start(/*suspected=*/true);
  CHECK(world.sent.size() == 1);
  SUBCASE("its back end ends: nothing else is sent") {
    world.Lose(world.under_way.begin()->first);
    CHECK(world.sent.size() == 1);
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kFailed);
  }
  SUBCASE("its back end survives: the others follow") {
    world.End(world.under_way.begin()->first, AttemptResult::kAnswered);
    CHECK(world.sent.size() == kShards);
  }
  SUBCASE("its back end did not run it: another one is asked") {
    world.End(world.under_way.begin()->first, AttemptResult::kShed);
    CHECK(world.sent.size() == 2);
    CHECK(world.under_way.size() == 1);
  }
  SUBCASE("its back end is silent: it is not hedged") {
    for (int times = 0; times < 20; ++times) {
      world.Wait();
    }
    CHECK(world.sent.size() == 1);
  }
}

TEST_CASE("evidence names the process that was lost, not only its id") {
  World world;
  world.MakeSingle(/*repeatable=*/true);
  for (int replica = 0; replica < test::kReplicas; ++replica) {
    const std::string id = ShardName(0) + "-" + std::to_string(replica);
    world.view.discovered[id].start = WallTime(seconds(20));
  }
  world.pool.Update(world.view, 1, world.now);
  RequestRun& run = world.Start();
  world.Lose(world.under_way.begin()->first);
  REQUIRE_FALSE(run.crash_evidence().lost.empty());
  const std::string name = run.crash_evidence().lost.front().incarnation;
  CHECK(name.ends_with("@20000"));
}

}  // namespace
}  // namespace juniperway::forwarding
