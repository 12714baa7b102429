#include "common/net/listener_check.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "common/net/address.h"

namespace juniperway::net {
namespace {

// One check; keeps itself alive while it is under way.
class Check : public std::enable_shared_from_this<Check> {
 public:
  Check(asio::io_context& context, std::function<void(ListenerState)> callback)
      : socket_(context), timer_(context), callback_(std::move(callback)) {}

  void Start(const asio::ip::tcp::endpoint& endpoint, Duration timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& e) {
      if (!e) {
        self->Finish(ListenerState::kUnknown);
      }
    });
    socket_.async_connect(
        endpoint, [self = shared_from_this()](const asio::error_code& error) {
          self->Finish(StateOf(error));
        });
  }

 private:
  static ListenerState StateOf(const asio::error_code& error) {
    if (!error) {
      return ListenerState::kListens;
    }
    return error == asio::error::connection_refused ? ListenerState::kGone
                                                    : ListenerState::kUnknown;
  }

  void Finish(ListenerState state) {
    if (!callback_) {
      return;
    }
    timer_.cancel();
    asio::error_code ignored;  // It is closed either way.
    socket_.close(ignored);
    std::exchange(callback_, nullptr)(state);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::function<void(ListenerState)> callback_;
};

}  // namespace

void CheckListener(asio::io_context& context, const std::string& address,
                   Duration timeout,
                   std::function<void(ListenerState)> callback) {
  const auto endpoint = ParseEndpoint(address, "address");
  if (!endpoint) {
    asio::post(context, [callback = std::move(callback)] {
      callback(ListenerState::kUnknown);
    });
    return;
  }
  std::make_shared<Check>(context, std::move(callback))
      ->Start(*endpoint, timeout);
}

}  // namespace juniperway::net
