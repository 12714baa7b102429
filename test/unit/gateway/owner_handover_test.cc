// What an owner reports as let go of, when back ends come and go.
#include <doctest/doctest.h>
#include <prometheus/registry.h>

#include "common/gateway/owner_server.h"
#include "support/event_loop.h"
#include "support/static_session.h"

namespace juniperway {
namespace {

constexpr int kBackends = 8;

session::Member MakeMember(const std::string& name) {
  session::Member member;
  member.daemon_id = name;
  member.incarnation = 1;
  member.zone = "zone";
  member.region = "region";
  member.gateway = true;
  member.peer_address = "127.0.0.1:1";
  return member;
}

session::FleetView ViewOfOneGateway() {
  session::FleetView view;
  view.revision = 5;
  view.members["first"] = MakeMember("first");
  for (int number = 0; number < kBackends; ++number) {
    resources::Backend backend;
    backend.service = "search";
    backend.address = "127.0.0.1:1";
    backend.zone = "zone";
    view.backends["backend-" + std::to_string(number)] = backend;
  }
  return view;
}

TEST_CASE("back ends lost before they were in use hold nothing up") {
  asio::io_context context(1);
  test::StaticSession session(context);
  prometheus::Registry registry;
  gateway::OwnerOptions options;
  options.daemon_id = "first";
  options.zone = "zone";
  options.listen = {asio::ip::address_v4::loopback(), 0};
  gateway::OwnerServer owner(context, options, session, registry);
  // Gained, but the zone has not reached the revision: all are waiting.
  session::FleetView view = ViewOfOneGateway();
  session.SetView(view);
  owner.OnView(session.View());
  session.SetInForce(view.revision);
  owner.OnProgress();
  // Another gateway joins and takes some of them.
  view.members["second"] = MakeMember("second");
  ++view.revision;
  session.SetView(view);
  owner.OnView(session.View());
  CHECK(test::RunUntil(
      context, [&] { return session.reported_released() == view.revision; },
      seconds(2)));
}

}  // namespace
}  // namespace juniperway
