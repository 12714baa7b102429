// Tests the decisions of one request's run: attempts, hedges, retries and the
// outcome.
#include "common/forwarding/request_run.h"

#include <doctest/doctest.h>

#include <set>

#include "support/request_run_world.h"

namespace juniperway::forwarding {
namespace {

using test::kShards;
using test::ShardName;
using test::World;

TEST_CASE("a scatter sends one attempt to every shard and merges the answers") {
  World world;
  RequestRun& run = world.Start();
  CHECK(world.sent.size() == kShards);
  for (int shard = 0; shard < kShards; ++shard) {
    CHECK_FALSE(run.outcome());
    world.Answer(ShardName(shard));
  }
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kSuccess);
  CHECK(run.outcome()->missing.empty());
  CHECK(run.outcome()->signatures.size() == kShards);
  CHECK(run.outcome()->merged_records ==
        std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
}

TEST_CASE("an answer is sent early enough for its parts to be merged") {
  World world;
  world.route.maximum_attempts = 1;
  const MonotonicTime began = world.now;
  RequestRun& run = world.Start();
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  // The route allows no hedge, so the next deadline is that of the answer.
  world.now = run.NextDeadline();
  run.OnDeadline(world.now);
  const RunOptions options;
  CHECK(run.NextDeadline() == began + world.route.target -
                                  options.answer_margin -
                                  kShards * options.part_margin);
}

TEST_CASE(
    "an overloaded router does not hedge, and does so once it has caught up") {
  World world;
  RequestRun& run = world.Start();
  // The event loop processes the hedges late, so answers may have arrived that
  // the router has not read.
  world.now = run.NextDeadline() + milliseconds(30);
  run.OnDeadline(world.now);
  CHECK(run.hedges() == 0);
  CHECK(run.NextDeadline() <= world.now + milliseconds(20));
  world.now = run.NextDeadline() + milliseconds(10);
  run.OnDeadline(world.now);
  CHECK(run.hedges() == 0);
  world.now = run.NextDeadline() + milliseconds(1);
  run.OnDeadline(world.now);
  CHECK(run.hedges() == kShards);
}

// @return the delay of the first hedge of a request with a 250 ms target.
// @param hedge_latency latency of earlier hedges; std::nullopt when there were
//   none.
Duration FirstHedgeAfter(std::optional<Duration> hedge_latency) {
  World world;
  for (int i = 0; hedge_latency && i < 100; ++i) {
    world.latency.hedges.Record(*hedge_latency);
  }
  const MonotonicTime began = world.now;
  RequestRun& run = world.Start();
  while (run.hedges() == 0) {
    world.Wait();
  }
  return world.now - began;
}

TEST_CASE("a hedge is sent while it can still be answered within the target") {
  constexpr Duration kEarliest = milliseconds(62);
  constexpr Duration kLatest = milliseconds(125);
  CHECK(FirstHedgeAfter(std::nullopt) / milliseconds(1) == 62);
  // 250 ms minus the answer margin of 18 ms and a hedge latency of about 130
  // ms.
  const Duration between = FirstHedgeAfter(milliseconds(130));
  CHECK(between > milliseconds(95));
  CHECK(between < milliseconds(109));
  CHECK(FirstHedgeAfter(milliseconds(20)) == kLatest);
  CHECK(FirstHedgeAfter(seconds(1)) >= kEarliest);
}

TEST_CASE("a service that names requests must name them in each such answer") {
  const auto end_named = [](World& world, AttemptResult result) {
    AttemptEnd end;
    end.result = result;
    end.names_request = true;
    const AttemptId attempt = world.AttemptAt("s0");
    world.in_flight.erase(attempt);
    world.run->OnEnded(attempt, std::move(end), world.now);
    world.Take();
  };
  World world;
  world.MakeSingle(/*repeatable=*/false);
  world.Start();
  CHECK_FALSE(world.sent.back().names_request);
  CHECK_FALSE(world.sent.back().names_request_in_failures);
  // A refusal without a request id may then be the late answer to another
  // request, which has run.
  end_named(world, AttemptResult::kShed);
  CHECK_FALSE(world.sent.back().names_request);
  CHECK(world.sent.back().names_request_in_failures);
  end_named(world, AttemptResult::kAnswered);
  world.Start();
  CHECK(world.sent.back().names_request);
  CHECK(world.sent.back().names_request_in_failures);
}

TEST_CASE("a slow shard is hedged at another backend") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  world.Wait();
  REQUIRE(world.sent.size() == kShards + 1);
  CHECK(world.sent.back().backend.starts_with("s0-"));
  CHECK(world.sent.back().backend != world.sent.front().backend);
  CHECK(run.hedges() == 1);
  world.End(world.sent.back().attempt, AttemptResult::kAnswered);
  CHECK(run.outcome()->result == RunResult::kSuccess);
  CHECK(world.in_flight.empty());
}

TEST_CASE("no shard gets more attempts than the route's maximum") {
  World world;
  world.Start();
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  while (!world.run->outcome()) {
    world.Wait();
  }
  CHECK(world.sent.size() == kShards + 1);
}

TEST_CASE("a scatter with the minimum coverage is answered at the target") {
  World world;
  RequestRun& run = world.Start();
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  const MonotonicTime began = world.now;
  while (!run.outcome()) {
    world.Wait();
  }
  CHECK(run.outcome()->result == RunResult::kSuccess);
  CHECK(run.outcome()->missing.size() == 1);
  CHECK(world.now - began < world.route.target);
  CHECK(world.in_flight.empty());
}

TEST_CASE("a scatter below the minimum coverage is no success") {
  World world;
  RequestRun& run = world.Start();
  world.Answer("s3");
  world.Answer("s2");
  while (!run.outcome()) {
    world.Wait();
  }
  CHECK(run.outcome()->result == RunResult::kTimedOut);
}

TEST_CASE("a scatter that failed names the missing shards") {
  World world;
  RequestRun& run = world.Start();
  world.Answer("s0");
  // Both shards use up their attempts.
  for (const std::string shard : {"s1", "s2"}) {
    while (world.AttemptAt(shard) != 0 && !run.outcome()) {
      world.End(world.AttemptAt(shard), AttemptResult::kIncompleteAnswer);
    }
  }
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kFailed);
  const auto& missing = run.outcome()->missing;
  REQUIRE(missing.size() == kShards - 1);
  CHECK(missing[0].service == "s1");
  CHECK(missing[0].failed);
  CHECK(missing[0].tried.size() == 2);
  CHECK(missing[1].failed);
  CHECK_FALSE(missing[2].failed);
}

TEST_CASE("a scatter sends nothing when too few shards have backends") {
  World world;
  for (const char* id : {"s0-0", "s0-1", "s0-2", "s1-0", "s1-1", "s1-2"}) {
    world.view.discovered[id].draining = true;
  }
  world.pool.Update(world.view, 1, world.now);
  RequestRun& run = world.Start();
  CHECK(world.sent.empty());
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kNotRun);
}

TEST_CASE("the run does not wait for a shard without backends") {
  World world;
  for (const char* id : {"s0-0", "s0-1", "s0-2"}) {
    world.view.discovered[id].draining = true;
  }
  world.pool.Update(world.view, 1, world.now);
  RequestRun& run = world.Start();
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  REQUIRE(run.outcome());
  CHECK(run.outcome()->missing.size() == 1);
}

TEST_CASE("a repeatable request is retried after a broken attempt") {
  World world;
  world.MakeSingle(true);
  RequestRun& run = world.Start();
  world.End(world.AttemptAt("s0"), AttemptResult::kIncompleteAnswer);
  CHECK(world.sent.size() == 2);
  CHECK(world.sent[0].backend != world.sent[1].backend);
  world.End(world.AttemptAt("s0"), AttemptResult::kIncompleteAnswer);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kFailed);
}

TEST_CASE(
    "a request that is not repeatable is retried only if it did not run") {
  World world;
  world.MakeSingle(false);
  SUBCASE("broken") {
    RequestRun& run = world.Start();
    world.End(world.AttemptAt("s0"), AttemptResult::kIncompleteAnswer);
    CHECK(world.sent.size() == 1);
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kFailed);
  }
  SUBCASE("shed") {
    RequestRun& run = world.Start();
    world.End(world.AttemptAt("s0"), AttemptResult::kShed);
    CHECK(world.sent.size() == 2);
    world.Answer("s0");
    CHECK(run.outcome()->result == RunResult::kSuccess);
  }
  SUBCASE("slow") {
    RequestRun& run = world.Start();
    while (!run.outcome()) {
      world.Wait();
    }
    CHECK(world.sent.size() == 1);
    CHECK(run.outcome()->result == RunResult::kTimedOut);
  }
}

TEST_CASE("replacing an attempt that was never sent needs no budget") {
  World world(/*slack=*/0, /*ratio=*/0);
  world.MakeSingle(/*repeatable=*/true);
  RequestRun& run = world.Start();
  world.End(world.AttemptAt("s0"), AttemptResult::kUnsent);
  REQUIRE(world.sent.size() == 2);
  world.End(world.AttemptAt("s0"), AttemptResult::kUnsent);
  REQUIRE(world.sent.size() == 3);
  // The third attempt arrived, so a fourth one would need the budget.
  world.End(world.AttemptAt("s0"), AttemptResult::kIncompleteAnswer);
  CHECK(world.sent.size() == 3);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kFailed);
}

TEST_CASE("replacing an attempt that arrived needs budget") {
  for (const auto result :
       {AttemptResult::kShed, AttemptResult::kWrongBackend,
        AttemptResult::kIncompleteAnswer, AttemptResult::kFailed}) {
    World world(/*slack=*/0, /*ratio=*/0);
    world.MakeSingle(/*repeatable=*/true);
    world.Start();
    world.End(world.AttemptAt("s0"), result);
    CHECK(world.sent.size() == 1);
  }
}

TEST_CASE(
    "replacing an unsent attempt needs budget while a hedge is in flight") {
  // The budget suffices for one hedge.
  World world(/*slack=*/1.5, /*ratio=*/0);
  world.MakeSingle(/*repeatable=*/true);
  world.Start();
  const AttemptId first = world.AttemptAt("s0");
  world.Wait();
  REQUIRE(world.sent.size() == 2);
  world.End(first, AttemptResult::kUnsent);
  CHECK(world.sent.size() == 2);
}

TEST_CASE("the outcome is kNotRun only when nothing ran") {
  World world;
  world.MakeSingle(true);
  RequestRun& run = world.Start();
  SUBCASE("every backend shed the request") {
    while (!world.in_flight.empty()) {
      world.End(world.AttemptAt("s0"), AttemptResult::kShed);
    }
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kNotRun);
  }
  SUBCASE("one backend may have run it") {
    world.End(world.AttemptAt("s0"), AttemptResult::kIncompleteAnswer);
    while (!world.in_flight.empty()) {
      world.End(world.AttemptAt("s0"), AttemptResult::kShed);
    }
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kFailed);
  }
}

TEST_CASE("a backend's own error answer is passed on") {
  World world;
  world.MakeSingle(false);
  RequestRun& run = world.Start();
  world.End(world.AttemptAt("s0"), AttemptResult::kFailed);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kBackendFailure);
  CHECK(run.outcome()->answer.status == 500);
}

TEST_CASE("a client's disconnect cancels all attempts in flight") {
  World world;
  RequestRun& run = world.Start();
  CHECK(world.in_flight.size() == kShards);
  run.OnClientGone(world.now);
  world.Take();
  CHECK(world.in_flight.empty());
  CHECK_FALSE(run.outcome());
}

TEST_CASE("the route's timeout ends a request before the client's deadline") {
  World world;
  world.MakeSingle(true);
  world.route.timeout = milliseconds(500);
  RequestRun& run = world.Start();
  CHECK(world.sent[0].deadline == world.now + milliseconds(500));
  const MonotonicTime began = world.now;
  while (!run.outcome()) {
    world.Wait();
  }
  CHECK(world.now == began + milliseconds(500));
}

// Occupies every connection of the services' backends, as other requests would.
class Occupied {
 public:
  Occupied(World& world, std::vector<std::string> services)
      : world_(world), services_(std::move(services)) {
    const routes::HomeRegions anywhere;
    const std::vector<std::string> none;
    for (const std::string& service : services_) {
      while (const auto* backend =
                 world_.pool.Choose({service, anywhere, none}, world_.now)) {
        const AttemptId attempt = kFirstAttempt + attempts_.size();
        attempts_.emplace_back(backend->info.id, attempt);
        world_.pool.OnSent(backend->info.id, attempt, world_.now);
      }
    }
  }

  void Release() {
    for (const auto& [backend, attempt] : attempts_) {
      world_.pool.OnEnded(backend, attempt, AttemptResult::kAnswered,
                          world_.now);
    }
    attempts_.clear();
  }

 private:
  // First id of the occupying attempts. It is larger than the attempt ids of
  // the runs.
  static constexpr AttemptId kFirstAttempt = 1'000'000'000;

  World& world_;
  std::vector<std::string> services_;
  std::vector<std::pair<std::string, AttemptId>> attempts_;
};

TEST_CASE("a scatter waits while too many of its backends are busy") {
  World world;
  Occupied occupied(world, {"s0", "s1"});
  RequestRun& run = world.Start();
  CHECK(run.waiting());
  CHECK(world.sent.empty());
  CHECK_FALSE(run.outcome());
  SUBCASE("until they are free") {
    CHECK_FALSE(run.Admit(world.now));
    occupied.Release();
    CHECK(run.Admit(world.now));
    world.Take();
    CHECK_FALSE(run.waiting());
    CHECK(world.sent.size() == kShards);
  }
  SUBCASE("and is refused early enough for its client to send it elsewhere") {
    const MonotonicTime began = world.now;
    world.Wait();
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kNotRun);
    CHECK(world.now < began + world.route.timeout);
    CHECK(world.sent.empty());
  }
  SUBCASE("and is refused when it may not wait") {
    run.StopWaiting(world.now);
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kNotRun);
  }
}

TEST_CASE("a shard whose backends are busy gets its attempt when one is free") {
  World world;
  Occupied occupied(world, {"s0"});
  RequestRun& run = world.Start();
  CHECK(world.sent.size() == kShards - 1);
  CHECK(run.short_of_backends());
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  CHECK_FALSE(run.outcome());
  SUBCASE("in time") {
    occupied.Release();
    run.OnBackendsAvailable(world.now);
    world.Take();
    CHECK_FALSE(run.short_of_backends());
    world.Answer("s0");
    REQUIRE(run.outcome());
    CHECK(run.outcome()->missing.empty());
  }
  SUBCASE("not in time: the others are answered at the target") {
    const MonotonicTime began = world.now;
    world.Wait();
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kSuccess);
    CHECK(run.outcome()->missing.size() == 1);
    CHECK(world.now - began < world.route.target);
  }
}

TEST_CASE("a request that was sent before becomes late earlier") {
  World world;
  world.run =
      std::make_unique<RequestRun>(world.route, "s0", world.now + seconds(3),
                                   RunOptions{}, world.pool, world.latency);
  world.run->Start(world.now, seconds(1));
  CHECK(world.run->target_by() == world.now + world.route.target - seconds(1));
  world.Take();
  // The run still waits for the last shard instead of answering at once.
  for (int shard = 1; shard < kShards; ++shard) {
    world.Answer(ShardName(shard));
  }
  CHECK_FALSE(world.run->outcome());
  CHECK(world.run->NextDeadline() > world.now);
}

TEST_CASE("replacing a refused connection needs no budget, a reset does") {
  for (const auto result : {AttemptResult::kRefused, AttemptResult::kReset}) {
    World world(/*slack=*/0, /*ratio=*/0);
    world.MakeSingle(/*repeatable=*/true);
    world.Start();
    world.End(world.AttemptAt("s0"), result);
    CHECK(world.sent.size() == (result == AttemptResult::kRefused ? 2 : 1));
  }
}

TEST_CASE("a request whose connection was reset may have run") {
  World world;
  world.MakeSingle(/*repeatable=*/false);
  RequestRun& run = world.Start();
  world.End(world.AttemptAt("s0"), AttemptResult::kReset);
  CHECK(world.sent.size() == 1);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kFailed);
}

TEST_CASE("a run that was shed and not answered in time is overloaded") {
  const auto served_after = [](Duration elapsed, AttemptResult first) {
    World world;
    world.MakeSingle(/*repeatable=*/true);
    RequestRun& run = world.Start();
    world.End(world.AttemptAt("s0"), first);
    world.now += elapsed;
    world.Answer("s0");
    REQUIRE(run.outcome());
    CHECK(run.outcome()->result == RunResult::kSuccess);
    return run.overloaded();
  };
  CHECK_FALSE(served_after(milliseconds(10), AttemptResult::kShed));
  CHECK(served_after(milliseconds(300), AttemptResult::kShed));
  // The run is late, but no backend shed an attempt: admitting fewer requests
  // would not help.
  CHECK_FALSE(
      served_after(milliseconds(300), AttemptResult::kIncompleteAnswer));
}

}  // namespace
}  // namespace juniperway::forwarding
