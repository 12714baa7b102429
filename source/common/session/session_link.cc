#include "common/session/session_link.h"

#include <utility>

namespace juniperway::session {

SessionLink::SessionLink(asio::io_context& context, Ports ports)
    : context_(context), ports_(std::move(ports)) {}

void SessionLink::Connect(const asio::ip::tcp::endpoint& endpoint,
                          Duration timeout) {
  Drop();
  net::FrameConnection::Connect(
      context_, endpoint, timeout,
      [weak = weak_from_this(), attempt = attempt_](
          Result<std::shared_ptr<net::FrameConnection>> result) {
        auto self = weak.lock();
        if (!self || self->closed_ || attempt != self->attempt_) {
          if (result) {
            (*result)->Close();
          }
          return;
        }
        self->OnResult(std::move(result), attempt);
      });
}

void SessionLink::OnResult(Result<std::shared_ptr<net::FrameConnection>> result,
                           std::uint64_t attempt) {
  if (!result) {
    ports_.on_connect_failed();
    return;
  }
  connection_ = std::move(*result);
  connection_->Start(
      [weak = weak_from_this(), attempt](net::FrameBytes frame) {
        auto self = weak.lock();
        if (self && !self->closed_ && attempt == self->attempt_) {
          self->ports_.on_frame(frame);
        }
      },
      [weak = weak_from_this(), attempt] {
        auto self = weak.lock();
        if (self && !self->closed_ && attempt == self->attempt_) {
          self->ports_.on_closed();
        }
      });
  ports_.on_connected();
}

void SessionLink::Drop() {
  ++attempt_;
  if (!connection_) {
    return;
  }
  sent_bytes_ += connection_->sent_bytes();
  received_bytes_ += connection_->received_bytes();
  connection_->Close();
  connection_.reset();
}

void SessionLink::Close() {
  Drop();
  closed_ = true;
}

std::uint64_t SessionLink::sent_bytes() const {
  return sent_bytes_ + (connection_ ? connection_->sent_bytes() : 0);
}

std::uint64_t SessionLink::received_bytes() const {
  return received_bytes_ + (connection_ ? connection_->received_bytes() : 0);
}

}  // namespace juniperway::session
