// Tests the connections between control nodes. Guards against a network path
// that fails without closing the TCP connection: the node must notice the
// missing answers, connect again, and meanwhile send on the connection that
// works.
#include "common/control/peer_network.h"

#include <doctest/doctest.h>

#include "common/net/address.h"
#include "support/event_loop.h"

namespace juniperway::control {
namespace {

using asio::ip::tcp;

TEST_CASE("An unresponsive peer gets a new connection") {
  asio::io_context context;
  std::vector<std::shared_ptr<net::FrameConnection>> accepted;
  int frames = 0;
  int closed = 0;
  const net::FrameListener listener(
      context, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
      [&](auto connection) {
        accepted.push_back(connection);
        // Reads every frame and answers none, like a half-open connection.
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
  // A connection without unanswered frames stays open.
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

TEST_CASE("Frames take the connection that last received a frame") {
  asio::io_context context;
  // The other node never answers on the connection that this node opens, like a
  // network path that failed without closing the connection.
  std::vector<std::shared_ptr<net::FrameConnection>> accepted;
  int unanswered_frames = 0;
  const net::FrameListener listener(
      context, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
      [&](auto connection) {
        accepted.push_back(connection);
        connection->Start([&](net::FrameBytes) { ++unanswered_frames; }, [] {});
      });
  const auto peers = std::make_shared<PeerNetwork>(
      context, PeerNetwork::Identity{"test", 1, {}}, /*seed=*/1,
      [](raft::NodeId, const protocol::ControlFrameT&) {});
  peers->SetPeers({{2, net::FormatEndpoint(listener.local_endpoint())}});
  peers->Tick(ReadMonotonicClock());
  REQUIRE(test::RunUntil(context,
                         [&] { return unanswered_frames == 1; }));  // hello

  // The other node then connects to this node.
  std::shared_ptr<net::FrameConnection> incoming;
  const net::FrameListener local_listener(
      context, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
      [&](auto connection) {
        incoming = connection;
        connection->Start(
            [&](net::FrameBytes bytes) { peers->OnFrame(2, bytes, incoming); },
            [] {});
        peers->AddIncomingConnection(2, connection);
      });
  std::shared_ptr<net::FrameConnection> remote;
  int answers = 0;
  net::FrameConnection::Connect(
      context, local_listener.local_endpoint(), seconds(10),
      [&](Result<std::shared_ptr<net::FrameConnection>> result) {
        REQUIRE(result);
        remote = *result;
        remote->Start([&](net::FrameBytes) { ++answers; }, [] {});
      });
  REQUIRE(test::RunUntil(context, [&] { return remote && incoming; }));
  REQUIRE(peers->Send(2, protocol::ConsensusMessagesT{}));
  CHECK(test::RunUntil(context, [&] { return answers == 1; }));
  session::SendMessage(*remote, protocol::ConsensusMessagesT{});
  test::RunReady(context);
  REQUIRE(peers->Send(2, protocol::ConsensusMessagesT{}));
  CHECK(test::RunUntil(context, [&] { return answers == 2; }));
  CHECK(unanswered_frames == 1);
  peers->Stop();
}

}  // namespace
}  // namespace juniperway::control
