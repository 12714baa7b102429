// Requests that reach a router before it has its first route table. A router
// that has just started gets the table within a fraction of a second; refusing
// what arrives until then would cost clients one of their few tries.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "common/base/time.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

class StartupQueue {
 public:
  // What is held is handed back after this time since the start at the latest:
  // about twice what a router takes to its table while control answers. It is
  // short of the second for which clients wait for a first sign.
  static constexpr Duration kLongestHold = milliseconds(900);
  static constexpr std::size_t kMaximumRequests = 512;
  static constexpr std::size_t kMaximumBodyBytes = 8U << 20;

  struct HeldRequest {
    net::HttpRequest message;
    std::shared_ptr<net::HttpResponder> responder;
    MonotonicTime arrived;
    bool caller_gone = false;
  };
  using HeldRequestPointer = std::shared_ptr<HeldRequest>;
  using Handler = std::function<void(const HeldRequestPointer&)>;

  // @param on_expired gets what is still held when the time is over.
  StartupQueue(asio::io_context& context, Handler on_expired);

  // @return false when the request cannot be held: the time is over, or the
  //   queue is full.
  bool Hold(const net::HttpRequest& message,
            const std::shared_ptr<net::HttpResponder>& responder,
            MonotonicTime now);

  // Hands everything to `handler`, in the order of arrival, and holds nothing
  // from then on.
  void Release(const Handler& handler);

  std::size_t size() const { return held_.size(); }

 private:
  bool closed_ = false;
  std::list<HeldRequestPointer> held_;
  std::size_t body_bytes_ = 0;
  asio::steady_timer timer_;
};

}  // namespace juniperway::forwarding
