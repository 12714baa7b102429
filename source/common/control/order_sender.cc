#include "common/control/order_sender.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "common/control/events.h"
#include "common/control/resource_api.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
// A close of the connection that arrived together with the order is read in a
// later turn of the event loop.
constexpr Duration kCallerCheckDelay = milliseconds(5);
constexpr const char* kRetryAfterSeconds = "0.2";

bool IsMemberCall(const ApiCall& call) {
  return call.path == "/v1/members" || call.path.starts_with("/v1/members/");
}

// Returns the number for `call` in the leader's answer, or nullopt when it has
// none.
std::optional<OrderNumber> ParseLatest(const std::string& body,
                                       const ApiCall& call) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  const auto latest =
      parsed.find(IsMemberCall(call) ? kLatestMembersField : kLatestOrderField);
  return latest != parsed.end() && latest->is_number_unsigned()
             ? std::optional(latest->get<OrderNumber>())
             : std::nullopt;
}

// Whether the leader refused the order for its number: a later one was
// accepted, or the leader does not know the number.
bool IsOvertaken(const net::HttpResponse& response) {
  if (response.status != kStatusConflict && response.status != kStatusInvalid) {
    return false;
  }
  const json body =
      json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  return body.is_object() && body.contains("error") &&
         body["error"].is_object() &&
         body["error"].value("field", "") == kBasedOnParameter;
}

}  // namespace

std::string_view NameOf(OrderDropReason reason) {
  switch (reason) {
    case OrderDropReason::kNoLeader:
      return "no_leader";
    case OrderDropReason::kCallerLeft:
      return "caller_left";
    case OrderDropReason::kTooLate:
      return "too_late";
    case OrderDropReason::kOvertaken:
      return "overtaken";
  }
  return "unknown";
}

bool NeedsOrderNumber(const ApiCall& call) {
  const bool is_order = call.path.starts_with("/v1/evacuations/") ||
                        call.path.starts_with("/v1/crashing-requests/") ||
                        call.path == "/v1/rollouts" ||
                        call.path.starts_with("/v1/rollouts/") ||
                        call.path == "/v1/apply" || IsMemberCall(call);
  return is_order && call.method != "GET" &&
         !call.parameters.contains(kBasedOnParameter);
}

OrderSender::OrderSender(asio::io_context& context, const OrderTiming& timing,
                         Ports ports)
    : context_(context), timing_(timing), ports_(std::move(ports)) {}

OrderSender::~OrderSender() { Stop(); }

void OrderSender::Send(ApiCall call, MonotonicTime received,
                       std::shared_ptr<net::HttpResponder> responder) {
  const auto order =
      std::make_shared<Order>(context_, std::move(call), std::move(responder));
  order->start_deadline = received + timing_.start;
  order->deadline = received + timing_.response;
  order->responder->OnClientGone([weak = std::weak_ptr<Order>(order)] {
    if (const auto left = weak.lock()) {
      left->caller_left = true;
    }
  });
  AskForNumber(order);
}

void OrderSender::AskForNumber(const OrderPointer& order) {
  ApiCall read;
  read.method = "GET";
  read.path = kOrdersPath;
  ports_.forward_to_leader(
      std::move(read), order->start_deadline,
      [this, alive = alive_, order](const net::HttpResponse& response) {
        if (*alive) {
          OnNumber(order, response);
        }
      });
}

void OrderSender::OnNumber(const OrderPointer& order,
                           const net::HttpResponse& response) {
  const auto latest = ParseLatest(response.body, order->call);
  if (response.status == kStatusOk && latest) {
    order->call.parameters[kBasedOnParameter] = std::to_string(*latest);
  } else if (response.status != kStatusNotFound) {
    Drop(order, OrderDropReason::kNoLeader);
    return;
  }
  // A leader that answers 404 does not number orders.
  ++starting_;
  order->timer.expires_after(kCallerCheckDelay);
  order->timer.async_wait(
      [this, alive = alive_, order](const asio::error_code& error) {
        if (!error && *alive) {
          --starting_;
          Start(order);
        }
      });
}

void OrderSender::Start(const OrderPointer& order) {
  if (order->caller_left) {
    Drop(order, OrderDropReason::kCallerLeft);
    return;
  }
  if (ReadMonotonicClock() > order->start_deadline) {
    Drop(order, OrderDropReason::kTooLate);
    return;
  }
  ports_.forward_to_leader(
      order->call, order->deadline,
      [this, alive = alive_, order](net::HttpResponse response) {
        if (*alive) {
          OnResponse(order, std::move(response));
        }
      });
}

void OrderSender::OnResponse(const OrderPointer& order,
                             net::HttpResponse response) {
  if (!IsOvertaken(response)) {
    order->responder->Send(std::move(response));
    return;
  }
  if (order->caller_left || ReadMonotonicClock() > order->start_deadline) {
    Drop(order, OrderDropReason::kOvertaken);
    return;
  }
  AskForNumber(order);
}

void OrderSender::Drop(const OrderPointer& order, OrderDropReason reason) {
  logging::LogEvent(kOrderDropped, {{"change", order->call.change_id},
                                    {"method", order->call.method},
                                    {"path", order->call.path},
                                    {"reason", NameOf(reason)}});
  ports_.on_dropped(reason);
  net::HttpResponse response = FailureResponse(
      {ErrorCode::kUnavailable, "",
       order->call.method + " " + order->call.path +
           " was not carried out: " + std::string(NameOf(reason))});
  response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  order->responder->Send(std::move(response));
}

}  // namespace juniperway::control
