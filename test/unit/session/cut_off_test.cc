// A session whose control machines cannot be reached.
#include <doctest/doctest.h>

#include <asio/ip/tcp.hpp>
#include <optional>

#include "common/net/address.h"
#include "common/session/control_session_client.h"
#include "support/event_loop.h"

namespace juniperway::session {
namespace {

// Takes connections and closes each at once, as a proxy does whose target is
// gone.
struct ClosingListener {
  explicit ClosingListener(asio::io_context& context)
      : acceptor(context,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }
  void Accept() {
    acceptor.async_accept(
        [this](const std::error_code& error, const asio::ip::tcp::socket&) {
          if (!error) {
            ++accepted;
            Accept();
          }
        });
  }
  asio::ip::tcp::acceptor acceptor;
  int accepted = 0;
};

}  // namespace

TEST_CASE("Without control, calls end at their deadline and connects go on") {
  asio::io_context context;
  ClosingListener listener(context);
  SessionOptions options;
  options.cluster = "test";
  options.daemon_id = "daemon";
  options.control_endpoints = {
      net::FormatEndpoint(listener.acceptor.local_endpoint())};
  options.timing.reconnect_maximum = milliseconds(100);
  options.seed = 1;
  ControlSessionClient session(context, options);
  session.Start();
  std::optional<Result<ClaimReply>> claim;
  session.Claim({"service", "id"}, ReadWallClock() + seconds(60),
                milliseconds(300),
                [&](Result<ClaimReply> reply) { claim = std::move(reply); });
  REQUIRE(test::RunUntil(context, [&] { return claim.has_value(); }));
  REQUIRE_FALSE(claim->has_value());
  CHECK(claim->error().code == ErrorCode::kDeadlineExceeded);
  bool left = false;
  session.Leave(milliseconds(300), [&] { left = true; });
  CHECK(test::RunUntil(context, [&] { return left; }));
  const int before = listener.accepted;
  CHECK(test::RunUntil(context, [&] { return listener.accepted > before; }));
}

}  // namespace juniperway::session
