#include "lab/proxy/connection.h"

#include <asio/socket_base.hpp>
#include <utility>

namespace juniperway::lab {

ProxiedConnection::ProxiedConnection(asio::io_context& context,
                                     ProxyState& state,
                                     asio::ip::tcp::socket near,
                                     std::string from, std::string to)
    : context_(context),
      state_(state),
      near_(std::move(near)),
      far_(context),
      from_(std::move(from)),
      to_(std::move(to)),
      timer_(context) {}

void ProxiedConnection::Start(const asio::ip::tcp::endpoint& target,
                              CloseListener on_close) {
  target_ = target;
  on_close_ = std::move(on_close);
  const std::shared_ptr<ProxiedConnection> self = shared_from_this();
  const auto on_end = [this](bool reset) { HandleEnd(reset); };
  outward_ = std::make_shared<Pump>(
      context_, near_, far_, [this] { return Outward(); }, state_.random, self,
      on_end);
  inward_ = std::make_shared<Pump>(
      context_, far_, near_, [this] { return Inward(); }, state_.random, self,
      on_end);
  asio::error_code ignored;
  near_.set_option(asio::ip::tcp::no_delay(true), ignored);
  // The caller's kernel has connected to the proxy at once; the handshake with
  // the far machine would have taken a round trip.
  const MonotonicTime handshake_done =
      ReadMonotonicClock() + Outward().delay + Inward().delay;
  outward_->Start(handshake_done);
  timer_.expires_after(Outward().delay);
  timer_.async_wait([self](const asio::error_code& error) {
    if (!error) {
      self->ConnectWhenUnblocked();
    }
  });
}

void ProxiedConnection::ConnectWhenUnblocked() {
  if (closed_ || connecting_ || Outward().blocked || Inward().blocked) {
    return;  // Wake() comes here again.
  }
  connecting_ = true;
  Connect();
}

void ProxiedConnection::Connect() {
  far_.async_connect(
      target_, [self = shared_from_this()](const asio::error_code& error) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->refused_ = true;
          self->Close(true);
          return;
        }
        asio::error_code ignored;
        self->far_.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->connected_ = true;
        self->outward_->AllowWrites();
        self->inward_->Start(ReadMonotonicClock());
        self->inward_->AllowWrites();
      });
}

void ProxiedConnection::Wake() {
  if (closed_) {
    return;
  }
  if (!connected_) {
    ConnectWhenUnblocked();
    return;
  }
  const std::shared_ptr<ProxiedConnection> self = shared_from_this();
  outward_->Wake();
  inward_->Wake();
}

void ProxiedConnection::Reset() { Close(true); }

void ProxiedConnection::HandleEnd(bool reset) {
  ++ended_directions_;
  if (reset || ended_directions_ == 2) {
    Close(reset);
  }
}

void ProxiedConnection::Close(bool reset) {
  if (closed_) {
    return;
  }
  closed_ = true;
  const std::shared_ptr<ProxiedConnection> self = shared_from_this();
  timer_.cancel();
  outward_->Stop();
  inward_->Stop();
  asio::error_code ignored;
  if (reset) {
    const asio::socket_base::linger reset_at_close(true, 0);
    near_.set_option(reset_at_close, ignored);
    far_.set_option(reset_at_close, ignored);
  }
  near_.close(ignored);
  far_.close(ignored);
  const CloseListener on_close = std::exchange(on_close_, nullptr);
  on_close();
}

}  // namespace juniperway::lab
