// Asynchronous HTTP client: libcurl's multi interface driven by Asio. One
// thread: every method and callback runs on the io_context's thread.
//
// A request is sent at most once: libcurl would silently repeat one whose kept
// connection broke before the first byte of the answer, and this is prevented.
#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/net/response_message.h"

namespace juniperway::net {

struct HttpClientRequest {
  std::string method = "GET";
  std::string url;  // "http://127.0.0.1:80/v1/search"
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Sent in place of the URL's path and query, byte by byte; empty: those.
  std::string target;
  // Sends `headers` and what the connection needs, nothing of libcurl's own.
  bool only_given_headers = false;
  // Where an answer carries this header with another value, it belongs to
  // another request: the exchange ends as broken (kSent) and its connection is
  // closed. Empty: not checked.
  std::string echoed_header;
  std::string echoed_value;
  // A successful answer (2xx) without that header is another request's too.
  bool echo_required = false;
  // So is any other answer without it.
  bool echo_required_of_failures = false;
  // Whether other exchanges may use the connection before or after this one. A
  // late second answer on it would be read as another exchange's, where answers
  // do not name their requests.
  bool share_connection = true;
  // Bound on opening the connection; 0: only `timeout` bounds it.
  Duration connect_timeout{};
  Duration timeout = seconds(10);
  // A longer answer ends the exchange as broken (HttpProgress::kSent).
  std::size_t maximum_response_bytes = 64U << 20;
};

// How far an exchange got; decides between not-run and may-have-run.
enum class HttpProgress {
  kNotSent,   // No byte of the request left this process.
  kSent,      // At least one byte left; no complete answer came.
  kAnswered,  // A complete answer came: `status` and `body` are valid.
};

// What came on the connection, for the log: also where it is no whole answer.
struct ReceivedBytes {
  // Of the last status line; 0 without one.
  int status = 0;
  BodyFraming framing = BodyFraming::kUnknown;
  std::size_t body = 0;
};

struct HttpClientResponse {
  HttpProgress progress = HttpProgress::kNotSent;
  int status = 0;
  std::map<std::string, std::string> headers;  // names in lower case
  // As they came, in order; a name may stand more than once.
  Fields fields;
  std::string body;
  bool timed_out = false;
  // The peer refused or reset a connection that was opened for this exchange,
  // before a byte of an answer came.
  bool new_connection_refused = false;
  // The connection was lost after the request was sent and before a byte of an
  // answer came.
  bool connection_lost = false;
  ReceivedBytes received;
  // Why not kAnswered: libcurl's text, or what is wrong with the answer.
  std::string transport_error;
};

class HttpClient {
 public:
  using Callback = std::function<void(HttpClientResponse)>;
  using RequestHandle = std::uint64_t;

  // Leaves the idle time of connections to libcurl: 118 s.
  static constexpr seconds kDefaultIdleTime{0};
  static constexpr std::size_t kUnboundedBodies =
      std::numeric_limits<std::size_t>::max() / 2;

  // @param maximum_connections_per_host bounds open connections to one ip:port
  //   (0: no bound). Idle ones are kept for reuse and count.
  // @param kept_idle a connection that was idle for longer is not used again
  //   and is closed when later exchanges start.
  // @param maximum_body_bytes bounds the bodies that all exchanges under way
  //   hold together; an exchange that passes it ends as broken
  //   (HttpProgress::kSent).
  HttpClient(asio::io_context& context,
             std::size_t maximum_connections_per_host,
             seconds kept_idle = kDefaultIdleTime,
             std::size_t maximum_body_bytes = kUnboundedBodies);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts an exchange. The callback runs once, never inside this call.
  RequestHandle Start(HttpClientRequest request, Callback callback);

  // Abandons an exchange: its connection is closed and the callback does not
  // run.
  // @return how far it got; nothing for an unknown or finished exchange.
  std::optional<HttpProgress> Cancel(RequestHandle handle);

  std::size_t running() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::net
