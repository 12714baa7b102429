// The listener for other control machines and for daemons: the first frame of a
// connection says which of the two it is, and whether it is of this cluster.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/base/time.h"
#include "common/net/frame_connection.h"
#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

class PeerListener {
 public:
  using Connection = std::shared_ptr<net::FrameConnection>;

  struct Ports {
    // A control machine's connection, and its frames.
    std::function<void(const protocol::PeerHelloT&, Connection)>
        on_peer_connected;
    std::function<void(raft::NodeId, net::FrameBytes, const Connection&)>
        on_peer_frame;
    // A daemon's session; 0: refused. Then its frames and its end.
    std::function<std::uint64_t(const Connection&,
                                const protocol::SessionHelloT&)>
        open_session;
    std::function<void(std::uint64_t, net::FrameBytes)> on_session_frame;
    std::function<void(std::uint64_t)> on_session_closed;
  };

  // Throws std::system_error when the address cannot be bound.
  PeerListener(asio::io_context& context,
               const asio::ip::tcp::endpoint& endpoint, std::string cluster,
               raft::NodeId node_id, Ports ports);
  ~PeerListener();
  PeerListener(const PeerListener&) = delete;
  PeerListener& operator=(const PeerListener&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const {
    return listener_.local_endpoint();
  }
  // Closes connections that said no hello in time; to be called a few times a
  // second.
  void Tick(MonotonicTime now);
  // Closes the listener and every connection; nothing runs after this.
  void Close();

 private:
  // What a connection turned out to be: neither is set before its hello.
  struct Inbound {
    Connection connection;
    MonotonicTime accepted;
    raft::NodeId peer = raft::kNoNode;
    std::uint64_t session = 0;
  };

  void OnAccept(Connection connection);
  void OnFrame(std::uint64_t inbound_id, net::FrameBytes bytes);
  void OnClosed(std::uint64_t inbound_id);
  // @return false when the connection is to be closed.
  bool OnHello(Inbound& inbound, net::FrameBytes bytes);

  std::string cluster_;
  raft::NodeId node_id_;
  Ports ports_;
  std::uint64_t last_inbound_id_ = 0;
  std::map<std::uint64_t, Inbound> inbound_;
  // Handlers that outlive this object find it gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::FrameListener listener_;
};

}  // namespace juniperway::control
