// Sends operators' orders that have no version of their own (evacuations,
// rollouts, releases of requests, creations of resources, members of the
// control group) to the leader, so that an order never undoes a later one.
//
// Callers that get no response go on to another control node, and may order
// something else there. This node can still hold the order then: it was
// suspended, or knew no leader. It therefore asks the leader for the number of
// the newest order, makes sure that the caller still waits, and only then sends
// the order, based on that number. The leader refuses it if a later order on
// the same subject was accepted in the meantime.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "common/base/time.h"
#include "common/control/api_call.h"
#include "common/control/order_table.h"

namespace juniperway::control {

// Why an order was not carried out.
enum class OrderDropReason {
  kNoLeader,    // No leader told its newest order in time.
  kCallerLeft,  // The caller closed its connection.
  kTooLate,     // The node was too slow to start the order.
  kOvertaken,   // A later order on the same subject was accepted.
};
inline constexpr std::array kOrderDropReasons = {
    OrderDropReason::kNoLeader, OrderDropReason::kCallerLeft,
    OrderDropReason::kTooLate, OrderDropReason::kOvertaken};

// Returns the reason's name in logs and metrics.
std::string_view NameOf(OrderDropReason reason);

// Whether a call is an order that the sender has to number: it changes state,
// has no version, and does not name the order that it is based on.
bool NeedsOrderNumber(const ApiCall& call);

// Longest times since the order arrived.
struct OrderTiming {
  Duration start;     // Until the order is started.
  Duration response;  // Until the response.
};

// Owned by ApiServer. Runs on the thread of its io_context.
class OrderSender {
 public:
  struct Ports {
    // See ApiServer::Ports::forward_to_leader.
    std::function<void(ApiCall, MonotonicTime deadline, ApiCallback)>
        forward_to_leader;
    // Called for each order that was not carried out.
    std::function<void(OrderDropReason)> on_dropped;
  };

  OrderSender(asio::io_context& context, const OrderTiming& timing,
              Ports ports);
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  // Sends an order that arrived at `received`. The response goes to
  // `responder`: the leader's, or status 503 when the order was not run.
  void Send(ApiCall call, MonotonicTime received,
            std::shared_ptr<net::HttpResponder> responder);

  // Forgets every order; their callers get no response from here.
  void Stop() { *alive_ = false; }

  // Whether every order that has its number was passed on or dropped.
  bool idle() const { return starting_ == 0; }

 private:
  struct Order {
    Order(asio::io_context& context, ApiCall order_call,
          std::shared_ptr<net::HttpResponder> order_responder)
        : call(std::move(order_call)),
          responder(std::move(order_responder)),
          timer(context) {}

    ApiCall call;
    // The order is not started later than this.
    MonotonicTime start_deadline;
    MonotonicTime deadline;
    std::shared_ptr<net::HttpResponder> responder;
    asio::steady_timer timer;
    bool caller_left = false;
  };
  using OrderPointer = std::shared_ptr<Order>;

  void AskForNumber(const OrderPointer& order);
  void OnNumber(const OrderPointer& order, const net::HttpResponse& response);
  // Sends the order if its caller still waits.
  void Start(const OrderPointer& order);
  void OnResponse(const OrderPointer& order, net::HttpResponse response);
  // Ends an order that was not run and never will be.
  void Drop(const OrderPointer& order, OrderDropReason reason);

  asio::io_context& context_;
  OrderTiming timing_;
  Ports ports_;
  // Orders that have their number and wait for the check of the caller.
  std::size_t starting_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
