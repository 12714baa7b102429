#include "common/gateway/peer_pool.h"

#include <algorithm>
#include <asio/post.hpp>
#include <optional>
#include <utility>

#include "common/gateway/events.h"
#include "common/net/address.h"

namespace juniperway::gateway {
namespace {

// Pause before the next attempt to connect: doubles with each failure, half of
// it again as jitter.
constexpr Duration kShortestPause = milliseconds(20);
constexpr Duration kLongestPause = milliseconds(1000);
// A peer that leaves this much unread is treated as lost.
constexpr std::size_t kMaximumQueuedBytes = 64U << 20;

}  // namespace

struct PeerPool::Peer {
  routing::OwnerId owner = 0;
  std::string daemon_id;
  std::string address;
  std::uint64_t incarnation = 0;
  std::shared_ptr<net::FrameConnection> connection;
  bool connecting = false;
  // Replaced or forgotten: late callbacks do nothing.
  bool dropped = false;
  // Frames that wait for the connection.
  std::vector<flatbuffers::FlatBufferBuilder> waiting;
  Duration pause{};
  MonotonicTime paused_until{};
};

PeerPool::PeerPool(asio::io_context& context, Duration connect_timeout,
                   std::uint64_t random_seed, Handlers handlers)
    : context_(context),
      connect_timeout_(connect_timeout),
      random_(random_seed),
      handlers_(std::move(handlers)) {}

PeerPool::~PeerPool() { Close(); }

void PeerPool::SetPeer(routing::OwnerId owner, const std::string& daemon_id,
                       const std::string& address, std::uint64_t incarnation) {
  const PeerPointer old = peers_[owner];
  if (old != nullptr && old->address == address &&
      old->incarnation == incarnation) {
    return;
  }
  auto peer = std::make_shared<Peer>();
  peer->owner = owner;
  peer->daemon_id = daemon_id;
  peer->address = address;
  peer->incarnation = incarnation;
  peers_[owner] = std::move(peer);
  if (old != nullptr) {
    Drop(old);
  }
}

void PeerPool::RetainPeers(const std::function<bool(routing::OwnerId)>& keep) {
  std::vector<PeerPointer> gone;
  std::erase_if(peers_, [&](const auto& entry) {
    if (keep(entry.first)) {
      return false;
    }
    gone.push_back(entry.second);
    return true;
  });
  for (const PeerPointer& peer : gone) {
    Drop(peer);
  }
}

bool PeerPool::Send(routing::OwnerId owner,
                    flatbuffers::FlatBufferBuilder frame) {
  const auto found = peers_.find(owner);
  if (found == peers_.end()) {
    return false;
  }
  const PeerPointer& peer = found->second;
  if (peer->connection != nullptr) {
    if (peer->connection->closed()) {
      // The loss of what was sent before is about to be reported.
      return false;
    }
    peer->connection->Send(frame);
    if (peer->connection->queued_bytes() > kMaximumQueuedBytes) {
      // Not here: the loss is not reported inside a call of the sender.
      asio::post(context_,
                 [connection = peer->connection] { connection->Close(); });
    }
    return true;
  }
  if (!peer->connecting) {
    if (ReadMonotonicClock() < peer->paused_until) {
      return false;
    }
    Connect(peer);
  }
  peer->waiting.push_back(std::move(frame));
  return true;
}

void PeerPool::Connect(const PeerPointer& peer) {
  peer->connecting = true;
  const std::weak_ptr<int> alive = alive_;
  const auto endpoint = net::ParseEndpoint(peer->address, "peer_address");
  if (!endpoint.has_value()) {
    asio::post(context_, [this, alive, peer, error = endpoint.error()] {
      if (!alive.expired()) {
        OnConnectResult(peer, tl::unexpected(error));
      }
    });
    return;
  }
  net::FrameConnection::Connect(context_, *endpoint, connect_timeout_,
                                [this, alive, peer](auto result) {
                                  if (!alive.expired()) {
                                    OnConnectResult(peer, std::move(result));
                                  } else if (result.has_value()) {
                                    (*result)->Close();
                                  }
                                });
}

void PeerPool::OnConnectResult(
    const PeerPointer& peer,
    Result<std::shared_ptr<net::FrameConnection>> connection) {
  peer->connecting = false;
  if (peer->dropped) {
    if (connection.has_value()) {
      (*connection)->Close();
    }
    return;
  }
  if (!connection.has_value()) {
    logging::LogEvent(kPeerUnreachable,
                      {{"peer", peer->daemon_id},
                       {"address", peer->address},
                       {"error", connection.error().message}});
    Pause(*peer);
    peer->waiting.clear();
    handlers_.on_lost(peer->owner, routing::OwnerConnectionLoss::kNothingSent);
    return;
  }
  logging::LogEvent(kPeerConnected,
                    {{"peer", peer->daemon_id}, {"address", peer->address}});
  peer->connection = std::move(*connection);
  peer->pause = Duration::zero();
  const std::weak_ptr<int> alive = alive_;
  peer->connection->Start(
      [this, alive, peer](net::FrameBytes frame) {
        if (alive.expired() || peer->dropped) {
          return;
        }
        const bool well_formed = handlers_.on_frame(peer->owner, frame);
        if (!well_formed && peer->connection != nullptr) {
          peer->connection->Close();
        }
      },
      [this, alive, peer] {
        if (!alive.expired()) {
          OnClosed(peer);
        }
      });
  handlers_.on_connected(peer->owner);
  for (const auto& frame : std::exchange(peer->waiting, {})) {
    peer->connection->Send(frame);
  }
}

void PeerPool::OnClosed(const PeerPointer& peer) {
  if (peer->connection == nullptr) {
    return;
  }
  sent_bytes_ += peer->connection->sent_bytes();
  received_bytes_ += peer->connection->received_bytes();
  peer->connection.reset();
  if (peer->dropped) {
    return;
  }
  logging::LogEvent(kPeerLost,
                    {{"peer", peer->daemon_id}, {"address", peer->address}});
  Pause(*peer);
  handlers_.on_lost(peer->owner,
                    routing::OwnerConnectionLoss::kMayHaveReceived);
}

void PeerPool::Pause(Peer& peer) {
  peer.pause = std::clamp(2 * peer.pause, kShortestPause, kLongestPause);
  const auto jitter = static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(peer.pause.count() / 2 + 1));
  peer.paused_until = ReadMonotonicClock() + peer.pause + Duration(jitter);
}

void PeerPool::Drop(const PeerPointer& peer) {
  peer->dropped = true;
  const bool connected = peer->connection != nullptr;
  const bool waited = !peer->waiting.empty();
  peer->waiting.clear();
  if (connected) {
    peer->connection->Close();
    handlers_.on_lost(peer->owner,
                      routing::OwnerConnectionLoss::kMayHaveReceived);
  } else if (waited) {
    handlers_.on_lost(peer->owner, routing::OwnerConnectionLoss::kNothingSent);
  }
}

std::size_t PeerPool::connected() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      peers_,
      [](const auto& entry) { return entry.second->connection != nullptr; }));
}

std::uint64_t PeerPool::sent_bytes() const {
  std::uint64_t total = sent_bytes_;
  for (const auto& [owner, peer] : peers_) {
    total += peer->connection == nullptr ? 0 : peer->connection->sent_bytes();
  }
  return total;
}

std::uint64_t PeerPool::received_bytes() const {
  std::uint64_t total = received_bytes_;
  for (const auto& [owner, peer] : peers_) {
    total +=
        peer->connection == nullptr ? 0 : peer->connection->received_bytes();
  }
  return total;
}

void PeerPool::Close() {
  alive_.reset();
  for (const auto& [owner, peer] : peers_) {
    peer->dropped = true;
    if (peer->connection != nullptr) {
      peer->connection->Close();
    }
  }
  peers_.clear();
}

}  // namespace juniperway::gateway
