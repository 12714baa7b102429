// Connections between control machines: a path that is gone without a signal
// is noticed by its silence, and opened anew.
#include "common/control/peer_network.h"

#include <doctest/doctest.h>

#include "common/net/address.h"
#include "support/event_loop.h"

namespace juniperway::control {
namespace {

using asio::ip::tcp;

TEST_CASE("A peer that went silent is connected anew") {
  asio::io_context context;
  std::vector<std::shared_ptr<net::FrameConnection>> accepted;
  int frames = 0;
  int closed = 0;
  const net::FrameListener listener(
      context, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
      [&](auto connection) {
        accepted.push_back(connection);
        // Takes everything and answers nothing: a half-open path.
        connection->Start([&](net::FrameBytes) { ++frames; },
                          [&] { ++closed; });
      });
  const auto peers = std::make_shared<PeerNetwork>(
      context, PeerNetwork::Identity{"test", 1, {}}, /*seed=*/1,
      [](raft::NodeId, const protocol::ControlFrameT&) {});
  peers->SetPeers({{2, net::FormatEndpoint(listener.local_endpoint())}});
  const MonotonicTime start = ReadMonotonicClock();
  peers->Tick(start);
  REQUIRE(test::RunUntil(context, [&] { return frames == 1; }));  // hello
  // A quiet connection is no silent one.
  peers->Tick(start + seconds(60));
  test::RunReady(context);
  CHECK(closed == 0);
  REQUIRE(peers->Send(2, protocol::ConsensusMessagesT{}));
  const MonotonicTime sent = ReadMonotonicClock();
  peers->Tick(sent + seconds(1));
  test::RunReady(context);
  CHECK(closed == 0);
  peers->Tick(sent + seconds(3));
  REQUIRE(test::RunUntil(context, [&] { return closed == 1; }));
  peers->Tick(sent + seconds(4));
  CHECK(test::RunUntil(context, [&] { return accepted.size() == 2; }));
  peers->Stop();
}

}  // namespace
}  // namespace juniperway::control
