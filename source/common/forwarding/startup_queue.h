// Queues requests that reach a router before it has its first route table. A
// router that has just started receives the table within a fraction of a
// second; if the router refused requests until then, each client would lose one
// of its few retries. RouterServer owns the queue, which runs on the
// io_context's thread.
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

// A bounded queue of early requests; see the top of this file.
class StartupQueue {
 public:
  // Queued requests expire this long after the router's start: about twice the
  // time until the first table while the control group answers. It is shorter
  // than the second that clients wait for the first byte of an answer.
  static constexpr Duration kMaximumQueueTime = milliseconds(900);
  static constexpr std::size_t kMaximumRequests = 512;
  static constexpr std::size_t kMaximumBodyBytes = 8U << 20;

  struct QueuedRequest {
    net::HttpRequest message;
    std::shared_ptr<net::HttpResponder> responder;
    MonotonicTime arrived;
    bool client_gone = false;
  };
  using QueuedRequestPointer = std::shared_ptr<QueuedRequest>;
  using Handler = std::function<void(const QueuedRequestPointer&)>;

  // @param on_expired called with each request that is still queued after
  //   kMaximumQueueTime.
  StartupQueue(asio::io_context& context, Handler on_expired);

  // @return false when the request cannot be queued: the queue is closed or
  //   full.
  bool Enqueue(const net::HttpRequest& message,
               const std::shared_ptr<net::HttpResponder>& responder,
               MonotonicTime now);

  // Passes the queued requests whose client is still connected to `handler`, in
  // the order of arrival, and closes the queue.
  void Release(const Handler& handler);

  std::size_t size() const { return queued_.size(); }

 private:
  bool closed_ = false;
  std::list<QueuedRequestPointer> queued_;
  std::size_t body_bytes_ = 0;
  asio::steady_timer timer_;
};

}  // namespace juniperway::forwarding
