// HTTP messages of forwarding: what of a client's request goes to a back end,
// what a back end's answer means, and what the client gets. Pure.
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

// The path of a request target: "/a/b" of "/a/b?c=d".
std::string_view PathOf(std::string_view target);

// The whole milliseconds of a deadline header; nothing when it is malformed.
std::optional<Duration> ParseDeadline(const std::string& text);

// Bytes of the request line and the headers, about as they were sent.
std::size_t HeaderBytes(const net::HttpRequest& request);

// What all back ends that are asked for one request get alike.
struct ForwardedRequest {
  std::string method;
  std::string target;
  std::string body;
  // Without those of the client's connection, the deadline and the expected
  // back end.
  std::vector<std::pair<std::string, std::string>> headers;
  // As the client sent it; empty: it sent none.
  std::string request_id;
};

// Who sent a request, as far as its back end may know.
struct CallerIdentity {
  // The route table has tenants: the client's credentials and what it says of
  // its tenant are withheld.
  bool is_checked = false;
  // Empty: none.
  std::string tenant;
};
ForwardedRequest MakeForwardedRequest(const net::HttpRequest& request,
                                      const HeaderNames& names,
                                      const CallerIdentity& caller = {});

// The request for one back end, with its deadline and the expected back end.
net::HttpClientRequest MakeBackendRequest(const ForwardedRequest& request,
                                          const SendAction& action,
                                          const HeaderNames& names,
                                          MonotonicTime now);

// What becomes of a back end's answer.
enum class AnswerUse {
  kPassedOn,  // The client gets it with its headers.
  kMerged,    // Only its signature and body count.
};

// How an attempt ended, from what came back.
AttemptEnd ReadBackendResponse(net::HttpClientResponse response,
                               const HeaderNames& names, AnswerUse use);

// The client's answer.
net::HttpResponse MakeClientResponse(RunOutcome outcome,
                                     const HeaderNames& names);

// A refusal: nothing ran. The client should come back after `retry_after`.
net::HttpResponse MakeRefusal(Duration retry_after, const std::string& message);

// Beyond a tenant's limit: nothing ran. The client should come back after
// `retry_after`.
net::HttpResponse MakeLimitRefusal(Duration retry_after);

}  // namespace juniperway::forwarding
