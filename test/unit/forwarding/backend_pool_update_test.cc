// What a view costs the pool: the back ends that differ, not all that there
// are. Counted, for fleets of one and ten thousand back ends.
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
const std::vector<std::string> kNoneTried;

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

  // @return back ends that were worked out anew.
  std::uint64_t Update() {
    const std::uint64_t before = pool.backends_processed();
    pool.Update(view, 985, now);
    return pool.backends_processed() - before;
  }

  const BackendPool::Backend* Choose(int service) {
    return pool.Choose({.service = ServiceName(service),
                        .home_regions = kAnywhere,
                        .tried = kNoneTried},
                       now);
  }

  session::FleetView view;
  std::shared_ptr<routes::RouteTable> table =
      std::make_shared<routes::RouteTable>();
  BackendPool pool{
      {.router = "self", .zone = "z", .regions = {{"z", "r"}}, .extra = {}}};
  MonotonicTime now{seconds(100)};
};

TEST_CASE("a view costs what differs in it, whatever the fleet's size") {
  for (const int backends : {1'000, 10'000}) {
    CAPTURE(backends);
    Fleet fleet(backends);
    CHECK(fleet.pool.live_backends() == static_cast<std::size_t>(backends));
    // Routers come and go.
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

// Heap that is in use.
std::size_t HeapBytes() { return mallinfo2().uordblks; }

// 27,000 back ends fit into the 32 MB that control may cost a daemon.
TEST_CASE("a back end costs a router 1.18 KB, in its view and its pool") {
  constexpr int kBackends = 10'000;
  const std::size_t before = HeapBytes();
  const Fleet fleet(kBackends);
  const std::size_t each = (HeapBytes() - before) / kBackends;
  MESSAGE(each << " bytes for each back end");
  CHECK(each <= 1'185);
}

TEST_CASE("back ends leave their service, change it and come back") {
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

TEST_CASE("one that is gone is kept while something is under way there") {
  Fleet fleet(kServices);
  constexpr AttemptId kAttempt = 1;
  fleet.pool.OnSent(BackendName(5), kAttempt, fleet.now);
  fleet.view.discovered.erase(BackendName(5));
  fleet.Update();
  CHECK(fleet.Choose(5) == nullptr);
  fleet.pool.OnEnded(BackendName(5), kAttempt, AttemptResult::kAnswered,
                     fleet.now);
  // It comes back before it was forgotten.
  fleet.view.discovered[BackendName(5)] = {.id = BackendName(5),
                                           .service = ServiceName(5),
                                           .address = "a",
                                           .zone = "z"};
  fleet.Update();
  CHECK(fleet.Choose(5) != nullptr);
  CHECK(fleet.pool.live_backends() == kServices);
}

TEST_CASE("a zone that is evacuated and returns") {
  Fleet fleet(kServices);
  fleet.view.evacuations["z"] = {};
  fleet.Update();
  CHECK(fleet.pool.live_backends() == 0);
  fleet.view.evacuations.erase("z");
  fleet.Update();
  CHECK(fleet.pool.live_backends() == kServices);
}

TEST_CASE("routers are counted by what differs") {
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
