#include "common/control/peer_listener.h"

#include <utility>
#include <vector>

#include "common/control/events.h"
#include "common/net/address.h"
#include "common/session/control_frames.h"

namespace juniperway::control {
namespace {

// Longest wait for the hello frame of a new connection.
constexpr Duration kHelloTimeout = seconds(5);

}  // namespace

PeerListener::PeerListener(asio::io_context& context,
                           const asio::ip::tcp::endpoint& endpoint,
                           std::string cluster, raft::NodeId node_id,
                           Ports ports)
    : cluster_(std::move(cluster)),
      node_id_(node_id),
      ports_(std::move(ports)),
      listener_(context, endpoint,
                [this, alive = alive_](Connection connection) {
                  if (*alive) {
                    OnAccept(std::move(connection));
                  }
                }) {}

PeerListener::~PeerListener() { Close(); }

void PeerListener::OnAccept(Connection connection) {
  const std::uint64_t inbound_id = ++last_inbound_id_;
  Inbound& inbound = inbound_[inbound_id];
  inbound.connection = std::move(connection);
  inbound.accepted = ReadMonotonicClock();
  inbound.connection->Start(
      [this, alive = alive_, inbound_id](net::FrameBytes bytes) {
        if (*alive) {
          OnFrame(inbound_id, bytes);
        }
      },
      [this, alive = alive_, inbound_id] {
        if (*alive) {
          OnClosed(inbound_id);
        }
      });
}

void PeerListener::OnFrame(std::uint64_t inbound_id, net::FrameBytes bytes) {
  auto found = inbound_.find(inbound_id);
  if (found == inbound_.end()) {
    return;
  }
  Inbound& inbound = found->second;
  if (inbound.peer != raft::kNoNode) {
    ports_.on_peer_frame(inbound.peer, bytes, inbound.connection);
  } else if (inbound.session != 0) {
    ports_.on_session_frame(inbound.session, bytes);
  } else if (!OnHello(inbound, bytes)) {
    inbound.connection->Close();
  }
}

bool PeerListener::OnHello(Inbound& inbound, net::FrameBytes bytes) {
  auto frame = session::DecodeFrame(bytes);
  if (frame) {
    if (const auto* hello = frame->message.AsSessionHello()) {
      inbound.session = ports_.open_session(inbound.connection, *hello);
      return inbound.session != 0;
    }
    const auto* hello = frame->message.AsPeerHello();
    const bool valid =
        hello != nullptr && hello->cluster == cluster_ &&
        hello->node_id != raft::kNoNode && hello->node_id != node_id_ &&
        (hello->receiver_id == raft::kNoNode || hello->receiver_id == node_id_);
    if (valid) {
      inbound.peer = hello->node_id;
      ports_.on_peer_connected(*hello, inbound.connection);
      return true;
    }
  }
  logging::LogEvent(
      kPeerRefused,
      {{"node", node_id_},
       {"from", net::FormatEndpoint(inbound.connection->remote_endpoint())}});
  return false;
}

void PeerListener::OnClosed(std::uint64_t inbound_id) {
  auto found = inbound_.find(inbound_id);
  if (found == inbound_.end()) {
    return;
  }
  const std::uint64_t session = found->second.session;
  inbound_.erase(found);
  if (session != 0) {
    ports_.on_session_closed(session);
  }
}

void PeerListener::Tick(MonotonicTime now) {
  for (auto& [inbound_id, inbound] : inbound_) {
    const bool hello_overdue = inbound.peer == raft::kNoNode &&
                               inbound.session == 0 &&
                               now - inbound.accepted > kHelloTimeout;
    if (hello_overdue) {
      inbound.connection->Close();
    }
  }
}

void PeerListener::Close() {
  *alive_ = false;
  listener_.Close();
  for (auto& [inbound_id, inbound] : inbound_) {
    inbound.connection->Close();
  }
  inbound_.clear();
}

}  // namespace juniperway::control
