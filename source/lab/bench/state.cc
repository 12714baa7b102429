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
#include "common/owner/ownership_tracker.h"
#include "common/routing/front_state.h"
#include "common/routing/ownership.h"
#include "common/session/fleet_view.h"

namespace juniperway::lab {
namespace {

constexpr int kRounds = 5;
constexpr int kZones = 19;
// A query goes to 520 back ends: one of two replicas of each partition.
constexpr int kPartitions = 520;
constexpr int kBackendsPerService = 2 * kPartitions;
constexpr Key kPartitionWidth = 1000;

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

std::string ShardName(int number) { return "shard-" + std::to_string(number); }

resources::IndexSnapshot MakeSnapshot(const std::string& service) {
  resources::IndexSnapshot snapshot;
  snapshot.service = service;
  snapshot.index_version = 1;
  for (int number = 0; number < kPartitions; ++number) {
    const Key begin = static_cast<Key>(number) * kPartitionWidth;
    snapshot.partitions.push_back(
        {{begin, begin + kPartitionWidth}, ShardName(number)});
  }
  return snapshot;
}

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
  backend.shards = {ShardName(number % kPartitions)};
  const std::string name = "backend-" + std::to_string(number);
  if (!view.services.contains(backend.service)) {
    view.services.emplace(backend.service, resources::Service{});
    view.snapshots.emplace(std::pair(backend.service, 1),
                           MakeSnapshot(backend.service));
    view.serving[backend.service] = 1;
  }
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

// The next view after a back end's owner reported a new index version.
std::shared_ptr<session::FleetView> WithReport(const session::FleetView& view) {
  auto changed = std::make_shared<session::FleetView>(view);
  changed->reports["backend-0"].held_versions.insert(2);
  return changed;
}

// The next view after an operator changed a service.
std::shared_ptr<session::FleetView> WithService(
    const session::FleetView& view) {
  auto changed = std::make_shared<session::FleetView>(view);
  changed->services["service-0"].hedging = false;
  return changed;
}

// The next view after an operator drained a back end.
std::shared_ptr<session::FleetView> WithDrain(const session::FleetView& view) {
  auto changed = std::make_shared<session::FleetView>(view);
  changed->backends["backend-0"].drain = true;
  return changed;
}

// What a gateway does with a new view before its daemon confirms it, and until
// every service has been queried once: routes of all services, owners of all
// back ends.
class Gateway {
 public:
  explicit Gateway(const session::FleetViewPointer& view)
      : front_({ZoneName(0), "region-0"}, 1), tracker_("gateway-0") {
    Take(view);
  }

  void Take(const session::FleetViewPointer& view) {
    front_.SetView(view);
    for (const auto& [service, unused] : view->services) {
      front_.routes->Serving(service);
    }
    tracker_.OnView(view);
  }

 private:
  routing::FrontState front_;
  owner::OwnershipTracker tracker_;
};

// Microseconds to take in `changed` after `view`; median of several gateways.
std::int64_t TakeMicroseconds(
    const session::FleetViewPointer& view,
    const std::shared_ptr<session::FleetView>& changed) {
  changed->revision = view->revision + 1;
  std::vector<std::int64_t> times;
  for (int round = 0; round < kRounds; ++round) {
    Gateway gateway(view);
    const MonotonicTime start = ReadMonotonicClock();
    gateway.Take(changed);
    times.push_back((ReadMonotonicClock() - start).count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
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
  line["change_view_of_report_us"] =
      MedianMicroseconds([&] { WithReport(*view); });
  const std::size_t before_gateway = AllocatedBytes();
  {
    const Gateway gateway(view);
    line["gateway_bytes"] = AllocatedBytes() - before_gateway;
  }
  line["take_join_us"] = TakeMicroseconds(view, changed);
  line["take_report_us"] = TakeMicroseconds(view, WithReport(*view));
  line["take_service_us"] = TakeMicroseconds(view, WithService(*view));
  line["take_drain_us"] = TakeMicroseconds(view, WithDrain(*view));
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
