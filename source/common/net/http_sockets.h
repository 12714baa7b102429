// The open sockets of HTTP servers, so that a server can close its connections:
// RESTinio has no way to enumerate them.
#pragma once

#include <asio/execution_context.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <unordered_set>
#include <utility>

namespace juniperway::net {

// Sockets of the servers on one io_context.
class SocketRegistry : public asio::execution_context::service {
 public:
  static asio::execution_context::id id;

  explicit SocketRegistry(asio::execution_context& context)
      : asio::execution_context::service(context) {}

  void Add(asio::ip::tcp::socket* socket) { sockets_.insert(socket); }
  void Remove(asio::ip::tcp::socket* socket) { sockets_.erase(socket); }

  // Shuts down the connections that `listener` accepted. RESTinio then reads
  // end of file and closes them.
  void ShutDown(const asio::ip::tcp::endpoint& listener) {
    for (asio::ip::tcp::socket* socket : sockets_) {
      std::error_code error;
      const asio::ip::tcp::endpoint local = socket->local_endpoint(error);
      const bool accepted_here = !error && local.port() == listener.port() &&
                                 (listener.address().is_unspecified() ||
                                  local.address() == listener.address());
      if (accepted_here) {
        socket->shutdown(asio::ip::tcp::socket::shutdown_both, error);
      }
    }
  }

 private:
  void shutdown() override {}

  std::unordered_set<asio::ip::tcp::socket*> sockets_;
};

// A TCP socket that is listed in its context's SocketRegistry.
class RegisteredSocket : public asio::ip::tcp::socket {
 public:
  explicit RegisteredSocket(asio::io_context& context)
      : asio::ip::tcp::socket(context),
        registry_(&asio::use_service<SocketRegistry>(context)) {
    registry_->Add(this);
  }
  RegisteredSocket(RegisteredSocket&& other) noexcept
      : asio::ip::tcp::socket(
            std::move(static_cast<asio::ip::tcp::socket&>(other))),
        registry_(other.registry_) {
    registry_->Add(this);
  }
  RegisteredSocket(const RegisteredSocket&) = delete;
  RegisteredSocket& operator=(const RegisteredSocket&) = delete;
  RegisteredSocket& operator=(RegisteredSocket&&) = delete;
  ~RegisteredSocket() { registry_->Remove(this); }

 private:
  SocketRegistry* registry_;
};

}  // namespace juniperway::net
