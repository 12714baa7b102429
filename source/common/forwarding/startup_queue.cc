#include "common/forwarding/startup_queue.h"

#include <utility>

namespace juniperway::forwarding {

StartupQueue::StartupQueue(asio::io_context& context, Handler on_expired)
    : timer_(context, kMaximumQueueTime) {
  timer_.async_wait([this, on_expired = std::move(on_expired)](
                        const asio::error_code& error) {
    if (!error) {
      Release(on_expired);
    }
  });
}

bool StartupQueue::Enqueue(const net::HttpRequest& message,
                           const std::shared_ptr<net::HttpResponder>& responder,
                           MonotonicTime now) {
  const std::size_t bytes = body_bytes_ + message.body.size();
  if (closed_ || queued_.size() >= kMaximumRequests ||
      bytes > kMaximumBodyBytes) {
    return false;
  }
  body_bytes_ = bytes;
  auto queued = std::make_shared<QueuedRequest>();
  queued->message = message;
  queued->responder = responder;
  queued->arrived = now;
  responder->OnClientGone([weak = std::weak_ptr<QueuedRequest>(queued)] {
    if (const auto request = weak.lock()) {
      request->client_gone = true;
    }
  });
  queued_.push_back(std::move(queued));
  return true;
}

void StartupQueue::Release(const Handler& handler) {
  closed_ = true;
  timer_.cancel();
  body_bytes_ = 0;
  const auto released = std::exchange(queued_, {});
  for (const QueuedRequestPointer& request : released) {
    if (!request->client_gone) {
      handler(request);
    }
  }
}

}  // namespace juniperway::forwarding
