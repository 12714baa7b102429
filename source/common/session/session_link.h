// The connection of a session: one at a time. What an earlier one still has to
// say is not passed on.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "common/base/time.h"
#include "common/net/frame_connection.h"

namespace juniperway::session {

class SessionLink : public std::enable_shared_from_this<SessionLink> {
 public:
  // Run on the context's thread, about the current connection only.
  struct Ports {
    std::function<void()> on_connected;
    std::function<void()> on_connect_failed;
    std::function<void(net::FrameBytes frame)> on_frame;
    // The connection was lost; it is still there until Drop().
    std::function<void()> on_closed;
  };

  SessionLink(asio::io_context& context, Ports ports);

  // Drops the connection there is and opens one.
  void Connect(const asio::ip::tcp::endpoint& endpoint, Duration timeout);
  // Closes the connection, or gives up the attempt, without a word.
  void Drop();
  // Drop, and no port runs any more.
  void Close();

  // Null while there is none.
  net::FrameConnection* connection() const { return connection_.get(); }
  // Totals over all connections.
  std::uint64_t sent_bytes() const;
  std::uint64_t received_bytes() const;

 private:
  void OnResult(Result<std::shared_ptr<net::FrameConnection>> result,
                std::uint64_t attempt);

  asio::io_context& context_;
  Ports ports_;
  std::shared_ptr<net::FrameConnection> connection_;
  // Tells callbacks of connections that were given up.
  std::uint64_t attempt_ = 0;
  bool closed_ = false;
  // Of earlier connections.
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
};

}  // namespace juniperway::session
