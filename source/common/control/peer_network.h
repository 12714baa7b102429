// Connections between control machines. Each machine opens one to every other
// and keeps those that the others opened to it; a frame goes out on the one
// that last showed that it works, so that answers come back the way of what
// they answer. Frames may be lost: consensus and calls cope.
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

class PeerNetwork : public std::enable_shared_from_this<PeerNetwork> {
 public:
  using FrameHandler =
      std::function<void(raft::NodeId from, protocol::ControlFrameT frame)>;

  // What this machine says of itself to the others.
  struct Identity {
    std::string cluster;
    raft::NodeId node_id = raft::kNoNode;
    Place place;
  };

  PeerNetwork(asio::io_context& context, Identity identity, std::uint64_t seed,
              FrameHandler on_frame);

  // The machines to keep a connection to; this node itself is passed over.
  void SetPeers(const std::vector<raft::Member>& members);

  // Takes over a connection that another machine opened and said hello on.
  void AddIncomingConnection(raft::NodeId from,
                             std::shared_ptr<net::FrameConnection> connection);
  // A frame that came on an adopted connection.
  void OnFrame(raft::NodeId from, net::FrameBytes bytes,
               const std::shared_ptr<net::FrameConnection>& connection);

  // A machine that sends nothing after this for a while is taken for
  // unreachable.
  // @return false when no connection to that machine is up.
  template <typename Message>
  bool Send(raft::NodeId to, Message message) {
    return SendOn(FindConnection(to, /*awaits_answer=*/true),
                  std::move(message));
  }
  // The same for the last message of an exchange, which nothing answers.
  template <typename Message>
  bool SendOneWay(raft::NodeId to, Message message) {
    return SendOn(FindConnection(to, /*awaits_answer=*/false),
                  std::move(message));
  }

  // Bytes that wait on the connection to that machine; 0 when none is up.
  std::size_t QueuedBytes(raft::NodeId to) const;

  // Opens anew what looks dead; to be called a few times a second.
  void Tick(MonotonicTime now);
  // Closes every connection; nothing runs after this.
  void Stop();

 private:
  using Connection = std::shared_ptr<net::FrameConnection>;

  struct Path {
    Connection connection;
    // When it was opened, or a frame last came on it.
    MonotonicTime last_received = MonotonicTime::min();
  };

  struct Peer {
    std::string address;  // empty: only it can connect
    bool should_connect = false;
    bool connecting = false;
    MonotonicTime next_attempt = MonotonicTime::min();
    Path outgoing;
    Path incoming;
    // When a frame was first sent after the last one came, on either path.
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
  // @param awaits_answer the silence of the machine is measured from now on.
  net::FrameConnection* FindConnection(raft::NodeId to, bool awaits_answer);
  void Connect(raft::NodeId id, Peer& peer);
  void OnConnected(raft::NodeId id,
                   Result<std::shared_ptr<net::FrameConnection>> result);
  void CloseConnections(Peer& peer);
  // Open, and not overfull.
  static bool IsUsable(const Path& path);

  asio::io_context& context_;
  Identity identity_;
  std::mt19937_64 random_;
  FrameHandler on_frame_;
  std::map<raft::NodeId, Peer> peers_;
  bool stopped_ = false;
};

}  // namespace juniperway::control
