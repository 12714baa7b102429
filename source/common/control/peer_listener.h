// Accepts connections from other control nodes and from daemons. The first
// frame of a connection (PeerHello or SessionHello) shows which of the two has
// connected and to which cluster the sender belongs.
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

// Owned by ControlNode; passes accepted connections and their frames to the
// ports. Owns each connection until it closes; on_peer_connected and
// open_session share the ownership of their connection.
class PeerListener {
 public:
  using Connection = std::shared_ptr<net::FrameConnection>;

  struct Ports {
    // The listener calls the first port when a control node has connected, and
    // the second for each of the node's frames.
    std::function<void(const protocol::PeerHelloT&, Connection)>
        on_peer_connected;
    std::function<void(raft::NodeId, net::FrameBytes, const Connection&)>
        on_peer_frame;
    // Opens a daemon's session and returns the session's id, or 0 when the
    // session is refused. The listener then calls the next two ports for each
    // frame of the session and at the end of the session.
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
  // Closes connections whose hello did not arrive within the timeout. The
  // caller calls this several times a second.
  void Tick(MonotonicTime now);
  // Closes the listener and every connection; no callback runs after this call.
  void Close();

 private:
  // An accepted connection. `peer` and `session` are unset until the hello
  // frame arrives; the listener then sets one of them.
  struct Inbound {
    Connection connection;
    MonotonicTime accepted;
    raft::NodeId peer = raft::kNoNode;
    std::uint64_t session = 0;
  };

  void OnAccept(Connection connection);
  void OnFrame(std::uint64_t inbound_id, net::FrameBytes bytes);
  void OnClosed(std::uint64_t inbound_id);
  // @return false when the connection must be closed.
  bool OnHello(Inbound& inbound, net::FrameBytes bytes);

  std::string cluster_;
  raft::NodeId node_id_;
  Ports ports_;
  std::uint64_t last_inbound_id_ = 0;
  std::map<std::uint64_t, Inbound> inbound_;
  // Each handler keeps a copy of the pointer, and returns without effect when
  // the value is false because the object was closed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  net::FrameListener listener_;
};

}  // namespace juniperway::control
