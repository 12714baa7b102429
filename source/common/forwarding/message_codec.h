// Converts HTTP messages: a client's request into the requests to backends, a
// backend's answer into the result of an attempt, and the outcome of a run into
// the client's answer. Pure functions and values.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/forwarding/header_names.h"
#include "common/forwarding/request_run.h"
#include "common/net/http_client.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

// Returns the path of a request target: "/a/b" for "/a/b?c=d".
std::string_view PathOf(std::string_view target);

// Parses a deadline header, which has whole milliseconds.
// @return std::nullopt when it is malformed.
std::optional<Duration> ParseDeadline(const std::string& text);

// Returns the approximate size of the request line and the headers on the wire.
std::size_t HeaderBytes(const net::HttpRequest& request);

// The content of a client's request that all its attempts share.
struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string body;
  // The client's headers, without those of the client's connection, the
  // deadline and the expected backend.
  std::vector<std::pair<std::string, std::string>> headers;
  // The request id that the client sent; empty when the client sent none.
  std::string request_id;
};

// The identity of the client of a request, as the router passes it to backends.
struct ClientIdentity {
  // Whether the route table has tenants. Backends then get neither the client's
  // credentials nor the tenant name that the client claims.
  bool is_checked = false;
  // Name of the verified tenant; empty when there is none.
  std::string tenant;
};
// Extracts the content that backends get from the client's request.
ForwardedRequest MakeForwardedRequest(const net::HttpRequest& request,
                                      const HeaderNames& names,
                                      const ClientIdentity& client = {});

// Makes the request to one backend, with the remaining time and the expected
// backend.
net::HttpClientRequest MakeBackendRequest(const ForwardedRequest& request,
                                          const SendAction& action,
                                          const HeaderNames& names,
                                          MonotonicTime now);

// How the router uses a backend's answer.
enum class AnswerUse {
  kPassedOn,  // The client gets the answer with its headers.
  kMerged,    // The router uses only the signature and the body.
};

// Derives the result of an attempt from the response or transport error.
AttemptEnd ReadBackendResponse(net::HttpClientResponse response,
                               const HeaderNames& names, AnswerUse use);

// Makes the client's answer.
net::HttpResponse MakeClientResponse(RunOutcome outcome,
                                     const HeaderNames& names);

// Makes the answer that refuses a request which did not run.
// @param retry_after when the client should send the request again.
net::HttpResponse MakeRefusal(Duration retry_after, const std::string& message);

// Makes the answer that refuses a request because its tenant has exceeded its
// limit. The request did not run.
// @param retry_after when the client should send the request again.
net::HttpResponse MakeLimitRefusal(Duration retry_after);

}  // namespace juniperway::forwarding
