// Connections from this front to the owners of back ends: one each, made at
// first use, made anew with growing pauses when lost.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"
#include "common/net/frame_connection.h"
#include "common/routing/name_table.h"
#include "common/routing/query_types.h"

namespace juniperway::gateway {

// One thread: every method and callback runs on the io_context's thread.
class PeerPool {
 public:
  struct Handlers {
    // @return false when the frame is damaged: the connection is closed, as
    //   nothing on it can be trusted any more.
    std::function<bool(routing::OwnerId, net::FrameBytes)> on_frame;
    // Everything handed over for the owner and not answered is lost. Runs at
    // the very moment, so that nothing handed over later is meant; never inside
    // Send, but inside SetPeer and RetainPeers.
    std::function<void(routing::OwnerId, routing::OwnerConnectionLoss)> on_lost;
    std::function<void(routing::OwnerId)> on_connected;
  };

  PeerPool(asio::io_context& context, Duration connect_timeout,
           std::uint64_t random_seed, Handlers handlers);
  ~PeerPool();
  PeerPool(const PeerPool&) = delete;
  PeerPool& operator=(const PeerPool&) = delete;

  // Where to reach the owner. Another incarnation or address replaces the
  // connection.
  void SetPeer(routing::OwnerId owner, const std::string& daemon_id,
               const std::string& address, std::uint64_t incarnation);

  // Closes the connections of owners for which `keep` is false.
  void RetainPeers(const std::function<bool(routing::OwnerId)>& keep);

  // Sends, or queues until the connection stands.
  // @return false when the owner is unknown or in its pause after a failure:
  //   nothing was sent.
  bool Send(routing::OwnerId owner, flatbuffers::FlatBufferBuilder frame);

  std::size_t connected() const;
  std::uint64_t sent_bytes() const;
  std::uint64_t received_bytes() const;

  void Close();

 private:
  struct Peer;
  using PeerPointer = std::shared_ptr<Peer>;

  void Connect(const PeerPointer& peer);
  void OnConnectResult(
      const PeerPointer& peer,
      Result<std::shared_ptr<net::FrameConnection>> connection);
  void OnClosed(const PeerPointer& peer);
  void Pause(Peer& peer);
  void Drop(const PeerPointer& peer);

  asio::io_context& context_;
  Duration connect_timeout_;
  std::mt19937_64 random_;
  Handlers handlers_;
  std::unordered_map<routing::OwnerId, PeerPointer> peers_;
  // Totals of connections that are gone.
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  // Callbacks that outlive the pool see it expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace juniperway::gateway
