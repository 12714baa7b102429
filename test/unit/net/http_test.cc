// The HTTP client against the HTTP server, and each against a raw socket.
#include <doctest/doctest.h>

#include <array>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/net/address.h"
#include "common/net/http_client.h"
#include "common/net/http_server.h"
#include "support/event_loop.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

HttpServerOptions LoopbackOptions() {
  HttpServerOptions options;
  options.endpoint = kLoopback;
  return options;
}

std::string UrlOf(const tcp::endpoint& endpoint, const std::string& target) {
  return "http://" + FormatEndpoint(endpoint) + target;
}

// Runs one exchange to its end.
HttpClientResponse Exchange(asio::io_context& context, HttpClient& client,
                            HttpClientRequest request) {
  std::optional<HttpClientResponse> response;
  client.Start(std::move(request), [&](HttpClientResponse result) {
    response = std::move(result);
  });
  REQUIRE(test::RunUntil(context, [&] { return response.has_value(); }));
  return *response;
}

// A server that answers by hand: counts requests and does what the test says.
struct RawServer {
  explicit RawServer(asio::io_context& context) : acceptor(context, kLoopback) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept([this](std::error_code error, tcp::socket socket) {
      if (!error) {
        ++connections;
        Read(std::make_shared<tcp::socket>(std::move(socket)),
             std::make_shared<std::string>());
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<tcp::socket>& socket,
            const std::shared_ptr<std::string>& buffer) {
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*buffer), "\r\n\r\n",
        [this, socket, buffer](std::error_code error, std::size_t bytes) {
          if (error) {
            return;
          }
          buffer->erase(0, bytes);
          ++requests;
          on_request(socket);
          if (socket->is_open()) {
            Read(socket, buffer);
          }
        });
  }

  static void Answer(tcp::socket& socket) {
    asio::write(socket, asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  }

  tcp::acceptor acceptor;
  int connections = 0;
  int requests = 0;
  std::function<void(const std::shared_ptr<tcp::socket>&)> on_request;
};

}  // namespace

TEST_CASE("a request and its answer arrive whole") {
  asio::io_context context;
  HttpRequest seen;
  HttpServer server(context, LoopbackOptions(),
                    [&](const HttpRequest& request, auto responder) {
                      seen = request;
                      HttpResponse response;
                      response.status = 206;
                      response.headers = {{"X-Load", "1/5"}};
                      response.content_type = "text/plain";
                      response.body = std::string(300'000, 'y');
                      responder->Send(std::move(response));
                    });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.method = "PUT";
  request.url = UrlOf(server.local_endpoint(),
                      "/v1/a%20b+c/%E5%8F%B0?from=1%2B2&name=x+y&flag=%26");
  request.headers = {{"X-Request-Id", "id-1"}, {"X-Empty", ""}};
  request.body = std::string(500'000, 'x');
  const auto response = Exchange(context, client, request);
  CHECK(response.progress == HttpProgress::kAnswered);
  CHECK(response.status == 206);
  CHECK(response.body == std::string(300'000, 'y'));
  CHECK(response.headers.at("x-load") == "1/5");
  CHECK(response.headers.at("content-type") == "text/plain");
  CHECK(seen.method == "PUT");
  CHECK(seen.path == "/v1/a b+c/台");
  CHECK(seen.query == std::map<std::string, std::string>{
                          {"from", "1+2"}, {"name", "x y"}, {"flag", "&"}});
  CHECK(seen.Header("x-request-id") == "id-1");
  CHECK(seen.Header("x-empty") == "");
  CHECK_FALSE(seen.Header("x-none").has_value());
  CHECK(seen.body == request.body);
}

TEST_CASE("an exchange keeps nothing of the one before on its handle") {
  asio::io_context context;
  HttpRequest seen;
  HttpServer server(context, LoopbackOptions(),
                    [&](const HttpRequest& request, auto responder) {
                      seen = request;
                      responder->Send(HttpResponse{});
                    });
  HttpClient client(context, 0);
  HttpClientRequest plain;
  plain.url = UrlOf(server.local_endpoint(), "/plain");
  const auto expect_plain = [&] {
    CHECK(Exchange(context, client, plain).status == 200);
    CHECK(seen.method == "GET");
    CHECK(seen.target == "/plain");
    CHECK(seen.body.empty());
    CHECK_FALSE(seen.Header("x-own").has_value());
  };
  HttpClientRequest other = plain;
  SUBCASE("method, body and headers") {
    other.method = "PUT";
    other.headers = {{"X-Own", "1"}};
    other.body = "body";
    CHECK(Exchange(context, client, other).status == 200);
    CHECK(seen.body == "body");
    expect_plain();
  }
  SUBCASE("a request without an answer's body") {
    other.method = "HEAD";
    CHECK(Exchange(context, client, other).status == 200);
    CHECK(seen.method == "HEAD");
    expect_plain();
  }
  SUBCASE("target and time limits") {
    other.target = "/a/%2e./b";
    other.connect_timeout = milliseconds(1);
    CHECK(Exchange(context, client, other).status == 200);
    CHECK(seen.target == "/a/%2e./b");
    expect_plain();
  }
  SUBCASE("how far it got") {
    expect_plain();
    tcp::acceptor closed(context, kLoopback);
    other.url = UrlOf(closed.local_endpoint(), "/x");
    closed.close();
    CHECK(Exchange(context, client, other).progress == HttpProgress::kNotSent);
    expect_plain();
  }
}

TEST_CASE("a bad escape or a body above the limit is refused unrun") {
  asio::io_context context;
  auto options = LoopbackOptions();
  options.maximum_body_bytes = 1000;
  int handled = 0;
  HttpServer server(context, options, [&](const HttpRequest&, auto responder) {
    ++handled;
    responder->Send({});
  });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.method = "POST";
  request.url = UrlOf(server.local_endpoint(), "/x");
  request.body = std::string(1000, 'x');
  CHECK(Exchange(context, client, request).status == 200);
  // Also far above the limit: the whole body is read and dropped.
  for (const std::size_t size : {1001U, 5'000'000U}) {
    request.body = std::string(size, 'x');
    const auto refusal = Exchange(context, client, request);
    CHECK(refusal.status == 413);
    const auto body = nlohmann::json::parse(refusal.body);
    CHECK(body["error"]["code"] == "too_large");
    CHECK(body["error"]["field"] == "body");
    CHECK(body["execution"] == "not-run");
  }
  request.body.clear();
  request.url = UrlOf(server.local_endpoint(), "/x%zz");
  CHECK(Exchange(context, client, request).status == 400);
  CHECK(handled == 1);
}

TEST_CASE("the handler learns that a waiting caller went away") {
  asio::io_context context;
  std::shared_ptr<HttpResponder> waiting;
  int gone = 0;
  HttpServer server(context, LoopbackOptions(),
                    [&](const HttpRequest&, auto responder) {
                      responder->OnClientGone([&] { ++gone; });
                      waiting = responder;
                    });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.local_endpoint(), "/x");
  const auto handle = client.Start(
      request, [](const HttpClientResponse&) { FAIL("it was cancelled"); });
  REQUIRE(test::RunUntil(context, [&] { return waiting != nullptr; }));
  CHECK(gone == 0);
  CHECK(client.Cancel(handle) == HttpProgress::kSent);
  CHECK_FALSE(client.Cancel(handle).has_value());
  REQUIRE(test::RunUntil(context, [&] { return gone > 0; }));
  waiting->Send({});
  test::RunReady(context);
  CHECK(gone == 1);
}

TEST_CASE("a caller that got its answer is not reported as gone") {
  asio::io_context context;
  int gone = 0;
  HttpServer server(context, LoopbackOptions(),
                    [&](const HttpRequest&, auto responder) {
                      responder->OnClientGone([&] { ++gone; });
                      responder->Send({});
                    });
  bool closed = false;
  HttpServer other(context, LoopbackOptions(),
                   [&](const HttpRequest&, auto responder) {
                     responder->OnClientGone([&] { closed = true; });
                     responder->Send({});
                   });
  {
    HttpClient client(context, 0);
    HttpClientRequest request;
    request.url = UrlOf(server.local_endpoint(), "/x");
    CHECK(Exchange(context, client, request).status == 200);
  }
  server.Close();
  test::RunReady(context);
  CHECK(gone == 0);
  CHECK_FALSE(closed);
}

TEST_CASE("a head that begins with a folded field does not end the process") {
  asio::io_context context;
  RawServer server(context);
  std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  server.on_request = [&](const auto& socket) {
    asio::write(*socket, asio::buffer(answer));
  };
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  CHECK(Exchange(context, client, request).status == 200);
  answer = "HTTP/1.1 200 OK\r\n folded: 1\r\nContent-Length: 0\r\n\r\n";
  for (int i = 0; i < 100; ++i) {
    Exchange(context, client, request);
  }
  CHECK(server.requests == 101);
}

TEST_CASE("a request that the handler dropped is still answered") {
  asio::io_context context;
  HttpServer server(context, LoopbackOptions(), [](auto&&...) {});
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.local_endpoint(), "/x");
  const auto response = Exchange(context, client, request);
  CHECK(response.status == 500);
  CHECK(nlohmann::json::parse(response.body)["execution"] == "may-have-run");
}

TEST_CASE("closing a server closes kept connections and refuses new ones") {
  asio::io_context context;
  auto server = std::make_unique<HttpServer>(
      context, LoopbackOptions(),
      [](const HttpRequest&, auto responder) { responder->Send({}); });
  tcp::socket raw(context);
  raw.connect(server->local_endpoint());
  bool read_ended = false;
  char byte = 0;
  raw.async_read_some(asio::buffer(&byte, 1),
                      [&](std::error_code, std::size_t) { read_ended = true; });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server->local_endpoint(), "/x");
  CHECK(Exchange(context, client, request).status == 200);
  CHECK_FALSE(read_ended);
  server.reset();
  CHECK(test::RunUntil(context, [&] { return read_ended; }));
  const auto refused = Exchange(context, client, request);
  CHECK(refused.progress == HttpProgress::kNotSent);
  CHECK_FALSE(refused.transport_error.empty());
}

TEST_CASE("connections are kept, and bounded per host") {
  asio::io_context context;
  std::vector<std::shared_ptr<tcp::socket>> waiting;
  RawServer server(context);
  server.on_request = [&](const auto& socket) { waiting.push_back(socket); };
  HttpClient client(context, 2);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  int answered = 0;
  constexpr int kRequests = 7;
  for (int i = 0; i < kRequests; ++i) {
    client.Start(request, [&](const HttpClientResponse& response) {
      CHECK(response.status == 200);
      CHECK(response.body == "ok");
      ++answered;
    });
  }
  CHECK(client.running() == kRequests);
  REQUIRE(test::RunUntil(context, [&] { return waiting.size() == 2; }));
  test::RunReady(context);
  CHECK(waiting.size() == 2);
  REQUIRE(test::RunUntil(context, [&] {
    for (const auto& socket : std::exchange(waiting, {})) {
      RawServer::Answer(*socket);
    }
    return answered == kRequests;
  }));
  CHECK(server.connections == 2);
  CHECK(client.running() == 0);
}

TEST_CASE("a connection that is not used is closed, not kept for good") {
  asio::io_context context;
  RawServer rare(context);
  RawServer busy(context);
  std::shared_ptr<tcp::socket> idle;
  rare.on_request = [&](const auto& socket) {
    RawServer::Answer(*socket);
    idle = socket;
  };
  busy.on_request = [](const auto& socket) { RawServer::Answer(*socket); };
  HttpClient client(context, 0, /*kept_idle=*/seconds(1));
  HttpClientRequest request;
  request.url = UrlOf(rare.acceptor.local_endpoint(), "/x");
  CHECK(Exchange(context, client, request).status == 200);
  // The server's side sees the end of the connection.
  const auto closed = [&idle] {
    std::array<char, 1> byte{};
    std::error_code error;
    idle->non_blocking(true);
    idle->receive(asio::buffer(byte), tcp::socket::message_peek, error);
    return error == asio::error::eof;
  };
  request.url = UrlOf(busy.acceptor.local_endpoint(), "/x");
  while (!closed()) {
    REQUIRE(Exchange(context, client, request).status == 200);
  }
  CHECK(busy.connections == 1);
}

TEST_CASE("a refused or reset new connection is told from a broken one") {
  asio::io_context context;
  const auto reset = [](tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  };
  RawServer server(context);
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  SUBCASE("reset at its first request") {
    server.on_request = [&](const auto& socket) { reset(*socket); };
    const auto response = Exchange(context, client, request);
    CHECK(response.progress == HttpProgress::kSent);
    CHECK(response.new_connection_refused);
    CHECK(response.connection_lost);
  }
  SUBCASE("reset at a later request") {
    server.on_request = [&](const auto& socket) {
      if (server.requests == 2) {
        reset(*socket);
      } else {
        RawServer::Answer(*socket);
      }
    };
    CHECK(Exchange(context, client, request).status == 200);
    const auto response = Exchange(context, client, request);
    CHECK(response.progress == HttpProgress::kSent);
    CHECK_FALSE(response.new_connection_refused);
    CHECK(response.connection_lost);
  }
  SUBCASE("its server ends at a later request") {
    server.on_request = [&](const auto& socket) {
      if (server.requests == 2) {
        server.acceptor.close();
        reset(*socket);
      } else {
        RawServer::Answer(*socket);
      }
    };
    CHECK(Exchange(context, client, request).status == 200);
    const auto response = Exchange(context, client, request);
    CHECK(response.progress == HttpProgress::kSent);
    CHECK(response.connection_lost);
  }
  SUBCASE("cut within an answer") {
    server.on_request = [&](const auto& socket) {
      asio::write(*socket,
                  asio::buffer(std::string(
                      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")));
      socket->close();
    };
    CHECK_FALSE(Exchange(context, client, request).connection_lost);
  }
  SUBCASE("nothing listens") {
    server.acceptor.close();
    const auto response = Exchange(context, client, request);
    CHECK(response.progress == HttpProgress::kNotSent);
    CHECK(response.new_connection_refused);
    CHECK_FALSE(response.connection_lost);
  }
  SUBCASE("silence") {
    server.on_request = [](const auto&) {};
    request.timeout = milliseconds(20);
    const auto response = Exchange(context, client, request);
    CHECK_FALSE(response.new_connection_refused);
    CHECK_FALSE(response.connection_lost);
  }
}

TEST_CASE("a request is not sent twice when its kept connection breaks") {
  asio::io_context context;
  RawServer server(context);
  server.on_request = [&](const auto& socket) {
    if (server.requests == 2) {
      socket->close();
    } else {
      RawServer::Answer(*socket);
    }
  };
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  CHECK(Exchange(context, client, request).status == 200);
  const auto broken = Exchange(context, client, request);
  CHECK(broken.progress == HttpProgress::kSent);
  CHECK(server.requests == 2);
  // The client goes on to work.
  CHECK(Exchange(context, client, request).status == 200);
  CHECK(server.requests == 3);
}

TEST_CASE("a time-out says whether the request had left") {
  asio::io_context context;
  RawServer server(context);
  server.on_request = [](const auto&) {};
  HttpClient client(context, 1);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  request.timeout = seconds(30);
  const auto first = client.Start(request, [](const HttpClientResponse&) {});
  REQUIRE(test::RunUntil(context, [&] { return server.requests == 1; }));
  // Waits for the only connection, so nothing of it leaves.
  request.timeout = milliseconds(20);
  const auto queued = Exchange(context, client, request);
  CHECK(queued.timed_out);
  CHECK(queued.progress == HttpProgress::kNotSent);
  CHECK(client.Cancel(first) == HttpProgress::kSent);
  request.timeout = seconds(1);
  const auto sent = Exchange(context, client, request);
  CHECK(sent.timed_out);
  CHECK(sent.progress == HttpProgress::kSent);
  CHECK(server.requests == 2);
}

TEST_CASE("a caller that drips its request is cut off at the time limit") {
  asio::io_context context;
  HttpServerOptions options = LoopbackOptions();
  options.idle_timeout = std::chrono::seconds(1);
  HttpServer server(context, options, [](const HttpRequest&, auto) {
    FAIL("the request was never whole");
  });
  tcp::socket caller(context);
  caller.connect(server.local_endpoint());
  // Each byte comes well within the limit; a limit on silence never ends it.
  asio::steady_timer timer(context);
  std::function<void()> drip = [&] {
    std::error_code error;
    asio::write(caller, asio::buffer("G", 1), error);
    timer.expires_after(milliseconds(50));
    timer.async_wait([&](const std::error_code& cancelled) {
      if (!cancelled) {
        drip();
      }
    });
  };
  asio::write(caller, asio::buffer(std::string("GET /x HTTP/1.1\r\nX: ")));
  drip();
  bool closed = false;
  char byte = 0;
  caller.async_read_some(
      asio::buffer(&byte, 1),
      [&](const std::error_code& error, std::size_t) { closed = !!error; });
  CHECK(test::RunUntil(context, [&] { return closed; }));
  timer.cancel();
}

TEST_CASE("a cancelled exchange gives its place to the next") {
  asio::io_context context;
  RawServer server(context);
  server.on_request = [](const auto&) {};
  HttpClient client(context, 1);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/x");
  const auto never = [](const HttpClientResponse&) { FAIL("was cancelled"); };
  const auto sent = client.Start(request, never);
  const auto waiting = client.Start(request, never);
  REQUIRE(test::RunUntil(context, [&] { return server.requests == 1; }));
  CHECK(client.Cancel(waiting) == HttpProgress::kNotSent);
  CHECK(client.Cancel(waiting) == std::nullopt);
  std::optional<int> status;
  client.Start(request, [&](const HttpClientResponse& response) {
    status = response.status;
  });
  server.on_request = [](const auto& socket) { RawServer::Answer(*socket); };
  CHECK(client.Cancel(sent) == HttpProgress::kSent);
  REQUIRE(test::RunUntil(context, [&] { return status.has_value(); }));
  CHECK(status == 200);
  CHECK(server.requests == 2);
  CHECK(client.running() == 0);
}

TEST_CASE("an answer above the limit ends the exchange as sent") {
  asio::io_context context;
  HttpServer server(context, LoopbackOptions(),
                    [](const HttpRequest&, auto responder) {
                      HttpResponse response;
                      response.body = std::string(2000, 'x');
                      responder->Send(response);
                    });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.local_endpoint(), "/x");
  request.maximum_response_bytes = 1999;
  CHECK(Exchange(context, client, request).progress == HttpProgress::kSent);
  request.maximum_response_bytes = 2000;
  CHECK(Exchange(context, client, request).status == 200);
}

// Sends `first`, then `repeated` without end, until the connection is closed.
class EndlessAnswer : public std::enable_shared_from_this<EndlessAnswer> {
 public:
  EndlessAnswer(std::shared_ptr<tcp::socket> socket, std::string first,
                std::string repeated)
      : socket_(std::move(socket)),
        first_(std::move(first)),
        repeated_(std::move(repeated)) {}

  void Start() { Send(first_); }
  std::size_t sent_bytes() const { return sent_bytes_; }
  bool closed() const { return closed_; }

 private:
  void Send(const std::string& bytes) {
    asio::async_write(
        *socket_, asio::buffer(bytes),
        [self = shared_from_this()](std::error_code error, std::size_t count) {
          self->sent_bytes_ += count;
          if (error) {
            self->closed_ = true;
          } else {
            self->Send(self->repeated_);
          }
        });
  }

  std::shared_ptr<tcp::socket> socket_;
  std::string first_;
  std::string repeated_;
  std::size_t sent_bytes_ = 0;
  bool closed_ = false;
};

TEST_CASE("bytes without end that are no answer end the exchange as sent") {
  constexpr std::size_t kLimit = 1U << 20;
  // What socket buffers hold beside the bytes that the client has read.
  constexpr std::size_t kBuffered = 16U << 20;
  std::string first;
  std::string repeated;
  SUBCASE("before the status line") { first = repeated = "garbage "; }
  SUBCASE("in the status line") {
    first = "HTTP/1.1 200 ";
    repeated = "OK";
  }
  SUBCASE("in a header line") {
    first = "HTTP/1.1 200 OK\r\nX-A: ";
    repeated = "a";
  }
  SUBCASE("header lines") {
    first = "HTTP/1.1 200 OK\r\n";
    repeated = "X-A: a\r\n";
  }
  SUBCASE("interim answers") {
    first = repeated = "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  SUBCASE("a body") {
    first = "HTTP/1.1 200 OK\r\n\r\n";
    repeated = "body";
  }
  SUBCASE("chunks") {
    first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    repeated = "4\r\nbody\r\n";
  }
  SUBCASE("the length of a chunk") {
    first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    repeated = "0";
  }
  SUBCASE("trailers") {
    first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    repeated = "X-A: a\r\n";
  }
  SUBCASE("a body of a failure") {
    first = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
    repeated = "body";
  }
  for (int i = 0; i < 10; ++i) {
    repeated += repeated;  // Fewer writes.
  }
  asio::io_context context{1};
  RawServer server(context);
  std::shared_ptr<EndlessAnswer> answer;
  server.on_request = [&](const std::shared_ptr<tcp::socket>& socket) {
    answer = std::make_shared<EndlessAnswer>(socket, first, repeated);
    answer->Start();
  };
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/");
  request.timeout = 2 * test::kConditionLimit;
  request.maximum_response_bytes = kLimit;
  const HttpClientResponse response = Exchange(context, client, request);
  CHECK(response.progress == HttpProgress::kSent);
  CHECK_FALSE(response.timed_out);
  CHECK(test::RunUntil(context, [&] { return answer->closed(); }));
  CHECK(answer->sent_bytes() < kLimit + kBuffered);
}

TEST_CASE("bodies without end stay within the bound of their client") {
  constexpr std::size_t kExchanges = 4;
  constexpr std::size_t kLimit = 1U << 20;
  asio::io_context context{1};
  RawServer server(context);
  const std::string repeated(kLimit / 16, 'x');
  std::vector<std::shared_ptr<EndlessAnswer>> answers;
  server.on_request = [&](const std::shared_ptr<tcp::socket>& socket) {
    answers.push_back(std::make_shared<EndlessAnswer>(
        socket, "HTTP/1.1 200 OK\r\n\r\n", repeated));
    answers.back()->Start();
  };
  HttpClient client(context, 0, HttpClient::kDefaultIdleTime, kLimit);
  HttpClientRequest request;
  request.url = UrlOf(server.acceptor.local_endpoint(), "/");
  request.timeout = 2 * test::kConditionLimit;
  std::size_t broken = 0;
  for (std::size_t i = 0; i < kExchanges; ++i) {
    client.Start(request, [&](const HttpClientResponse& response) {
      CHECK(response.progress == HttpProgress::kSent);
      CHECK_FALSE(response.timed_out);
      CHECK(response.body.size() <= kLimit);
      ++broken;
    });
  }
  CHECK(test::RunUntil(context, [&] { return broken == kExchanges; }));

  // What the broken exchanges held is free again.
  constexpr std::size_t kWhole = kLimit - 1;
  const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kWhole) +
      "\r\n\r\n" + std::string(kWhole, 'x');
  server.on_request = [&](const std::shared_ptr<tcp::socket>& socket) {
    asio::async_write(*socket, asio::buffer(whole),
                      [socket](std::error_code, std::size_t) {});
  };
  CHECK(Exchange(context, client, request).body.size() == kWhole);
}

TEST_CASE("a server that is to go ends connections with their answers") {
  asio::io_context context;
  std::size_t unwritten = 0;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(
      context, LoopbackOptions(), [&](const HttpRequest&, auto responder) {
        HttpResponse response;
        response.body = std::string(1'000'000, 'x');
        responder->Send(response);
        unwritten = server->unwritten_answers();
      });
  HttpClient client(context, 0);
  HttpClientRequest request;
  request.url = UrlOf(server->local_endpoint(), "/x");
  CHECK(Exchange(context, client, request).headers["connection"] != "close");
  server->CloseAfterAnswers();
  const auto last = Exchange(context, client, request);
  CHECK(unwritten == 1);
  CHECK(last.headers.at("connection") == "close");
  CHECK(last.body.size() == 1'000'000);
  CHECK(test::RunUntil(context,
                       [&] { return server->unwritten_answers() == 0; }));
}

}  // namespace juniperway::net
