#include "common/net/frame_connection.h"

#include <asio/post.hpp>
#include <utility>

#include "common/net/frame_connection_implementation.h"

namespace juniperway::net {

FrameConnection::FrameConnection(tcp::socket socket)
    : implementation_(std::make_unique<Implementation>(std::move(socket))) {}

FrameConnection::~FrameConnection() = default;

void FrameConnection::Start(FrameHandler on_frame, CloseHandler on_close) {
  if (implementation_->closed) {
    asio::post(implementation_->socket.get_executor(), std::move(on_close));
    return;
  }
  implementation_->on_frame = std::move(on_frame);
  implementation_->on_close = std::move(on_close);
  FrameConnectionSteps::Read(shared_from_this());
}

void FrameConnection::Send(const flatbuffers::FlatBufferBuilder& builder) {
  if (implementation_->closed) {
    return;
  }
  if (queued_bytes() + builder.GetSize() > implementation_->queue_limit) {
    logging::LogEvent(kPeerTooSlow,
                      {{"peer", FormatEndpoint(implementation_->remote)},
                       {"queued_bytes", queued_bytes()}});
    Close();
    return;
  }
  const std::uint8_t* data = builder.GetBufferPointer();
  implementation_->queued.insert(implementation_->queued.end(), data,
                                 data + builder.GetSize());
  FrameConnectionSteps::PostFlush(shared_from_this());
}

void FrameConnection::LimitQueue(std::size_t bytes) {
  implementation_->queue_limit = bytes;
}

std::size_t FrameConnection::queued_bytes() const {
  return implementation_->queued.size() + implementation_->writing.size();
}

std::uint64_t FrameConnection::sent_bytes() const {
  return implementation_->sent_bytes;
}

std::uint64_t FrameConnection::received_bytes() const {
  return implementation_->received_bytes;
}

tcp::endpoint FrameConnection::remote_endpoint() const {
  return implementation_->remote;
}

bool FrameConnection::closed() const { return implementation_->closed; }

void FrameConnection::Close() {
  if (implementation_->closed) {
    return;
  }
  implementation_->closed = true;
  implementation_->queued.clear();
  std::error_code ignored;
  implementation_->socket.shutdown(tcp::socket::shutdown_both, ignored);
  implementation_->socket.close(ignored);
  // Posted, so that neither handler is destroyed or run inside itself.
  asio::post(implementation_->socket.get_executor(),
             [self = shared_from_this()] {
               self->implementation_->on_frame = nullptr;
               CloseHandler on_close =
                   std::exchange(self->implementation_->on_close, nullptr);
               if (on_close) {
                 on_close();
               }
             });
}

void FrameConnection::Discard() {
  implementation_->on_close = nullptr;
  Close();
}

}  // namespace juniperway::net
