// HTTP server on RESTinio, behind an interface that keeps RESTinio's headers in
// one file. One thread: handlers run on the io_context's thread.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/base/error.h"
#include "common/net/tls.h"

namespace juniperway::net {

struct HttpRequest {
  std::string method;  // "GET"
  std::string path;    // decoded, without the query string: "/v1/services"
  std::string target;  // as it came: "/v1/services?zone=a%2Fb"
  std::map<std::string, std::string> query;    // decoded parameters
  std::map<std::string, std::string> headers;  // names in lower case
  // As they came, in order; a name may stand more than once.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  asio::ip::tcp::endpoint remote;

  // Header or parameter by (lower-case) name.
  std::optional<std::string> Header(const std::string& name) const;
  std::optional<std::string> Parameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  // Of a body that is not empty; empty: `headers` says it all.
  std::string content_type = "application/json";
  // This answer is the last of its connection.
  bool close = false;
  std::string body;
};

// Answers one request, later or at once. Copies share the one answer; only the
// first Send counts.
// Dropping the last copy without an answer sends a 500.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void Send(HttpResponse response) = 0;
  // `listener` runs once, in a later turn of the event loop, if the caller goes
  // away before the answer was sent. A caller that shuts down only its sending
  // side counts as gone.
  virtual void OnClientGone(std::function<void()> listener) = 0;
};

using HttpHandler = std::function<void(const HttpRequest& request,
                                       std::shared_ptr<HttpResponder>)>;

struct HttpServerOptions {
  asio::ip::tcp::endpoint endpoint;  // port 0: chosen by the kernel
  // Larger bodies are answered 413 without reaching the handler.
  std::size_t maximum_body_bytes = 8U << 20;
  std::size_t maximum_connections = 4096;
  // An idle connection is closed after this time. Longer than clients keep
  // theirs, so that a client does not send on a connection that is closing.
  std::chrono::seconds idle_timeout{300};
  // Served over TLS, where set. Close() then leaves open connections to their
  // time-outs.
  std::optional<TlsFiles> tls = std::nullopt;
  // Told of each connection that opens and closes; may be empty.
  std::function<void(const asio::ip::tcp::endpoint& remote, bool open)>
      connection_listener;
};

class HttpServer {
 public:
  // Throws std::exception when the address cannot be bound (set-up fault).
  HttpServer(asio::io_context& context, const HttpServerOptions& options,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const;
  // From now on each answer is the last of its connection, so that callers
  // connect anew, elsewhere, before this server goes.
  void CloseAfterAnswers();
  // Answers that were sent and are not yet written to their connections.
  std::size_t unwritten_answers() const;
  // Accepts nothing more; requests in flight may still be answered.
  void StopAccepting();
  // Closes the listener and every connection.
  void Close();

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// An error body: {"error":{"code","field","message"},"execution":"not-run"}.
HttpResponse ErrorResponse(int status, const Error& error,
                           std::string_view execution_state);

// The HTTP status that goes with an error code, e.g. 409 for kConflict.
int HttpStatusOf(ErrorCode code);

}  // namespace juniperway::net
