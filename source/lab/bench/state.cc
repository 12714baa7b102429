#include "lab/bench/state.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/routing/ownership.h"
#include "common/session/fleet_view.h"

namespace juniperway::lab {
namespace {

constexpr int kRounds = 5;
constexpr int kZones = 19;
constexpr int kBackendsPerService = 20;

struct FleetSize {
  int daemons = 0;
  int backends = 0;
};

constexpr std::array<FleetSize, 3> kSizes = {
    FleetSize{412, 1687}, FleetSize{1650, 6750}, FleetSize{6600, 27000}};

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string ZoneName(int number) { return "zone-" + std::to_string(number); }

session::Member MakeMember(int number) {
  session::Member member;
  member.daemon_id = "gateway-" + std::to_string(number);
  member.incarnation = 1;
  member.zone = ZoneName(number % kZones);
  member.region = "region-" + std::to_string(number % kZones / 3);
  member.peer_address = "10.0.0.1:" + std::to_string(number);
  member.gateway = true;
  return member;
}

void AddBackend(session::FleetView& view, int number) {
  const int service_number = number / kBackendsPerService;
  resources::Backend backend;
  backend.service = "service-" + std::to_string(service_number);
  backend.address = "10.1.0.1:" + std::to_string(number);
  backend.zone = ZoneName(number % kZones);
  backend.slots = 4;
  backend.maximum_connections = 75;
  backend.shards = {"shard-" + std::to_string(number % kBackendsPerService)};
  const std::string name = "backend-" + std::to_string(number);
  view.services.emplace(backend.service, resources::Service{});
  view.serving[backend.service] = 1;
  view.backends.emplace(name, std::move(backend));
  view.reports[name].held_versions = {1};
}

std::shared_ptr<session::FleetView> MakeView(const FleetSize& size) {
  auto view = std::make_shared<session::FleetView>();
  view->revision = 1;
  for (int number = 0; number < size.backends; ++number) {
    AddBackend(*view, number);
  }
  for (int number = 0; number < size.daemons; ++number) {
    session::Member member = MakeMember(number);
    view->members.emplace(member.daemon_id, std::move(member));
  }
  return view;
}

// The next view after one daemon joined.
std::shared_ptr<session::FleetView> WithNewcomer(const session::FleetView& view,
                                                 const FleetSize& size) {
  auto changed = std::make_shared<session::FleetView>(view);
  session::Member newcomer = MakeMember(size.daemons);
  changed->members.emplace(newcomer.daemon_id, newcomer);
  return changed;
}

template <typename Work>
std::int64_t MedianMicroseconds(Work work) {
  std::vector<std::int64_t> times;
  for (int round = 0; round < kRounds; ++round) {
    const MonotonicTime start = ReadMonotonicClock();
    work();
    times.push_back((ReadMonotonicClock() - start).count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

nlohmann::json MeasureSize(const FleetSize& size) {
  const std::size_t before_view = AllocatedBytes();
  const std::shared_ptr<session::FleetView> view = MakeView(size);
  const std::size_t before_table = AllocatedBytes();
  const routing::OwnershipTable table(view);
  const std::size_t after_table = AllocatedBytes();
  const std::shared_ptr<session::FleetView> changed = WithNewcomer(*view, size);
  const std::size_t after_change = AllocatedBytes();

  nlohmann::json line;
  line["bench"] = "state";
  line["daemons"] = size.daemons;
  line["backends"] = size.backends;
  line["view_bytes"] = before_table - before_view;
  line["owner_table_bytes"] = after_table - before_table;
  line["second_view_bytes"] = after_change - after_table;
  line["change_view_us"] =
      MedianMicroseconds([&] { WithNewcomer(*view, size); });
  line["build_owner_table_us"] =
      MedianMicroseconds([&] { routing::OwnershipTable{view}; });
  line["update_owner_table_us"] =
      MedianMicroseconds([&] { routing::OwnershipTable(changed, &table); });
  return line;
}

}  // namespace

int RunStateBench(std::ostream& output) {
  for (const FleetSize& size : kSizes) {
    output << MeasureSize(size).dump() << "\n";
  }
  return 0;
}

}  // namespace juniperway::lab
