// Measures the share of shards that are answered in a large fleet whose routers
// report failures to each other. There are so many routers and backends that a
// given router sends to a given backend only once every few minutes.
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/forwarding/backend_pool.h"
#include "common/observation/observation_relay.h"

namespace juniperway::forwarding {
namespace {

constexpr std::size_t kRouters = 200;
constexpr std::size_t kControlNodes = 4;
constexpr int kShards = 6;
constexpr int kReplicas = 40;
// 50 scatter requests per second over all routers, as many as a fleet of 985
// routers gets.
constexpr Duration kScatterInterval = milliseconds(20);
constexpr Duration kServiceTime = milliseconds(20);

std::string ServiceName(int shard) { return "shard-" + std::to_string(shard); }

session::FleetViewPointer MakeView() {
  auto view = std::make_shared<session::FleetView>();
  auto table = std::make_shared<routes::RouteTable>();
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string service = ServiceName(shard);
    table->services[service].maximum_connections = 1000;
    for (int replica = 0; replica < kReplicas; ++replica) {
      const std::string id = service + "-" + std::to_string(replica);
      view->discovered[id] =
          session::DiscoveredBackend{.id = id,
                                     .service = service,
                                     .address = "10.0.0.1:80",
                                     .zone = "here",
                                     .slots = 7};
    }
  }
  view->route_table = table;
  return view;
}

// Routers, the control nodes between them, and backends of which four in five
// can shed three fifths of their requests.
class Fleet {
 public:
  explicit Fleet(bool shares_observations)
      : relays_(kControlNodes), random_(1) {
    const auto view = MakeView();
    for (std::size_t router = 0; router < kRouters; ++router) {
      // Each router's share of the slack is one extra attempt per shard and
      // window.
      pools_.push_back(std::make_unique<BackendPool>(
          PoolOptions{.zone = "here",
                      .regions = {{"here", "r"}},
                      .extra = {.ratio = 0.2, .slack = 1.1 * kRouters},
                      .shares_observations = shares_observations,
                      .seed = router + 1}));
      pools_.back()->Update(*view, kRouters, now_);
    }
  }

  // Breaks the connections of this router to all backends.
  void BreakLinks(std::size_t router) { broken_router_ = router; }
  // From now on four in five backends shed three fifths of their requests.
  void Shed() { shedding_ = true; }

  // @return the share of shards that were answered, without those of the broken
  //   router.
  double RunRequests(Duration duration) {
    std::size_t answered = 0;
    std::size_t queried = 0;
    const MonotonicTime end = now_ + duration;
    while (now_ < end) {
      const std::size_t router = random_() % kRouters;
      for (int shard = 0; shard < kShards; ++shard) {
        const bool counts = router != broken_router_;
        queried += counts ? 1 : 0;
        answered += QueryShard(router, ServiceName(shard)) && counts ? 1 : 0;
      }
      now_ += kScatterInterval;
      RelayObservations();
    }
    return static_cast<double>(answered) / static_cast<double>(queried);
  }

 private:
  bool QueryShard(std::size_t router, const std::string& service) {
    BackendPool& pool = *pools_[router];
    const routes::HomeRegions anywhere;
    std::vector<std::string> tried;
    pool.OnFirstRequest(service, now_);
    while (tried.empty() || pool.TryTakeExtraAttempt(service, now_)) {
      const auto* backend = pool.Choose(
          {.service = service, .home_regions = anywhere, .tried = tried}, now_);
      if (backend == nullptr) {
        return false;
      }
      const std::string id = backend->info.id;
      tried.push_back(id);
      pool.OnSent(id, ++attempt_, now_);
      const AttemptResult result = ResultAt(router, id);
      pool.OnEnded(id, attempt_, result, now_ + kServiceTime);
      if (result == AttemptResult::kAnswered) {
        return true;
      }
    }
    return false;
  }

  AttemptResult ResultAt(std::size_t router, const std::string& id) {
    if (router == broken_router_) {
      return AttemptResult::kUnsent;
    }
    const bool is_bad = observation::HashOf(id) % 5 != 0;
    const bool sheds = shedding_ && is_bad && random_() % 5 < 3;
    return sheds ? AttemptResult::kShed : AttemptResult::kAnswered;
  }

  // Passes new reports of each router to its control node at once. At the relay
  // interval, control nodes send digests to each other and to their routers.
  void RelayObservations() {
    for (std::size_t router = 0; router < kRouters; ++router) {
      auto& log = pools_[router]->observation_log();
      if (log.has_pending()) {
        relays_[router % kControlNodes].OnReport(
            log.Take(observation::kMaximumDigestEntries, now_));
      }
    }
    if (now_ < next_relay_) {
      return;
    }
    next_relay_ = now_ + observation::kRelayInterval;
    for (std::size_t node = 0; node < kControlNodes; ++node) {
      const auto digest = relays_[node].TakeForControlNodes();
      for (std::size_t other = 0; other < kControlNodes; ++other) {
        if (other != node) {
          relays_[other].OnDigest(digest);
        }
      }
    }
    for (std::size_t node = 0; node < kControlNodes; ++node) {
      const auto digest = relays_[node].TakeForDaemons();
      for (std::size_t router = node; router < kRouters;
           router += kControlNodes) {
        pools_[router]->OnObservations(digest, now_);
      }
    }
  }

  std::vector<std::unique_ptr<BackendPool>> pools_;
  std::vector<observation::ObservationRelay> relays_;
  std::mt19937_64 random_;
  MonotonicTime now_{seconds(1000)};
  MonotonicTime next_relay_ = MonotonicTime::min();
  std::size_t broken_router_ = kRouters;
  bool shedding_ = false;
  AttemptId attempt_ = 0;
};

TEST_CASE(
    "routers that share observations find the backends that do not shed") {
  std::vector<double> answered;
  for (const bool shares : {false, true}) {
    Fleet fleet(shares);
    CHECK(fleet.RunRequests(seconds(10)) == 1);
    fleet.Shed();
    fleet.RunRequests(seconds(4));
    answered.push_back(fleet.RunRequests(seconds(6)));
  }
  MESSAGE("share of shards answered: without shared observations "
          << answered[0] << ", with " << answered[1]);
  // With one extra attempt, the expected share is about 1 - 0.48 x 0.48.
  CHECK(answered[0] < 0.85);
  CHECK(answered[1] > 0.95);
}

TEST_CASE("a router with broken connections does not mislead the others") {
  Fleet fleet(/*shares_observations=*/true);
  fleet.BreakLinks(7);
  CHECK(fleet.RunRequests(seconds(20)) == 1);
  fleet.Shed();
  fleet.RunRequests(seconds(4));
  CHECK(fleet.RunRequests(seconds(6)) > 0.95);
}

}  // namespace
}  // namespace juniperway::forwarding
