// Tests that BackendPool::Update processes only the backends that differ
// between views. The tests count the processed backends, for fleets of 1000 and
// 10,000 backends.
#include <doctest/doctest.h>
#include <malloc.h>

#include <memory>
#include <string>

#include "common/forwarding/backend_pool.h"
#include "common/forwarding/router_count.h"

namespace juniperway::forwarding {
namespace {

constexpr int kServices = 90;
const routes::HomeRegions kAnywhere;
const std::vector<std::string> kNoBackendsTried;

std::string ServiceName(int number) {
  return "s" + std::to_string(number % kServices);
}

std::string BackendName(int number) { return "i-" + std::to_string(number); }

struct Fleet {
  explicit Fleet(int backends) {
    for (int service = 0; service < kServices; ++service) {
      table->services[ServiceName(service)].maximum_connections = 194;
    }
    view.route_table = table;
    for (int number = 0; number < backends; ++number) {
      view.discovered[BackendName(number)] = {.id = BackendName(number),
                                              .service = ServiceName(number),
                                              .address = BackendName(number),
                                              .zone = "z"};
    }
    Update();
  }

  // @return number of backends that the pool processed.
  std::uint64_t Update() {
    const std::uint64_t before = pool.backends_processed();
    pool.Update(view, 985, now);
    return pool.backends_processed() - before;
  }

  const BackendPool::Backend* Choose(int service) {
    return pool.Choose({.service = ServiceName(service),
                        .home_regions = kAnywhere,
                        .tried = kNoBackendsTried},
                       now);
  }

  session::FleetView view;
  std::shared_ptr<routes::RouteTable> table =
      std::make_shared<routes::RouteTable>();
  BackendPool pool{
      {.router = "self", .zone = "z", .regions = {{"z", "r"}}, .extra = {}}};
  MonotonicTime now{seconds(100)};
};

TEST_CASE("a view costs work for its differences, not for the fleet size") {
  for (const int backends : {1'000, 10'000}) {
    CAPTURE(backends);
    Fleet fleet(backends);
    CHECK(fleet.pool.live_backends() == static_cast<std::size_t>(backends));
    // A router joins.
    fleet.view.members["router-1"].router = true;
    CHECK(fleet.Update() == 0);
    fleet.view.discovered[BackendName(7)].draining = true;
    CHECK(fleet.Update() == 1);
    CHECK(fleet.pool.live_backends() == static_cast<std::size_t>(backends) - 1);
    fleet.view.discovered.erase(BackendName(8));
    fleet.view.discovered[BackendName(backends)] = {.id = BackendName(backends),
                                                    .service = ServiceName(1),
                                                    .address = "a",
                                                    .zone = "z"};
    CHECK(fleet.Update() == 2);
    CHECK(fleet.Update() == 0);
  }
}

// Returns the heap memory in use.
std::size_t HeapBytes() { return mallinfo2().uordblks; }

// At this size 27,000 backends fit into the 32 MB that the control state may
// use in a daemon.
TEST_CASE(
    "a backend uses at most 1185 bytes in the view and pool of a router") {
  constexpr int kBackends = 10'000;
  const std::size_t before = HeapBytes();
  const Fleet fleet(kBackends);
  const std::size_t each = (HeapBytes() - before) / kBackends;
  MESSAGE(each << " bytes per backend");
  CHECK(each <= 1'185);
}

TEST_CASE("backends drain, change their service and are removed") {
  Fleet fleet(kServices);
  CHECK(fleet.Choose(3)->info.id == BackendName(3));
  fleet.view.discovered[BackendName(3)].draining = true;
  fleet.Update();
  CHECK(fleet.Choose(3) == nullptr);
  fleet.view.discovered[BackendName(3)].draining = false;
  fleet.Update();
  CHECK(fleet.Choose(3) != nullptr);
  fleet.view.discovered[BackendName(3)].service = ServiceName(4);
  fleet.Update();
  CHECK(fleet.Choose(3) == nullptr);
  fleet.view.discovered.erase(BackendName(4));
  fleet.Update();
  CHECK(fleet.Choose(4)->info.id == BackendName(3));
  fleet.view.discovered.erase(BackendName(3));
  fleet.Update();
  CHECK(fleet.Choose(4) == nullptr);
  CHECK(fleet.pool.live_backends() == kServices - 2);
}

TEST_CASE("a removed backend is kept while an attempt is in flight there") {
  Fleet fleet(kServices);
  constexpr AttemptId kAttempt = 1;
  fleet.pool.OnSent(BackendName(5), kAttempt, fleet.now);
  fleet.view.discovered.erase(BackendName(5));
  fleet.Update();
  CHECK(fleet.Choose(5) == nullptr);
  fleet.pool.OnEnded(BackendName(5), kAttempt, AttemptResult::kAnswered,
                     fleet.now);
  // The backend returns before the pool has erased it.
  fleet.view.discovered[BackendName(5)] = {.id = BackendName(5),
                                           .service = ServiceName(5),
                                           .address = "a",
                                           .zone = "z"};
  fleet.Update();
  CHECK(fleet.Choose(5) != nullptr);
  CHECK(fleet.pool.live_backends() == kServices);
}

TEST_CASE("evacuated zones lose their backends until the evacuation ends") {
  Fleet fleet(kServices);
  fleet.view.evacuations["z"] = {};
  fleet.Update();
  CHECK(fleet.pool.live_backends() == 0);
  fleet.view.evacuations.erase("z");
  fleet.Update();
  CHECK(fleet.pool.live_backends() == kServices);
}

TEST_CASE("the router count follows the differences between views") {
  RouterCount count;
  RouterCount::Members members;
  for (int number = 0; number < 985; ++number) {
    members["router-" + std::to_string(number)].router = true;
  }
  members["gateway"].gateway = true;
  count.Update(members);
  CHECK(count.routers() == 985);
  members["router-3"].leaving = true;
  members.erase("router-4");
  count.Update(members);
  CHECK(count.routers() == 983);
  count.Update(RouterCount::Members());
  CHECK(count.routers() == 0);
}

}  // namespace
}  // namespace juniperway::forwarding
