// A TCP connection that carries size-prefixed FlatBuffers (frames). One thread:
// every method and callback runs on the io_context's thread.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"

namespace juniperway::net {

using FrameBytes = std::span<const std::uint8_t>;

// Larger frames close the connection: the peer is broken or hostile.
inline constexpr std::uint32_t kMaximumFrameBytes = 64U << 20;
// A peer that lets more than this pile up unread loses its connection. Senders
// that can wait or drop stay well below it (queued_bytes()).
inline constexpr std::size_t kMaximumQueuedFrameBytes = 256U << 20;

class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
 public:
  // @param frame is the buffer without its size prefix, valid during the call.
  using FrameHandler = std::function<void(FrameBytes frame)>;
  // Runs once, also after Close(); the connection is then dead.
  using CloseHandler = std::function<void()>;

  explicit FrameConnection(asio::ip::tcp::socket socket);
  ~FrameConnection();
  FrameConnection(const FrameConnection&) = delete;
  FrameConnection& operator=(const FrameConnection&) = delete;

  // Connects; the callback runs once with a connection that is not started.
  static void Connect(
      asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
      Duration timeout,
      std::function<void(Result<std::shared_ptr<FrameConnection>>)> callback);

  // Begins to read. The handlers are dropped at close.
  void Start(FrameHandler on_frame, CloseHandler on_close);

  // Queues a finished, size-prefixed buffer (FinishSizePrefixed).
  // Frames queued in one turn of the event loop go out in one write. Closes
  // the connection when the queue would grow past its bound.
  void Send(const flatbuffers::FlatBufferBuilder& builder);
  // Replaces the bound on the queue (kMaximumQueuedFrameBytes).
  void LimitQueue(std::size_t bytes);

  // Bytes queued and not yet written: a slow peer shows here.
  std::size_t queued_bytes() const;
  // Totals since the start, for the cost figures of docs/CAPACITY.md.
  std::uint64_t sent_bytes() const;
  std::uint64_t received_bytes() const;

  asio::ip::tcp::endpoint remote_endpoint() const;
  bool closed() const;
  // Closes at once; queued frames are lost. Safe to call twice. The close
  // handler runs in a later turn of the event loop.
  void Close();
  // Closes at once without running the close handler: for an owner that is
  // being destroyed.
  void Discard();

 private:
  friend struct FrameConnectionSteps;
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Checks that `frame` holds a well-formed `Root` and returns it, or nullptr.
// Frames start after their size prefix, so offsets from the start of the frame
// do not show the alignment: the connection has taken care of it, and the
// verifier must not check it. It lives as long as the frame.
template <typename Root>
const Root* ReadFrame(FrameBytes frame) {
  constexpr flatbuffers::uoffset_t kMaximumDepth = 64;
  constexpr flatbuffers::uoffset_t kMaximumTables = 10'000'000;
  flatbuffers::Verifier verifier(frame.data(), frame.size(), kMaximumDepth,
                                 kMaximumTables, /*check_alignment=*/false);
  if (!verifier.VerifyBuffer<Root>(nullptr)) {
    return nullptr;
  }
  return flatbuffers::GetRoot<Root>(frame.data());
}

// Accepts connections; port 0 lets the kernel choose.
class FrameListener {
 public:
  using AcceptHandler = std::function<void(std::shared_ptr<FrameConnection>)>;

  // Throws std::system_error when the address cannot be bound (set-up fault).
  FrameListener(asio::io_context& context,
                const asio::ip::tcp::endpoint& endpoint,
                AcceptHandler on_accept);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  asio::ip::tcp::endpoint local_endpoint() const;
  void Close();

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::net
