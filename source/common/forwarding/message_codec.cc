#include "common/forwarding/message_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <set>
#include <utility>
#include <vector>

#include "common/base/text.h"
#include "common/routes/tenant_index.h"

namespace juniperway::forwarding {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimedOut = 504;
// When a refused client should send its request again. The causes of refusals
// (backends that restart, full queues) rarely end at once, and a client has few
// retries.
constexpr Duration kRetryAfter = milliseconds(500);
// Timeout to open a connection to a backend: many times the round trip to
// another region. If opening takes longer, the router treats the backend as
// unreachable.
constexpr Duration kConnectTimeout = milliseconds(400);
// RequestRun cancels an attempt at the attempt's deadline. The HTTP client's
// own timeout is this much later and takes effect only if RequestRun fails to
// cancel.
constexpr Duration kTransferTimeoutMargin = seconds(1);
constexpr std::uint64_t kMaximumDeadlineMs = 24ULL * 3600 * 1000;

// Whether a header applies to one connection only. The content length is
// included, because each sender writes its own.
bool IsConnectionHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "connection",          "keep-alive", "proxy-authenticate",
      "proxy-authorization", "te",         "trailer",
      "transfer-encoding",   "upgrade",    "proxy-connection",
      "content-length",      "expect"};
  return std::ranges::any_of(kNames, [name](std::string_view known) {
    return EqualsIgnoringCase(name, known);
  });
}

using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the names listed in the "Connection" headers, in lower case.
std::set<std::string> ConnectionHeaderTokens(const Fields& fields) {
  std::set<std::string> names;
  for (const auto& [name, value] : fields) {
    if (!EqualsIgnoringCase(name, "connection")) {
      continue;
    }
    std::string token;
    for (const char character : value + ",") {
      if (character == ',') {
        names.insert(ToLower(token));
        token.clear();
      } else if (character != ' ' && character != '\t') {
        token += character;
      }
    }
  }
  return names;
}

Fields EndToEndFields(const Fields& fields) {
  const std::set<std::string> named = ConnectionHeaderTokens(fields);
  Fields kept;
  for (const auto& field : fields) {
    const bool is_hop_by_hop =
        !named.empty() && named.contains(ToLower(field.first));
    if (!is_hop_by_hop && !IsConnectionHeader(field.first)) {
      kept.push_back(field);
    }
  }
  return kept;
}

const std::string* Find(const std::map<std::string, std::string>& headers,
                        const std::string& name) {
  const auto found = headers.find(ToLower(name));
  return found == headers.end() ? nullptr : &found->second;
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

// Makes an answer with a JSON error body.
// @param retry_after value of the Retry-After header; zero omits the header.
net::HttpResponse MakeFailure(int status, const char* code,
                              const std::string& message,
                              Duration retry_after = Duration(0)) {
  net::HttpResponse response;
  response.status = status;
  response.body = fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})",
                              code, message);
  if (retry_after > Duration(0)) {
    response.headers.emplace_back(
        "Retry-After",
        fmt::format("{:.3f}",
                    std::chrono::duration<double>(retry_after).count()));
  }
  return response;
}

net::HttpResponse PassOn(BackendAnswer answer) {
  net::HttpResponse response;
  response.status = answer.status;
  response.headers = std::move(answer.headers);
  response.content_type.clear();
  response.body = std::move(answer.body);
  return response;
}

net::HttpResponse MakeScatterResponse(RunOutcome outcome,
                                      const HeaderNames& names) {
  net::HttpResponse response;
  response.status = kStatusOk;
  response.content_type = "application/octet-stream";
  std::string signatures;
  for (const std::string& signature : outcome.signatures) {
    signatures += signatures.empty() ? "" : ", ";
    signatures += signature;
  }
  response.headers.emplace_back(names.part_signatures, std::move(signatures));
  response.headers.emplace_back(names.missing_parts,
                                std::to_string(outcome.missing.size()));
  response.body = std::move(outcome.merged_records);
  return response;
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::optional<Duration> ParseDeadline(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return milliseconds(std::min(value, kMaximumDeadlineMs));
}

std::size_t HeaderBytes(const net::HttpRequest& request) {
  constexpr std::size_t kLineOverhead = 4;  // ": " and CRLF
  std::size_t bytes = request.method.size() + request.target.size();
  for (const auto& [name, value] : request.fields) {
    bytes += name.size() + value.size() + kLineOverhead;
  }
  return bytes;
}

ForwardedRequest MakeForwardedRequest(const net::HttpRequest& request,
                                      const HeaderNames& names,
                                      const ClientIdentity& client) {
  ForwardedRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.body = request.body;
  forwarded.headers = EndToEndFields(request.fields);
  std::erase_if(forwarded.headers, [&names](const auto& field) {
    return EqualsIgnoringCase(field.first, names.deadline) ||
           EqualsIgnoringCase(field.first, names.expected_backend);
  });
  if (client.is_checked) {
    std::erase_if(forwarded.headers, [&names](const auto& field) {
      return EqualsIgnoringCase(field.first, routes::kCredentialsHeader) ||
             EqualsIgnoringCase(field.first, names.tenant);
    });
  }
  if (!client.tenant.empty()) {
    forwarded.headers.emplace_back(names.tenant, client.tenant);
  }
  forwarded.request_id = request.Header(ToLower(names.request_id)).value_or("");
  return forwarded;
}

net::HttpClientRequest MakeBackendRequest(const ForwardedRequest& request,
                                          const SendAction& action,
                                          const HeaderNames& names,
                                          MonotonicTime now) {
  net::HttpClientRequest forwarded;
  forwarded.method = request.method;
  forwarded.url = "http://" + action.address + "/";
  forwarded.target = request.target;
  forwarded.body = request.body;
  forwarded.only_given_headers = true;
  forwarded.headers.reserve(request.headers.size() + 2);
  forwarded.headers = request.headers;
  const Duration remaining =
      std::max(Duration(action.deadline - now), Duration(milliseconds(1)));
  forwarded.headers.emplace_back(names.deadline,
                                 std::to_string(ToMilliseconds(remaining)));
  forwarded.headers.emplace_back(names.expected_backend, action.backend);
  if (!request.request_id.empty()) {
    forwarded.echoed_header = names.request_id;
    forwarded.echoed_value = request.request_id;
    // A backend may send a late answer in place of the answer to the next
    // request on the connection.
    forwarded.echo_required = action.names_request;
    forwarded.echo_required_of_failures = action.names_request_in_failures;
  }
  forwarded.connect_timeout = kConnectTimeout;
  forwarded.timeout = remaining + kTransferTimeoutMargin;
  return forwarded;
}

AttemptEnd ReadBackendResponse(net::HttpClientResponse response,
                               const HeaderNames& names, AnswerUse use) {
  AttemptEnd end;
  if (response.progress == net::HttpProgress::kNotSent) {
    end.result = response.new_connection_refused ? AttemptResult::kRefused
                                                 : AttemptResult::kUnsent;
    return end;
  }
  end.connection_lost = response.connection_lost;
  if (response.progress == net::HttpProgress::kSent) {
    end.result = response.new_connection_refused
                     ? AttemptResult::kReset
                     : AttemptResult::kIncompleteAnswer;
    return end;
  }
  end.names_request = Find(response.headers, names.request_id) != nullptr;
  if (response.status == kStatusMisdirected) {
    end.result = AttemptResult::kWrongBackend;
    return end;
  }
  if (Find(response.headers, names.not_executed) != nullptr) {
    end.result = AttemptResult::kShed;
    return end;
  }
  const std::string* signature = Find(response.headers, names.signature);
  // The router requested no encoding, so an encoded body does not come from the
  // backend.
  const bool encoded = Find(response.headers, "content-encoding") != nullptr;
  if (signature == nullptr || signature->empty() || encoded) {
    end.result = AttemptResult::kIncompleteAnswer;
    end.discard_reason =
        encoded ? "the answer is encoded" : "the answer has no signature";
    return end;
  }
  end.result = IsSuccess(response.status) ? AttemptResult::kAnswered
                                          : AttemptResult::kFailed;
  end.answer.status = response.status;
  end.answer.framing = response.received.framing;
  end.answer.signature = *signature;
  if (use == AnswerUse::kPassedOn) {
    end.answer.headers = EndToEndFields(response.fields);
  }
  end.answer.body = std::move(response.body);
  return end;
}

net::HttpResponse MakeClientResponse(RunOutcome outcome,
                                     const HeaderNames& names) {
  switch (outcome.result) {
    case RunResult::kSuccess:
      return outcome.signatures.empty()
                 ? PassOn(std::move(outcome.answer))
                 : MakeScatterResponse(std::move(outcome), names);
    case RunResult::kBackendFailure:
      return PassOn(std::move(outcome.answer));
    case RunResult::kNotRun:
      return MakeRefusal(kRetryAfter, outcome.reason);
    case RunResult::kFailed:
      return MakeFailure(kStatusBadGateway, "backend_failed", outcome.reason,
                         outcome.retry_after);
    case RunResult::kTimedOut:
      return MakeFailure(kStatusTimedOut, "deadline_exceeded", outcome.reason);
  }
  return MakeFailure(kStatusBadGateway, "backend_failed", outcome.reason);
}

net::HttpResponse MakeLimitRefusal(Duration retry_after) {
  return MakeFailure(kStatusTooManyRequests, "limit_exceeded",
                     "the tenant's limit is used up", retry_after);
}

net::HttpResponse MakeRefusal(Duration retry_after,
                              const std::string& message) {
  return MakeFailure(kStatusUnavailable, "unavailable", message, retry_after);
}

}  // namespace juniperway::forwarding
