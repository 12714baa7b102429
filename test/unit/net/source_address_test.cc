#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <memory>

#include "common/net/address.h"
#include "common/net/frame_connection.h"
#include "common/net/http_client.h"
#include "common/net/http_server.h"
#include "support/event_loop.h"

namespace juniperway::net {
namespace {

const asio::ip::tcp::endpoint kAnyPort(asio::ip::make_address("127.0.0.1"), 0);

// Connects both ways of connecting from `address`, of which the whole of
// 127.0.0.0/8 is on the loopback interface.
TEST_CASE("outgoing connections come from the source address") {
  const auto address = asio::ip::make_address("127.44.55.66");
  SetSourceAddress(address);
  asio::io_context context(1);

  std::shared_ptr<FrameConnection> accepted;
  FrameListener listener(context, kAnyPort,
                         [&](std::shared_ptr<FrameConnection> connection) {
                           accepted = std::move(connection);
                         });
  FrameConnection::Connect(context, listener.local_endpoint(), seconds(5),
                           [](const auto&) {});
  REQUIRE(test::RunUntil(context, [&] { return accepted != nullptr; }));
  CHECK(accepted->remote_endpoint().address() == address);

  HttpServerOptions options;
  options.endpoint = kAnyPort;
  asio::ip::address seen;
  HttpServer server(context, options,
                    [&](const HttpRequest& request,
                        const std::shared_ptr<HttpResponder>& responder) {
                      seen = request.remote.address();
                      responder->Send({});
                    });
  HttpClient client(context, 0);
  bool answered = false;
  HttpClientRequest request;
  request.url = "http://" + FormatEndpoint(server.local_endpoint()) + "/";
  client.Start(request, [&](const HttpClientResponse&) { answered = true; });
  REQUIRE(test::RunUntil(context, [&] { return answered; }));
  CHECK(seen == address);
  SetSourceAddress(asio::ip::make_address("127.0.0.1"));
}

}  // namespace
}  // namespace juniperway::net
