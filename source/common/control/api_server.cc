#include "common/control/api_server.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <asio/ip/address_v4.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "common/control/events.h"
#include "common/control/resource_api.h"
#include "common/net/address.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr std::size_t kMaximumChangeIdLength = 128;
constexpr std::uint64_t kMaximumWatchMilliseconds = 60000;
constexpr std::uint64_t kDefaultWatchMilliseconds = 30000;
// Short, because operators call /v1/status to find out whether there is a
// leader.
constexpr Duration kStatusTimeout = milliseconds(800);
constexpr std::string_view kBearer = "Bearer ";

asio::ip::tcp::endpoint ListenEndpoint(const ApiServer::Options& options) {
  if (!options.bearer_token.empty() || options.allow_without_token) {
    return options.listen;
  }
  logging::LogEvent(kApiLoopbackOnly, {{"port", options.listen.port()}});
  if (options.listen.address().is_loopback()) {
    return options.listen;
  }
  return {asio::ip::address_v4::loopback(), options.listen.port()};
}

bool IsPrintable(const std::string& text) {
  return std::ranges::all_of(text,
                             [](char c) { return c > ' ' && c < '\x7f'; });
}

// Parses a query parameter as an unsigned number; the error names the
// parameter.
Result<std::uint64_t> NumberParameter(const ApiCall& call,
                                      const std::string& name,
                                      std::uint64_t default_value) {
  auto parameter = call.parameters.find(name);
  if (parameter == call.parameters.end()) {
    return default_value;
  }
  const std::string& text = parameter->second;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(ErrorCode::kInvalidArgument, name,
                     "must be a whole number");
  }
  return number;
}

}  // namespace

ApiServer::ApiServer(asio::io_context& context, const Options& options,
                     Ports ports)
    : options_(options),
      ports_(std::move(ports)),
      random_(options.seed),
      watches_(ports_.state),
      orders_(context,
              {.start = options.order_start_timeout,
               .response = options.call_timeout},
              {.forward_to_leader = ports_.forward_to_leader,
               .on_dropped = ports_.on_order_dropped}),
      server_(context,
              net::HttpServerOptions{.endpoint = ListenEndpoint(options),
                                     .connection_listener = {}},
              [this](const net::HttpRequest& request,
                     const std::shared_ptr<net::HttpResponder>& responder) {
                Handle(request, responder);
              }) {}

void ApiServer::Close() {
  orders_.Stop();
  server_.Close();
}

void ApiServer::Handle(const net::HttpRequest& request,
                       const std::shared_ptr<net::HttpResponder>& responder) {
  const ApiCallback answer = [responder](net::HttpResponse response) {
    responder->Send(std::move(response));
  };
  if (!IsAuthorized(request)) {
    answer(FailureResponse({ErrorCode::kUnauthorized, "Authorization",
                            "the bearer token is missing or wrong"}));
    return;
  }
  auto call = MakeCall(request);
  if (!call) {
    answer(FailureResponse(call.error()));
    return;
  }
  const bool is_read = call->method == "GET";
  if (!is_read) {
    logging::LogEvent(kOrderReceived,
                      {{"change", call->change_id},
                       {"method", call->method},
                       {"path", call->path},
                       {"from", net::FormatEndpoint(request.remote)}});
  }
  if (is_read && call->path == "/v1/watch") {
    Watch(*call, answer);
  } else if (is_read && call->path == "/v1/backup") {
    answer(GetBackup());
  } else if (is_read && call->path == "/v1/status") {
    GetStatus(std::move(*call), answer);
  } else if (is_read && request.Parameter("local") == "true") {
    answer(ports_.read_locally(*call));
  } else if (NeedsOrderNumber(*call)) {
    orders_.Send(std::move(*call), ReadMonotonicClock(), responder);
  } else {
    ports_.forward_to_leader(
        std::move(*call), ReadMonotonicClock() + options_.call_timeout, answer);
  }
}

bool ApiServer::IsAuthorized(const net::HttpRequest& request) const {
  const std::string& token = options_.bearer_token;
  if (token.empty()) {
    return true;
  }
  const std::string given = request.Header("authorization").value_or("");
  // The comparison takes constant time, so that its duration does not reveal
  // how much of a wrong token is right.
  return given.starts_with(kBearer) &&
         given.size() == kBearer.size() + token.size() &&
         CRYPTO_memcmp(given.data() + kBearer.size(), token.data(),
                       token.size()) == 0;
}

Result<ApiCall> ApiServer::MakeCall(const net::HttpRequest& request) {
  ApiCall call;
  call.method = request.method;
  call.path = request.path;
  call.parameters = request.query;
  call.body = request.body;
  call.change_id = request.Header("x-change-id").value_or("");
  if (call.change_id.size() > kMaximumChangeIdLength ||
      !IsPrintable(call.change_id)) {
    return MakeError(
        ErrorCode::kInvalidArgument, "X-Change-Id",
        "must have 1 to 128 printable ASCII characters and no spaces");
  }
  if (call.change_id.empty() && call.method != "GET") {
    // A client without a change id cannot safely send the call again, but this
    // node may have to when it retries at a new leader.
    call.change_id = fmt::format("made-{:016x}{:016x}", random_(), random_());
  }
  return call;
}

void ApiServer::Watch(const ApiCall& call, const ApiCallback& answer) {
  const auto from = NumberParameter(call, "from", ports_.state().revision());
  const auto timeout =
      NumberParameter(call, "timeout_ms", kDefaultWatchMilliseconds);
  for (const auto* parameter : {&from, &timeout}) {
    if (!*parameter) {
      answer(FailureResponse(parameter->error()));
      return;
    }
  }
  const auto limited =
      static_cast<std::int64_t>(std::min(*timeout, kMaximumWatchMilliseconds));
  watches_.Add(*from, ReadMonotonicClock() + milliseconds(limited), answer);
}

void ApiServer::GetStatus(ApiCall call, const ApiCallback& answer) {
  ports_.forward_to_leader(std::move(call),
                           ReadMonotonicClock() + kStatusTimeout,
                           [this, answer](const net::HttpResponse& response) {
                             json body = {{"leader_reachable", false},
                                          {"tolerated_losses", -1},
                                          {"repaired", false}};
                             if (response.status == kStatusOk) {
                               body = json::parse(response.body);
                               body["leader_reachable"] = true;
                             }
                             body.update(ports_.describe_node());
                             answer(JsonResponse(kStatusOk, body));
                           });
}

net::HttpResponse ApiServer::GetBackup() const {
  auto content = ports_.create_backup();
  if (!content) {
    return FailureResponse(content.error());
  }
  net::HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = std::move(*content);
  return response;
}

}  // namespace juniperway::control
