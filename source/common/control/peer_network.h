// Manages the connections between control nodes. Each node opens one connection
// to every other node and accepts one from each. A frame is sent on the
// connection that last received a frame, so an answer is sent on the connection
// on which its request arrived. Frames may be lost; the consensus module and
// the sender of a forwarded call send their messages again.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/base/locality.h"
#include "common/net/frame_connection.h"
#include "common/protocol/control_generated.h"
#include "common/raft/types.h"
#include "common/session/control_frames.h"

namespace juniperway::control {

// The connections of one control node to the others. ControlNode owns the
// object; connect handlers hold weak references to it.
class PeerNetwork : public std::enable_shared_from_this<PeerNetwork> {
 public:
  using FrameHandler =
      std::function<void(raft::NodeId from, protocol::ControlFrameT frame)>;

  // The fields of the hello that this node sends to other nodes.
  struct Identity {
    std::string cluster;
    raft::NodeId node_id = raft::kNoNode;
    Place place;
  };

  // @param seed of the random delays between connection attempts.
  // @param on_frame handles each frame from another node.
  PeerNetwork(asio::io_context& context, Identity identity, std::uint64_t seed,
              FrameHandler on_frame);

  // Sets the members to keep a connection to; this node itself is ignored.
  void SetPeers(const std::vector<raft::Member>& members);

  // Adds a connection that another control node opened and whose hello was
  // accepted. Closes the earlier connection that the same node opened.
  void AddIncomingConnection(raft::NodeId from,
                             std::shared_ptr<net::FrameConnection> connection);
  // Handles a frame that was received on `connection`.
  void OnFrame(raft::NodeId from, net::FrameBytes bytes,
               const std::shared_ptr<net::FrameConnection>& connection);

  // Sends a message that node `to` answers. When that node sends nothing within
  // the timeout, Tick() closes its connections and connects again.
  // @return false when no usable connection to that node is open.
  template <typename Message>
  bool Send(raft::NodeId to, Message message) {
    return SendOn(FindConnection(to, /*awaits_answer=*/true),
                  std::move(message));
  }
  // Sends a message that is not answered, without the timeout of Send().
  template <typename Message>
  bool SendOneWay(raft::NodeId to, Message message) {
    return SendOn(FindConnection(to, /*awaits_answer=*/false),
                  std::move(message));
  }

  // Returns the number of bytes that are queued on the open connections to that
  // node.
  std::size_t QueuedBytes(raft::NodeId to) const;

  // Closes the connections of unresponsive nodes and opens missing ones. The
  // caller calls this several times a second.
  void Tick(MonotonicTime now);
  // Closes every connection; no callback runs after this call.
  void Stop();

 private:
  using Connection = std::shared_ptr<net::FrameConnection>;

  struct Path {
    Connection connection;
    // Time at which the connection was opened or last received a frame.
    MonotonicTime last_received = MonotonicTime::min();
  };

  struct Peer {
    std::string address;  // empty: only the peer can connect
    bool should_connect = false;
    bool connecting = false;
    MonotonicTime next_attempt = MonotonicTime::min();
    Path outgoing;
    Path incoming;
    // Time at which this node sent the first frame that awaits an answer and
    // that follows the peer's latest frame, on either path.
    MonotonicTime unanswered_since = MonotonicTime::max();
  };

  template <typename Message>
  static bool SendOn(net::FrameConnection* connection, Message message) {
    if (connection == nullptr) {
      return false;
    }
    session::SendMessage(*connection, std::move(message));
    return true;
  }
  // @param awaits_answer starts the unresponsiveness timeout unless it already
  // runs.
  net::FrameConnection* FindConnection(raft::NodeId to, bool awaits_answer);
  void Connect(raft::NodeId id, Peer& peer);
  void OnConnected(raft::NodeId id,
                   Result<std::shared_ptr<net::FrameConnection>> result);
  void CloseConnections(Peer& peer);
  // Whether the path's connection is open and its queue below the maximum.
  static bool IsUsable(const Path& path);

  asio::io_context& context_;
  Identity identity_;
  std::mt19937_64 random_;
  FrameHandler on_frame_;
  std::map<raft::NodeId, Peer> peers_;
  bool stopped_ = false;
};

}  // namespace juniperway::control
