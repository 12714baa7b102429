// One proxied TCP connection: its two sockets and the pumps between them.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lab/proxy/link.h"
#include "lab/proxy/pump.h"

namespace juniperway::lab {

class ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  using CloseListener = std::function<void()>;

  // @param from machine that opened it; @param to machine of the target.
  ProxiedConnection(asio::io_context& context, ProxyState& state,
                    asio::ip::tcp::socket near, std::string from,
                    std::string to);

  // Connects to the target after the path's round trip and starts to pass
  // bytes. `on_close` runs once.
  void Start(const asio::ip::tcp::endpoint& target, CloseListener on_close);
  void Wake();
  // Closes both sides with a reset.
  void Reset();

  const std::string& from() const { return from_; }
  // The target took no connection.
  bool refused() const { return refused_; }
  std::uint64_t bytes_to_target() const { return outward_->passed_bytes(); }
  std::uint64_t bytes_from_target() const { return inward_->passed_bytes(); }

 private:
  PathQuality Outward() const { return state_.topology.Quality(from_, to_); }
  PathQuality Inward() const { return state_.topology.Quality(to_, from_); }
  void ConnectWhenUnblocked();
  void Connect();
  void HandleEnd(bool reset);
  void Close(bool reset);

  asio::io_context& context_;
  ProxyState& state_;
  asio::ip::tcp::socket near_;
  asio::ip::tcp::socket far_;
  std::string from_;
  std::string to_;
  asio::ip::tcp::endpoint target_;
  asio::steady_timer timer_;
  std::shared_ptr<Pump> outward_;
  std::shared_ptr<Pump> inward_;
  CloseListener on_close_;
  int ended_directions_ = 0;
  bool connecting_ = false;
  bool connected_ = false;
  bool refused_ = false;
  bool closed_ = false;
};

}  // namespace juniperway::lab
