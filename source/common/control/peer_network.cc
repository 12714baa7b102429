#include "common/control/peer_network.h"

#include <utility>

#include "common/net/address.h"

namespace juniperway::control {
namespace {

constexpr Duration kConnectTimeout = seconds(1);
// Maximum delay between two connection attempts to a peer; each delay is drawn
// at random from [half of this, this].
constexpr Duration kReconnectInterval = milliseconds(200);
// When a peer answers nothing for this long, this node closes the connections
// to the peer and opens a new one: a network path can fail without closing the
// TCP connection.
constexpr Duration kUnresponsiveTimeout = seconds(2);
// A connection with this many queued bytes is not used for further frames. The
// value allows for the largest snapshot, but net::FrameConnection closes a
// connection earlier, at its own limit (kMaximumQueuedFrameBytes).
constexpr std::size_t kMaximumQueuedBytes = 1U << 30;

}  // namespace

PeerNetwork::PeerNetwork(asio::io_context& context, Identity identity,
                         std::uint64_t seed, FrameHandler on_frame)
    : context_(context),
      identity_(std::move(identity)),
      random_(seed),
      on_frame_(std::move(on_frame)) {}

void PeerNetwork::SetPeers(const std::vector<raft::Member>& members) {
  for (auto& [id, peer] : peers_) {
    peer.should_connect = false;
  }
  for (const raft::Member& member : members) {
    if (member.id == identity_.node_id) {
      continue;
    }
    Peer& peer = peers_[member.id];
    peer.should_connect = true;
    if (peer.address != member.address) {
      peer.address = member.address;
      CloseConnections(peer);
    }
  }
  for (auto& [id, peer] : peers_) {
    if (!peer.should_connect && peer.outgoing.connection) {
      peer.outgoing.connection->Close();
      peer.outgoing = {};
    }
  }
}

void PeerNetwork::AddIncomingConnection(
    raft::NodeId from, std::shared_ptr<net::FrameConnection> connection) {
  Peer& peer = peers_[from];
  if (peer.incoming.connection) {
    peer.incoming.connection->Close();
  }
  peer.incoming = {std::move(connection), ReadMonotonicClock()};
}

void PeerNetwork::OnFrame(
    raft::NodeId from, net::FrameBytes bytes,
    const std::shared_ptr<net::FrameConnection>& connection) {
  auto frame = session::DecodeFrame(bytes);
  if (!frame) {
    connection->Close();
    return;
  }
  Peer& peer = peers_[from];
  for (Path* path : {&peer.outgoing, &peer.incoming}) {
    if (path->connection == connection) {
      path->last_received = ReadMonotonicClock();
    }
  }
  peer.unanswered_since = MonotonicTime::max();
  on_frame_(from, std::move(*frame));
}

void PeerNetwork::Tick(MonotonicTime now) {
  for (auto& [id, peer] : peers_) {
    if (now > peer.unanswered_since &&
        now - peer.unanswered_since > kUnresponsiveTimeout) {
      CloseConnections(peer);
    }
    const Connection& outgoing = peer.outgoing.connection;
    const bool disconnected = !outgoing || outgoing->closed();
    if (peer.should_connect && disconnected && !peer.connecting &&
        now >= peer.next_attempt) {
      Connect(id, peer);
    }
  }
}

void PeerNetwork::Stop() {
  stopped_ = true;
  for (auto& [id, peer] : peers_) {
    CloseConnections(peer);
  }
  on_frame_ = nullptr;
}

net::FrameConnection* PeerNetwork::FindConnection(raft::NodeId to,
                                                  bool awaits_answer) {
  auto found = peers_.find(to);
  if (found == peers_.end()) {
    return nullptr;
  }
  Peer& peer = found->second;
  const Path* chosen = nullptr;
  for (const Path* path : {&peer.outgoing, &peer.incoming}) {
    if (IsUsable(*path) &&
        (chosen == nullptr || path->last_received > chosen->last_received)) {
      chosen = path;
    }
  }
  if (chosen == nullptr) {
    return nullptr;
  }
  if (awaits_answer && peer.unanswered_since == MonotonicTime::max()) {
    peer.unanswered_since = ReadMonotonicClock();
  }
  return chosen->connection.get();
}

bool PeerNetwork::IsUsable(const Path& path) {
  return path.connection && !path.connection->closed() &&
         path.connection->queued_bytes() < kMaximumQueuedBytes;
}

std::size_t PeerNetwork::QueuedBytes(raft::NodeId to) const {
  auto found = peers_.find(to);
  if (found == peers_.end()) {
    return 0;
  }
  std::size_t bytes = 0;
  for (const Path* path : {&found->second.outgoing, &found->second.incoming}) {
    if (path->connection && !path->connection->closed()) {
      bytes += path->connection->queued_bytes();
    }
  }
  return bytes;
}

void PeerNetwork::Connect(raft::NodeId id, Peer& peer) {
  const auto endpoint = net::ParseEndpoint(peer.address, "address");
  std::uniform_int_distribution<Duration::rep> delay(
      kReconnectInterval.count() / 2, kReconnectInterval.count());
  peer.next_attempt = ReadMonotonicClock() + Duration(delay(random_));
  if (!endpoint) {
    return;
  }
  peer.connecting = true;
  net::FrameConnection::Connect(
      context_, *endpoint, kConnectTimeout,
      [weak = weak_from_this(),
       id](Result<std::shared_ptr<net::FrameConnection>> result) {
        if (auto self = weak.lock()) {
          self->OnConnected(id, std::move(result));
        }
      });
}

void PeerNetwork::OnConnected(
    raft::NodeId id, Result<std::shared_ptr<net::FrameConnection>> result) {
  Peer& peer = peers_[id];
  peer.connecting = false;
  if (!result) {
    return;
  }
  if (stopped_ || !peer.should_connect) {
    (*result)->Close();
    return;
  }
  peer.outgoing = {std::move(*result), ReadMonotonicClock()};
  peer.unanswered_since = MonotonicTime::max();
  std::weak_ptr<net::FrameConnection> connection = peer.outgoing.connection;
  peer.outgoing.connection->Start(
      [weak = weak_from_this(), id, connection](net::FrameBytes bytes) {
        auto self = weak.lock();
        auto open = connection.lock();
        if (self && open && !self->stopped_) {
          self->OnFrame(id, bytes, open);
        }
      },
      [] {});
  protocol::PeerHelloT hello;
  hello.cluster = identity_.cluster;
  hello.node_id = identity_.node_id;
  hello.receiver_id = id;
  hello.zone = identity_.place.zone;
  hello.region = identity_.place.region;
  session::SendMessage(*peer.outgoing.connection, std::move(hello));
}

void PeerNetwork::CloseConnections(Peer& peer) {
  for (Path* path : {&peer.outgoing, &peer.incoming}) {
    if (path->connection) {
      path->connection->Close();
      *path = {};
    }
  }
  peer.unanswered_since = MonotonicTime::max();
}

}  // namespace juniperway::control
