// Tests which backends a request may use, given its home regions, evacuated
// zones and cold backends, on every code path that chooses a backend.
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <set>

#include "common/forwarding/request_run.h"

namespace juniperway::forwarding {
namespace {

constexpr int kShards = 3;
const std::vector<std::string> kZones = {"a1", "a2", "b1", "b2", "c1"};

std::string RegionOf(const std::string& zone) { return zone.substr(0, 1); }

std::string ShardName(int shard) { return "s" + std::to_string(shard); }

// Each shard has a backend in each zone. The ids are "s0-a1" to "s2-c1".
struct Fleet {
  explicit Fleet(const std::string& own_zone = "a1")
      : pool({.router = "self",
              .zone = own_zone,
              .regions = {{"a1", "a"},
                          {"a2", "a"},
                          {"b1", "b"},
                          {"b2", "b"},
                          {"c1", "c"}},
              .extra = {.ratio = 10, .slack = 1000}}),
        table(std::make_shared<routes::RouteTable>()) {
    routes::ScatterTarget scatter;
    for (int shard = 0; shard < kShards; ++shard) {
      table->services[ShardName(shard)].maximum_connections = 100;
      scatter.shards.push_back(ShardName(shard));
      for (const std::string& zone : kZones) {
        const std::string id = ShardName(shard) + "-" + zone;
        view.discovered[id] = {
            .id = id, .service = ShardName(shard), .address = id, .zone = zone};
      }
    }
    scatter.top_k = 3;
    scatter.minimum_coverage = 0.6;
    view.route_table = table;
    session::Member self;
    self.daemon_id = "self";
    self.router = true;
    view.members["self"] = self;
    Update();
    route.name = "r";
    route.repeatable = true;
    route.timeout = seconds(4);
    route.target = milliseconds(250);
    route.maximum_attempts = 3;
    route.destination = scatter;
  }

  // Route tables are immutable: each change makes a new one.
  void Update() {
    view.route_table = std::make_shared<routes::RouteTable>(*table);
    pool.Update(view, 1, now);
  }

  session::FleetView view;
  BackendPool pool;
  std::shared_ptr<routes::RouteTable> table;
  routes::Route route;
  RouteLatency latency;
  MonotonicTime now{seconds(100)};
};

std::string ZoneOf(const std::string& backend) {
  return backend.substr(backend.find('-') + 1);
}

// Runs one request: every attempt ends with a random result or gets no answer.
// @return the backends that the request was sent to.
std::set<std::string> RunRequest(Fleet& fleet, std::mt19937_64& random) {
  RequestRun run(fleet.route, ShardName(0), fleet.now + seconds(4),
                 RunOptions{}, fleet.pool, fleet.latency);
  std::set<std::string> sent;
  run.Start(fleet.now);
  while (!run.outcome()) {
    const auto actions = run.TakeActions();
    for (const RunAction& action : actions) {
      const auto* send = std::get_if<SendAction>(&action);
      if (send == nullptr) {
        continue;
      }
      sent.insert(send->backend);
      const auto end = static_cast<AttemptResult>(random() % 9);
      if (random() % 3 != 0) {
        run.OnEnded(send->attempt, {.result = end, .answer = {}}, fleet.now);
      }
    }
    fleet.now += milliseconds(5);
    run.OnBackendsAvailable(fleet.now);
    if (run.waiting()) {
      run.Admit(fleet.now);
    }
    run.OnDeadline(fleet.now);
  }
  return sent;
}

TEST_CASE("no request leaves its home regions or enters an evacuated zone") {
  std::mt19937_64 random(11);
  for (int round = 0; round < 300; ++round) {
    Fleet fleet(kZones[random() % kZones.size()]);
    std::set<std::string> homes;
    for (const char* region : {"a", "b", "c"}) {
      if (random() % 2 == 0) {
        homes.insert(region);
      }
    }
    fleet.route.home_regions = routes::HomeRegions(homes);
    for (const std::string& zone : kZones) {
      if (random() % 4 == 0) {
        fleet.view.evacuations[zone] = {};
      }
    }
    fleet.Update();
    for (int request = 0; request < 5; ++request) {
      for (const std::string& backend : RunRequest(fleet, random)) {
        const std::string zone = ZoneOf(backend);
        CAPTURE(backend);
        CHECK((homes.empty() || homes.contains(RegionOf(zone))));
        CHECK(fleet.view.evacuations.find(zone) ==
              fleet.view.evacuations.end());
      }
    }
  }
}

TEST_CASE(
    "a request without a backend in its home regions is refused at once") {
  Fleet fleet;
  fleet.route.home_regions = routes::HomeRegions({"nowhere"});
  RequestRun run(fleet.route, ShardName(0), fleet.now + seconds(4),
                 RunOptions{}, fleet.pool, fleet.latency);
  run.Start(fleet.now);
  REQUIRE(run.outcome());
  CHECK(run.outcome()->result == RunResult::kNotRun);
  CHECK(run.TakeActions().empty());
}

TEST_CASE("a zone without a known region serves no route with home regions") {
  Fleet fleet;
  fleet.view.discovered.clear();
  fleet.view.discovered["x"] = {
      .id = "x", .service = "s0", .address = "x", .zone = "unknown"};
  fleet.Update();
  const std::vector<std::string> tried;
  const std::string service = "s0";
  const routes::HomeRegions anywhere;
  const routes::HomeRegions limited({""});
  CHECK(fleet.pool.Choose({service, anywhere, tried}, fleet.now) != nullptr);
  CHECK(fleet.pool.Choose({service, routes::HomeRegions({"a"}), tried},
                          fleet.now) == nullptr);
}

TEST_CASE("when all zones are evacuated, no backend gets a request") {
  Fleet fleet;
  for (const std::string& zone : kZones) {
    fleet.view.evacuations[zone] = {};
  }
  fleet.Update();
  std::mt19937_64 random(1);
  CHECK(RunRequest(fleet, random).empty());
}

TEST_CASE("after an evacuation backends count as cold for the warm-up time") {
  Fleet fleet;
  for (auto& [name, service] : fleet.table->services) {
    service.warmup = seconds(3);
    service.cold_requests_per_second = 2;
  }
  for (const std::string& zone : kZones) {
    fleet.view.evacuations[zone] = {};
  }
  fleet.Update();
  fleet.view.evacuations = {};
  fleet.now += seconds(1);
  fleet.Update();
  const std::string service = "s0";
  const std::vector<std::string> others = {"s0-a2", "s0-b1", "s0-b2", "s0-c1"};
  const routes::HomeRegions anywhere;
  const BackendCriteria criteria = {service, anywhere, others};
  AttemptId attempt = 0;
  const auto send_all = [&] {
    int sent = 0;
    while (const auto* backend = fleet.pool.Choose(criteria, fleet.now)) {
      const std::string id = backend->info.id;
      fleet.pool.OnSent(id, ++attempt, fleet.now);
      fleet.pool.OnEnded(id, attempt, AttemptResult::kAnswered, fleet.now);
      if (++sent == 50) {
        break;
      }
    }
    return sent;
  };
  CHECK(send_all() == 2);
  fleet.now += seconds(4);
  CHECK(send_all() == 50);
}

TEST_CASE(
    "backends that the discovery list marks as cold get limited requests") {
  Fleet fleet;
  for (auto& [name, service] : fleet.table->services) {
    service.cold_requests_per_second = 1;
  }
  for (auto& [id, backend] : fleet.view.discovered) {
    fleet.view.discovered[id].cold = true;
  }
  fleet.Update();
  std::mt19937_64 random(3);
  const auto first = RunRequest(fleet, random);
  CHECK_FALSE(first.empty());
  // A router that is not in the member list sends nothing.
  fleet.view.members = {};
  fleet.Update();
  CHECK(RunRequest(fleet, random).empty());
}

}  // namespace
}  // namespace juniperway::forwarding
