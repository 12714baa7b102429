// Encrypted connections: inside the fleet, and of callers.
#include "common/net/tls.h"

#include <doctest/doctest.h>

#include <asio/read.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/write.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/net/frame_connection.h"
#include "common/net/http_server.h"
#include "support/certificates.h"
#include "support/event_loop.h"
#include "support/temporary_folder.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);
constexpr Duration kTimeout = seconds(30);

// The process's connections are encrypted while it lives.
struct InternalTlsGuard {
  explicit InternalTlsGuard(const TlsFiles& files) { Use(files); }
  ~InternalTlsGuard() { SetInternalTls(nullptr); }
  InternalTlsGuard(const InternalTlsGuard&) = delete;
  InternalTlsGuard& operator=(const InternalTlsGuard&) = delete;
  static void Use(const TlsFiles& files) {
    SetInternalTls(std::make_shared<asio::ssl::context>(MakeTlsContext(files)));
  }
};

flatbuffers::FlatBufferBuilder MakeFrame(std::size_t size) {
  flatbuffers::FlatBufferBuilder builder;
  builder.FinishSizePrefixed(
      flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>(
          builder.CreateVector(std::vector<std::uint8_t>(size, 7)).o));
  return builder;
}

// A listener that sends back how many bytes each frame had.
struct CountingServer {
  explicit CountingServer(asio::io_context& context)
      : listener(context, kLoopback,
                 [this](std::shared_ptr<FrameConnection> connection) {
                   accepted = std::move(connection);
                   accepted->Start(
                       [this](FrameBytes frame) {
                         received += frame.size();
                         accepted->Send(MakeFrame(100));
                       },
                       [] {});
                 }) {}
  std::shared_ptr<FrameConnection> accepted;
  std::size_t received = 0;
  FrameListener listener;
};

using ConnectResult = Result<std::shared_ptr<FrameConnection>>;

ConnectResult Connect(asio::io_context& context,
                      const tcp::endpoint& endpoint) {
  std::optional<ConnectResult> result;
  FrameConnection::Connect(
      context, endpoint, kTimeout,
      [&](ConnectResult outcome) { result = std::move(outcome); });
  REQUIRE(test::RunUntil(context, [&] { return result.has_value(); }));
  return *std::move(result);
}

}  // namespace

TEST_CASE("Frames pass between holders of the authority's certificates") {
  const test::TemporaryFolder folder;
  const test::CertificateAuthority authority(folder.path(), "fleet");
  const InternalTlsGuard guard(authority.Issue("node"));
  asio::io_context context;
  CountingServer server(context);
  const auto connection = Connect(context, server.listener.local_endpoint());
  REQUIRE(connection.has_value());
  std::size_t answers = 0;
  (*connection)->Start([&](FrameBytes) { ++answers; }, [] {});
  (*connection)->Send(MakeFrame(3'000'000));
  (*connection)->Send(MakeFrame(10));
  CHECK(test::RunUntil(context, [&] { return answers == 2; }));
  CHECK(server.received > 3'000'000);
  (*connection)->Close();
  CHECK(test::RunUntil(context, [&] { return server.accepted->closed(); }));
}

TEST_CASE("Who shows no certificate of the authority is refused") {
  const test::TemporaryFolder folder;
  const test::CertificateAuthority authority(folder.path(), "fleet");
  const test::CertificateAuthority other(folder.path(), "other");
  asio::io_context context;
  const InternalTlsGuard guard(authority.Issue("node"));
  CountingServer server(context);
  const tcp::endpoint endpoint = server.listener.local_endpoint();

  SUBCASE("one of another authority") {
    // Trusts the server, but is not trusted. The server's context is made with
    // each connection, so it is prepared before the client's is set.
    TlsFiles stranger = other.Issue("stranger");
    stranger.authority = authority.file();
    asio::ssl::context client_context = MakeTlsContext(stranger);
    asio::ssl::stream<tcp::socket> client(context, client_context);
    bool ended = false;
    std::vector<char> buffer(1);
    client.next_layer().async_connect(endpoint, [&](const auto&) {
      client.async_handshake(
          asio::ssl::stream_base::client, [&](const auto& error) {
            if (error) {
              ended = true;
              return;
            }
            // TLS 1.3: the client learns of the refusal when it reads.
            client.async_read_some(
                asio::buffer(buffer),
                [&](const auto& read_error, auto) { ended = !!read_error; });
          });
    });
    CHECK(test::RunUntil(context, [&] { return ended; }));
  }
  SUBCASE("no TLS at all") {
    tcp::socket client(context);
    bool ended = false;
    std::vector<char> buffer(100);
    client.async_connect(endpoint, [&](const auto&) {
      asio::async_write(client, asio::buffer(std::string(200, 'x')),
                        [](const auto&, auto) {});
      asio::async_read(client, asio::buffer(buffer),
                       [&](const auto& error, auto) { ended = !!error; });
    });
    CHECK(test::RunUntil(context, [&] { return ended; }));
  }
  CHECK(server.accepted == nullptr);
}

TEST_CASE("A server of another authority is refused") {
  const test::TemporaryFolder folder;
  const test::CertificateAuthority authority(folder.path(), "fleet");
  const test::CertificateAuthority other(folder.path(), "other");
  asio::io_context context;
  const InternalTlsGuard guard(authority.Issue("node"));
  tcp::acceptor acceptor(context, kLoopback);
  asio::ssl::context server_context = MakeTlsContext(other.Issue("stranger"));
  server_context.set_verify_mode(asio::ssl::verify_none);
  asio::ssl::stream<tcp::socket> server(context, server_context);
  acceptor.async_accept(server.next_layer(), [&](const auto&) {
    server.async_handshake(asio::ssl::stream_base::server, [](const auto&) {});
  });
  const auto connection = Connect(context, acceptor.local_endpoint());
  REQUIRE_FALSE(connection.has_value());
  CHECK(connection.error().message.find("certificate verify failed") !=
        std::string::npos);
}

TEST_CASE("Callers are served by TLS") {
  const test::TemporaryFolder folder;
  const test::CertificateAuthority authority(folder.path(), "fleet");
  asio::io_context context;
  HttpServerOptions options;
  options.endpoint = kLoopback;
  TlsFiles files = authority.Issue("gateway");
  files.authority.clear();  // callers show no certificate
  options.tls = files;
  HttpServer server(context, options, [](const HttpRequest& request, auto to) {
    HttpResponse response;
    response.body = request.path + std::string(1'000'000, 'x');
    to->Send(response);
  });
  asio::ssl::context client_context(asio::ssl::context::tls_client);
  client_context.load_verify_file(authority.file().string());
  client_context.set_verify_mode(asio::ssl::verify_peer);
  asio::ssl::stream<tcp::socket> client(context, client_context);
  const std::string request =
      "GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  std::string answer;
  bool ended = false;
  client.next_layer().async_connect(server.local_endpoint(), [&](const auto&) {
    client.async_handshake(
        asio::ssl::stream_base::client, [&](const auto& error) {
          REQUIRE_FALSE(error);
          asio::async_write(client, asio::buffer(request),
                            [](const auto&, auto) {});
          asio::async_read(client, asio::dynamic_buffer(answer),
                           [&](const auto&, auto) { ended = true; });
        });
  });
  CHECK(test::RunUntil(context, [&] { return ended; }));
  CHECK(answer.starts_with("HTTP/1.1 200 OK"));
  CHECK(answer.find("/v1/readyx") != std::string::npos);
  CHECK(answer.size() > 1'000'000);
}

TEST_CASE("A file that cannot be used is named") {
  const test::TemporaryFolder folder;
  const test::CertificateAuthority authority(folder.path(), "fleet");
  TlsFiles files = authority.Issue("node");
  files.key = authority.Issue("another").key;
  CHECK_THROWS_WITH(MakeTlsContext(files),
                    doctest::Contains(files.key.c_str()));
  files.certificate = folder.path() / "missing.pem";
  CHECK_THROWS_WITH(MakeTlsContext(files),
                    doctest::Contains(files.certificate.c_str()));
}

}  // namespace juniperway::net
