// Tests how a router's metrics count requests that end.
#include "common/forwarding/router_metrics.h"

#include <doctest/doctest.h>
#include <prometheus/text_serializer.h>

#include <string>

namespace juniperway::forwarding {
namespace {

std::string Text(const prometheus::Registry& registry) {
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

bool Has(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

RequestRun MakeRun(const routes::Route& route, BackendPool& pool,
                   RouteLatency& latency) {
  return {route, "s", MonotonicTime(seconds(10)), RunOptions(), pool, latency};
}

TEST_CASE("a request counts once, by its result") {
  prometheus::Registry registry;
  RouterMetrics metrics(registry);
  routes::Route route;
  route.destination = routes::SplitTarget{};
  BackendPool pool((PoolOptions()));
  RouteLatency latency;
  const RequestRun run = MakeRun(route, pool, latency);

  metrics.OnBegan();
  CHECK(Has(Text(registry), "juniperway_router_requests_running 1"));
  metrics.OnEnded(RequestEnd::kPartial, run, 2, milliseconds(30));
  metrics.OnAttemptEnded(AttemptResult::kShed);
  metrics.OnRefused(503);

  const std::string text = Text(registry);
  CHECK(Has(text, "juniperway_router_requests_running 0"));
  CHECK(Has(text, "juniperway_router_requests_total{result=\"partial\"} 1"));
  CHECK(Has(text, "juniperway_router_requests_total{result=\"whole\"} 0"));
  CHECK(Has(text, "juniperway_router_missing_shards_total 2"));
  CHECK(Has(text, "juniperway_router_attempts_total{result=\"shed\"} 1"));
  CHECK(Has(text, "juniperway_router_refusals_total{status=\"503\"} 1"));
  CHECK(Has(text, "juniperway_router_request_seconds_count 1"));
}

TEST_CASE("a success with a missing shard is partial") {
  RunOutcome outcome;
  outcome.result = RunResult::kSuccess;
  CHECK(EndOf(outcome) == RequestEnd::kWhole);
  outcome.missing = {{"s2", {"i-1"}, true}};
  CHECK(EndOf(outcome) == RequestEnd::kPartial);
}

}  // namespace
}  // namespace juniperway::forwarding
