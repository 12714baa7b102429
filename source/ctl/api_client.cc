#include "ctl/api_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <cctype>
#include <optional>
#include <utility>

#include "common/net/address.h"
#include "ctl/retry_policy.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr int kUnauthorizedStatus = 401;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kFirstServerError = 500;
// A backup is one answer.
constexpr std::size_t kMaximumResponseBytes = std::size_t{1} << 30U;

ExitCode ExitCodeOfStatus(int status) {
  switch (status) {
    case kUnauthorizedStatus:
      return ExitCode::kUnauthorized;
    case kNotFoundStatus:
      return ExitCode::kNotFound;
    case kConflictStatus:
      return ExitCode::kConflict;
    default:
      return status >= kFirstServerError ? ExitCode::kUnavailable
                                         : ExitCode::kRefused;
  }
}

std::string TextOf(const json& object, const char* field) {
  const auto found = object.is_object() ? object.find(field) : object.end();
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
}

// "conflict: version: current version is 7".
std::string ErrorTextOf(const net::HttpClientResponse& response) {
  if (response.progress != net::HttpProgress::kAnswered) {
    return response.transport_error;
  }
  const json body = json::parse(response.body, nullptr, false);
  const json error =
      body.is_object() && body.contains("error") ? body["error"] : json();
  std::string text = fmt::format("status {}", response.status);
  if (const std::string code = TextOf(error, "code"); !code.empty()) {
    text = code;
  }
  for (const char* part : {"field", "message"}) {
    if (const std::string more = TextOf(error, part); !more.empty()) {
      text += ": " + more;
    }
  }
  return text;
}

// How to learn what became of a change whose answer was lost.
std::string UnknownOutcomeHint(const ApiRequest& request) {
  if (request.change_id.empty()) {
    return "it may have been carried out";
  }
  return fmt::format(
      "it may have been carried out: ask with \"juniperwayctl changes {0}\", "
      "or send it again with --change-id {0}",
      request.change_id);
}

Failure GaveUp(const ApiRequest& request, bool may_have_run,
               const std::string& last_error) {
  const bool unknown = may_have_run && request.method != "GET";
  return {ExitCode::kUnavailable,
          unknown ? fmt::format("outcome unknown: {} (last: {})",
                                UnknownOutcomeHint(request), last_error)
                  : "unavailable: no control machine could answer (last: " +
                        last_error + ")"};
}

}  // namespace

Failure FailureOf(const net::HttpClientResponse& response) {
  return {ExitCodeOfStatus(response.status), ErrorTextOf(response)};
}

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    const bool plain = std::isalnum(byte) != 0 || character == '-' ||
                       character == '.' || character == '_' || character == '~';
    encoded += plain ? std::string(1, character) : fmt::format("%{:02X}", byte);
  }
  return encoded;
}

ApiClient::ApiClient(asio::io_context& context, ApiSettings settings)
    : context_(context),
      settings_(std::move(settings)),
      http_(context, /*maximum_connections_per_host=*/1) {
  RestartDeadline();
}

void ApiClient::RestartDeadline() {
  deadline_ = ReadMonotonicClock() + settings_.timeout;
}

void ApiClient::UseNextServer() {
  server_ = (server_ + 1) % settings_.servers.size();
}

Outcome<std::string> ApiClient::CallRaw(const ApiRequest& request) {
  const bool repeatable = request.method == "GET" || !request.change_id.empty();
  bool may_have_run = false;
  std::string last_error = "no time was left";
  for (std::size_t tries = 0;; ++tries) {
    const Duration pause = PauseBefore(tries, settings_.servers.size());
    if (ReadMonotonicClock() + pause >= deadline_) {
      return tl::unexpected(GaveUp(request, may_have_run, last_error));
    }
    Pause(pause);
    const std::string server = net::FormatEndpoint(settings_.servers[server_]);
    const net::HttpClientResponse response = TryOnce(request);
    const NextStep step = DecideNextStep(response, repeatable);
    if (step == NextStep::kDone) {
      if (response.status >= kFirstErrorStatus) {
        return tl::unexpected(FailureOf(response));
      }
      return response.body;
    }
    may_have_run = may_have_run || !WasNotRun(response);
    last_error = server + ": " + ErrorTextOf(response);
    if (step == NextStep::kOutcomeUnknown) {
      return tl::unexpected(GaveUp(request, may_have_run, last_error));
    }
    UseNextServer();
  }
}

Outcome<json> ApiClient::Call(const ApiRequest& request) {
  const Outcome<std::string> body = CallRaw(request);
  if (!body) {
    return tl::unexpected(body.error());
  }
  json parsed = json::parse(*body, nullptr, false);
  if (!parsed.is_object()) {
    return Fail(ExitCode::kUnavailable,
                "the answer is not JSON: is this a control machine?");
  }
  return parsed;
}

Outcome<json> ApiClient::Get(const std::string& path) {
  ApiRequest request;
  request.path = path;
  return Call(request);
}

net::HttpClientResponse ApiClient::TryOnce(const ApiRequest& request) {
  net::HttpClientRequest call;
  call.method = request.method;
  call.url = fmt::format("http://{}{}",
                         net::FormatEndpoint(settings_.servers[server_]),
                         request.path);
  call.body = request.body;
  call.timeout =
      std::min(request.attempt_timeout, deadline_ - ReadMonotonicClock());
  call.maximum_response_bytes = kMaximumResponseBytes;
  call.share_connection = false;
  if (!request.body.empty()) {
    call.headers.emplace_back("Content-Type", "application/json");
  }
  if (!request.change_id.empty()) {
    call.headers.emplace_back("X-Change-Id", request.change_id);
  }
  if (!settings_.token.empty()) {
    call.headers.emplace_back("Authorization", "Bearer " + settings_.token);
  }
  std::optional<net::HttpClientResponse> answer;
  http_.Start(std::move(call), [&](net::HttpClientResponse response) {
    answer = std::move(response);
  });
  context_.restart();
  while (!answer && context_.run_one() > 0) {
  }
  return answer.value_or(net::HttpClientResponse());
}

void ApiClient::Pause(Duration duration) {
  if (duration <= Duration(0)) {
    return;
  }
  asio::steady_timer timer(context_, duration);
  bool over = false;
  timer.async_wait([&](const asio::error_code&) { over = true; });
  context_.restart();
  while (!over && context_.run_one() > 0) {
  }
}

}  // namespace juniperway::ctl
