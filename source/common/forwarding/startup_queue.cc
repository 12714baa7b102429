#include "common/forwarding/startup_queue.h"

#include <utility>

namespace juniperway::forwarding {

StartupQueue::StartupQueue(asio::io_context& context, Handler on_expired)
    : timer_(context, kLongestHold) {
  timer_.async_wait([this, on_expired = std::move(on_expired)](
                        const asio::error_code& error) {
    if (!error) {
      Release(on_expired);
    }
  });
}

bool StartupQueue::Hold(const net::HttpRequest& message,
                        const std::shared_ptr<net::HttpResponder>& responder,
                        MonotonicTime now) {
  const std::size_t bytes = body_bytes_ + message.body.size();
  if (closed_ || held_.size() >= kMaximumRequests ||
      bytes > kMaximumBodyBytes) {
    return false;
  }
  body_bytes_ = bytes;
  auto held = std::make_shared<HeldRequest>();
  held->message = message;
  held->responder = responder;
  held->arrived = now;
  responder->OnCallerGone([weak = std::weak_ptr<HeldRequest>(held)] {
    if (const auto request = weak.lock()) {
      request->caller_gone = true;
    }
  });
  held_.push_back(std::move(held));
  return true;
}

void StartupQueue::Release(const Handler& handler) {
  closed_ = true;
  timer_.cancel();
  body_bytes_ = 0;
  const auto released = std::exchange(held_, {});
  for (const HeldRequestPointer& request : released) {
    if (!request->caller_gone) {
      handler(request);
    }
  }
}

}  // namespace juniperway::forwarding
