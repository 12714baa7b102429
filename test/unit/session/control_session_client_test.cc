// The session's I/O shell against control machines that fall silent.
#include "common/session/control_session_client.h"

#include <doctest/doctest.h>

#include <vector>

#include "common/net/address.h"
#include "common/net/frame_connection.h"
#include "support/event_loop.h"

namespace juniperway {
namespace {

TEST_CASE("a session with an unanswered call leaves a silent machine") {
  asio::io_context context(1);
  // Accepts and never says a word.
  std::vector<std::shared_ptr<net::FrameConnection>> accepted;
  net::FrameListener silent(
      context, {asio::ip::address_v4::loopback(), 0},
      [&](std::shared_ptr<net::FrameConnection> connection) {
        accepted.push_back(std::move(connection));
      });
  session::SessionOptions options;
  options.cluster = "test";
  options.daemon_id = "gateway";
  options.peer_address = "127.0.0.1:1";
  options.control_endpoints = {net::FormatEndpoint(silent.local_endpoint())};
  options.timing.silence_timeout = milliseconds(50);
  options.seed = 1;
  session::ControlSessionClient session(context, options);
  session.Start();
  // Waits for its answer over the reconnects.
  session.ReportBackend("backend", {});
  CHECK(test::RunUntil(context, [&] { return accepted.size() >= 3; }));
}

}  // namespace
}  // namespace juniperway
