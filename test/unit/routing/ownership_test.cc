// Tests that OwnershipTable agrees with OwnerOf, that membership changes move
// as few backends as possible, and that leaving members own no backend.
#include "common/routing/ownership.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <string>

namespace juniperway::routing {
namespace {

session::Member Gateway(const std::string& name, const std::string& zone) {
  session::Member member;
  member.daemon_id = name;
  member.zone = zone;
  member.gateway = true;
  return member;
}

session::FleetView ViewOf(int gateways, int backends) {
  session::FleetView view;
  for (int i = 0; i < gateways; ++i) {
    const std::string name = "gateway-" + std::to_string(i);
    view.members[name] = Gateway(name, i % 2 == 0 ? "a" : "b");
  }
  for (int i = 0; i < backends; ++i) {
    resources::Backend backend;
    backend.zone = i % 2 == 0 ? "a" : "b";
    view.backends["backend-" + std::to_string(i)] = backend;
  }
  return view;
}

session::FleetViewPointer Share(const session::FleetView& view) {
  return std::make_shared<const session::FleetView>(view);
}

std::string NameOf(const session::Member* member) {
  return member == nullptr ? "" : member->daemon_id;
}

void CheckAgrees(const OwnershipTable& table) {
  for (const auto& [name, backend] : table.view()->backends) {
    CHECK(NameOf(table.OwnerOf(name)) ==
          NameOf(OwnerOf(name, backend.zone, *table.view())));
  }
}

}  // namespace

TEST_CASE(
    "an owner is a gateway of the backend's own zone that is not leaving") {
  session::FleetView view = ViewOf(4, 40);
  view.members["gateway-0"].leaving = true;
  view.members["control-1"] = Gateway("control-1", "a");
  view.members["control-1"].gateway = false;
  const OwnershipTable table(Share(view));
  for (const auto& [name, backend] : view.backends) {
    const session::Member* owner = table.OwnerOf(name);
    REQUIRE(owner != nullptr);
    if (backend.zone == "a") {
      CHECK(owner->daemon_id == "gateway-2");
    }
    CHECK(owner->zone == backend.zone);
  }
  view.members["gateway-2"].leaving = true;
  CHECK(OwnerOf("backend-0", "a", view) == nullptr);
  CHECK(OwnershipTable(Share(view)).OwnerOf("backend-0") == nullptr);
}

TEST_CASE("removing a member moves only the backends that it owned") {
  session::FleetView view = ViewOf(10, 400);
  const OwnershipTable before(Share(view));
  view.members.erase("gateway-4");
  const OwnershipTable after(Share(view));
  int moved = 0;
  for (const auto& [name, backend] : view.backends) {
    if (NameOf(before.OwnerOf(name)) == "gateway-4") {
      ++moved;
    } else {
      CHECK(NameOf(before.OwnerOf(name)) == NameOf(after.OwnerOf(name)));
    }
  }
  CHECK(moved == static_cast<int>(before.OwnedBy("gateway-4").size()));
  CHECK(moved > 10);
  CHECK(moved < 100);
}

TEST_CASE("a table built from the previous one agrees with OwnerOf") {
  std::mt19937_64 random(7);
  session::FleetView view = ViewOf(6, 60);
  auto table = std::make_unique<OwnershipTable>(Share(view));
  for (int step = 0; step < 200; ++step) {
    const std::string name = "gateway-" + std::to_string(random() % 9);
    const std::string backend = "backend-" + std::to_string(random() % 70);
    switch (random() % 5) {
      case 0:
        view.members.erase(name);
        break;
      case 1:
        view.members[name] = Gateway(name, random() % 2 == 0 ? "a" : "b");
        break;
      case 2:
        if (view.members.contains(name)) {
          view.members[name].leaving = random() % 2 == 0;
        }
        break;
      case 3:
        view.backends[backend].zone = random() % 2 == 0 ? "a" : "b";
        break;
      default:
        view.backends.erase(backend);
    }
    table = std::make_unique<OwnershipTable>(Share(view), table.get());
    CheckAgrees(*table);
  }
}

}  // namespace juniperway::routing
