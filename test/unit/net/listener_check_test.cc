// Whether anybody listens at an address.
#include "common/net/listener_check.h"

#include <doctest/doctest.h>

#include <asio/ip/tcp.hpp>
#include <optional>

#include "common/net/address.h"
#include "support/event_loop.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

ListenerState StateOf(asio::io_context& context, const std::string& address) {
  std::optional<ListenerState> state;
  CheckListener(context, address, seconds(10),
                [&](ListenerState result) { state = result; });
  REQUIRE(test::RunUntil(context, [&] { return state.has_value(); }));
  return *state;
}

TEST_CASE("a listener is told from one that is gone") {
  asio::io_context context;
  tcp::acceptor acceptor(context, kLoopback);
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  CHECK(StateOf(context, address) == ListenerState::kListens);
  acceptor.close();
  CHECK(StateOf(context, address) == ListenerState::kGone);
  CHECK(StateOf(context, "nowhere") == ListenerState::kUnknown);
}

}  // namespace
}  // namespace juniperway::net
