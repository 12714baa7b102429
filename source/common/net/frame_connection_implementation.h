// What FrameConnection is made of; for the .cc files of its module only.
#pragma once

#include <algorithm>
#include <asio/post.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <optional>
#include <utility>

#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "common/net/events.h"
#include "common/net/frame_connection.h"
#include "common/net/tls.h"

namespace juniperway::net {

using asio::ip::tcp;

inline constexpr std::size_t kPrefixBytes = sizeof(flatbuffers::uoffset_t);
inline constexpr std::size_t kInitialReadBytes = 16U << 10;
// A read buffer that one large frame made this big is given back afterwards.
inline constexpr std::size_t kKeptReadBytes = 1U << 20;
// FlatBuffers scalars are read in place, so frames start where their widest
// scalar is aligned.
inline constexpr std::size_t kFrameAlignment = 8;

struct FrameConnection::Implementation {
  explicit Implementation(tcp::socket connected_socket)
      : socket(std::move(connected_socket)) {
    std::error_code ignored;
    remote = socket.remote_endpoint(ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    if (InternalTls()) {
      tls.emplace(socket, *InternalTls());
    }
  }

  std::size_t unread_bytes() const { return read_end - read_begin; }

  tcp::socket socket;
  // Over `socket`, when the fleet's connections are encrypted.
  std::optional<asio::ssl::stream<tcp::socket&>> tls;
  tcp::endpoint remote;
  FrameHandler on_frame;
  CloseHandler on_close;
  bool closed = false;

  // Received and not yet handled: read_buffer[read_begin, read_end).
  std::vector<std::uint8_t> read_buffer;
  std::size_t read_begin = 0;
  std::size_t read_end = 0;
  // Copy of a frame that does not lie aligned in read_buffer.
  std::vector<std::uint8_t> aligned_frame;

  std::size_t queue_limit = kMaximumQueuedFrameBytes;
  std::vector<std::uint8_t> queued;
  std::vector<std::uint8_t> writing;
  bool write_running = false;
  bool flush_posted = false;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
};

// The asynchronous steps of a connection. Each holds the connection alive.
struct FrameConnectionSteps {
  using Self = std::shared_ptr<FrameConnection>;

  static void Read(const Self& self) {
    auto& state = *self->implementation_;
    MakeRoom(&state);
    const auto space = asio::buffer(state.read_buffer.data() + state.read_end,
                                    state.read_buffer.size() - state.read_end);
    auto on_read = [self](const std::error_code& error, std::size_t bytes) {
      OnRead(self, error, bytes);
    };
    if (state.tls) {
      state.tls->async_read_some(space, std::move(on_read));
    } else {
      state.socket.async_read_some(space, std::move(on_read));
    }
  }

  // Runs `done` once; at once where connections are not encrypted.
  static void Handshake(const Self& self,
                        asio::ssl::stream_base::handshake_type side,
                        std::function<void(const std::error_code&)> done) {
    auto& state = *self->implementation_;
    if (!state.tls) {
      done({});
      return;
    }
    state.tls->async_handshake(
        side, [self, done = std::move(done)](const std::error_code& error) {
          done(error);
        });
  }

  static void PostFlush(const Self& self) {
    auto& state = *self->implementation_;
    if (state.flush_posted || state.write_running) {
      return;
    }
    state.flush_posted = true;
    asio::post(state.socket.get_executor(), [self] {
      self->implementation_->flush_posted = false;
      Write(self);
    });
  }

 private:
  using State = FrameConnection::Implementation;

  // Moves unread bytes to the front and grows for the frame that has begun.
  static void MakeRoom(State* state) {
    const std::size_t unread = state->unread_bytes();
    if (state->read_begin > 0 && unread > 0) {
      std::memmove(state->read_buffer.data(),
                   state->read_buffer.data() + state->read_begin, unread);
    }
    state->read_begin = 0;
    state->read_end = unread;
    std::size_t wanted = kInitialReadBytes;
    if (unread >= kPrefixBytes) {
      wanted = std::max(wanted, kPrefixBytes + FrameSize(*state));
    }
    const bool oversized = state->read_buffer.size() > kKeptReadBytes;
    if (state->read_buffer.size() < wanted) {
      state->read_buffer.resize(wanted);
    } else if (oversized && unread == 0) {
      state->read_buffer.resize(kInitialReadBytes);
      state->read_buffer.shrink_to_fit();
    }
  }

  static std::size_t FrameSize(const State& state) {
    return flatbuffers::ReadScalar<flatbuffers::uoffset_t>(
        state.read_buffer.data() + state.read_begin);
  }

  static void OnRead(const Self& self, const std::error_code& error,
                     std::size_t bytes) {
    auto& state = *self->implementation_;
    if (state.closed) {
      return;
    }
    if (error) {
      self->Close();
      return;
    }
    state.received_bytes += bytes;
    state.read_end += bytes;
    HandleFrames(self);
    if (!state.closed) {
      Read(self);
    }
  }

  static void HandleFrames(const Self& self) {
    auto& state = *self->implementation_;
    while (!state.closed && state.unread_bytes() >= kPrefixBytes) {
      const std::size_t size = FrameSize(state);
      if (size > kMaximumFrameBytes) {
        logging::LogEvent(
            kFrameTooLarge,
            {{"peer", FormatEndpoint(state.remote)}, {"bytes", size}});
        self->Close();
        return;
      }
      if (state.unread_bytes() < kPrefixBytes + size) {
        return;
      }
      const FrameBytes frame = AlignedFrame(&state, size);
      state.read_begin += kPrefixBytes + size;
      state.on_frame(frame);
    }
  }

  static FrameBytes AlignedFrame(State* state, std::size_t size) {
    const std::uint8_t* start = state->read_buffer.data() + state->read_begin;
    if (reinterpret_cast<std::uintptr_t>(start) % kFrameAlignment != 0) {
      state->aligned_frame.assign(start, start + kPrefixBytes + size);
      start = state->aligned_frame.data();
    }
    return {start + kPrefixBytes, size};
  }

  static void Write(const Self& self) {
    auto& state = *self->implementation_;
    if (state.closed || state.write_running || state.queued.empty()) {
      return;
    }
    state.write_running = true;
    state.writing.clear();
    std::swap(state.writing, state.queued);
    auto on_written = [self](const std::error_code& error, std::size_t bytes) {
      OnWritten(self, error, bytes);
    };
    if (state.tls) {
      asio::async_write(*state.tls, asio::buffer(state.writing),
                        std::move(on_written));
    } else {
      asio::async_write(state.socket, asio::buffer(state.writing),
                        std::move(on_written));
    }
  }

  static void OnWritten(const Self& self, const std::error_code& error,
                        std::size_t bytes) {
    auto& state = *self->implementation_;
    state.write_running = false;
    state.sent_bytes += bytes;
    state.writing.clear();
    if (error) {
      self->Close();
      return;
    }
    Write(self);
  }
};

}  // namespace juniperway::net
