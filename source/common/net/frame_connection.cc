#include "common/net/frame_connection.h"

#include <netinet/in.h>

#include <algorithm>
#include <asio/error.hpp>
#include <asio/post.hpp>
#include <asio/ssl/stream.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstring>
#include <optional>
#include <utility>

#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "common/net/events.h"
#include "common/net/tls.h"

namespace juniperway::net {
namespace {

using asio::ip::tcp;

constexpr std::size_t kPrefixBytes = sizeof(flatbuffers::uoffset_t);
constexpr std::size_t kInitialReadBytes = 16U << 10;
// A read buffer that one large frame made this big is given back afterwards.
constexpr std::size_t kKeptReadBytes = 1U << 20;
// FlatBuffers scalars are read in place, so frames start where their widest
// scalar is aligned.
constexpr std::size_t kFrameAlignment = 8;
constexpr milliseconds kAcceptRetryDelay{100};
// How long a peer that connected may take over its TLS handshake.
constexpr seconds kHandshakeTimeout{10};

void SetNoDelay(tcp::socket* socket) {
  std::error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
}

// Failures are left to the connect that follows.
void BindToSourceAddress(tcp::socket& socket) {
  if (!SourceAddress()) {
    return;
  }
  const tcp::endpoint source(*SourceAddress(), 0);
  std::error_code ignored;
  socket.open(source.protocol(), ignored);
  // Lets the kernel choose the port at connect, by the whole 4-tuple.
  const asio::detail::socket_option::integer<IPPROTO_IP,
                                             IP_BIND_ADDRESS_NO_PORT>
      late_port(1);
  socket.set_option(late_port, ignored);
  socket.bind(source, ignored);
}

}  // namespace

struct FrameConnection::Implementation {
  explicit Implementation(tcp::socket connected_socket)
      : socket(std::move(connected_socket)) {
    std::error_code ignored;
    remote = socket.remote_endpoint(ignored);
    SetNoDelay(&socket);
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

FrameConnection::FrameConnection(tcp::socket socket)
    : implementation_(std::make_unique<Implementation>(std::move(socket))) {}

FrameConnection::~FrameConnection() = default;

namespace {

// One attempt to connect, with its handshake.
struct ConnectAttempt : std::enable_shared_from_this<ConnectAttempt> {
  using Callback =
      std::function<void(Result<std::shared_ptr<FrameConnection>>)>;

  ConnectAttempt(asio::io_context& context, const tcp::endpoint& peer,
                 Callback on_done)
      : endpoint(peer),
        socket(context),
        timer(context),
        callback(std::move(on_done)) {}

  void Start(Duration timeout) {
    timer.expires_after(timeout);
    timer.async_wait([self = shared_from_this()](const std::error_code& error) {
      if (!error) {
        self->timed_out = true;
        self->Abandon();
      }
    });
    BindToSourceAddress(socket);
    socket.async_connect(
        endpoint, [self = shared_from_this()](const std::error_code& error) {
          self->OnConnected(error);
        });
  }

  void Abandon() {
    std::error_code ignored;
    socket.close(ignored);
    if (connection) {
      connection->Close();
    }
  }

  void OnConnected(const std::error_code& error) {
    if (error || timed_out) {
      Finish(error);
      return;
    }
    connection = std::make_shared<FrameConnection>(std::move(socket));
    FrameConnectionSteps::Handshake(
        connection, asio::ssl::stream_base::client,
        [self = shared_from_this()](const std::error_code& handshake_error) {
          self->Finish(handshake_error);
        });
  }

  void Finish(const std::error_code& error) {
    timer.cancel();
    const std::string address = FormatEndpoint(endpoint);
    if (timed_out) {
      callback(MakeError(ErrorCode::kDeadlineExceeded, "",
                         "no connection to " + address + " in time"));
    } else if (error) {
      Abandon();
      callback(
          MakeError(ErrorCode::kUnavailable, "",
                    "no connection to " + address + ": " + error.message()));
    } else {
      callback(std::move(connection));
    }
  }

  tcp::endpoint endpoint;
  tcp::socket socket;
  asio::steady_timer timer;
  Callback callback;
  std::shared_ptr<FrameConnection> connection;
  bool timed_out = false;
};

}  // namespace

void FrameConnection::Connect(
    asio::io_context& context, const tcp::endpoint& endpoint, Duration timeout,
    std::function<void(Result<std::shared_ptr<FrameConnection>>)> callback) {
  std::make_shared<ConnectAttempt>(context, endpoint, std::move(callback))
      ->Start(timeout);
}

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

struct FrameListener::Implementation
    : public std::enable_shared_from_this<FrameListener::Implementation> {
  Implementation(asio::io_context& context, const tcp::endpoint& endpoint,
                 AcceptHandler handler)
      : acceptor(context, endpoint),
        retry_timer(context),
        on_accept(std::move(handler)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const std::error_code& error,
                                    tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  void OnAccept(const std::error_code& error, tcp::socket socket) {
    if (!acceptor.is_open() || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      logging::LogEvent(kAcceptFailed, {{"reason", error.message()}});
      AcceptLater();
      return;
    }
    Welcome(std::make_shared<FrameConnection>(std::move(socket)));
    if (acceptor.is_open()) {
      Accept();
    }
  }

  // Hands the connection over after its handshake.
  void Welcome(const std::shared_ptr<FrameConnection>& connection) {
    if (!InternalTls()) {
      on_accept(connection);
      return;
    }
    const auto timer =
        std::make_shared<asio::steady_timer>(acceptor.get_executor());
    timer->expires_after(kHandshakeTimeout);
    timer->async_wait([connection](const std::error_code& error) {
      if (!error) {
        connection->Close();
      }
    });
    FrameConnectionSteps::Handshake(connection, asio::ssl::stream_base::server,
                                    [self = shared_from_this(), connection,
                                     timer](const std::error_code& error) {
                                      timer->cancel();
                                      self->OnHandshake(connection, error);
                                    });
  }

  void OnHandshake(const std::shared_ptr<FrameConnection>& connection,
                   const std::error_code& error) {
    if (error) {
      const std::string peer = FormatEndpoint(connection->remote_endpoint());
      logging::LogEvent(kTlsHandshakeFailed,
                        {{"peer", peer}, {"reason", error.message()}});
    }
    if (error || connection->closed() || !acceptor.is_open()) {
      connection->Close();
      return;
    }
    on_accept(connection);
  }

  // The process is out of descriptors or memory: others must end first.
  void AcceptLater() {
    retry_timer.expires_after(kAcceptRetryDelay);
    retry_timer.async_wait(
        [self = shared_from_this()](const std::error_code& error) {
          if (!error && self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  AcceptHandler on_accept;
};

FrameListener::FrameListener(asio::io_context& context,
                             const tcp::endpoint& endpoint,
                             AcceptHandler on_accept)
    : implementation_(std::make_shared<Implementation>(context, endpoint,
                                                       std::move(on_accept))) {
  implementation_->Accept();
}

FrameListener::~FrameListener() { Close(); }

tcp::endpoint FrameListener::local_endpoint() const {
  return implementation_->acceptor.local_endpoint();
}

void FrameListener::Close() {
  std::error_code ignored;
  implementation_->acceptor.close(ignored);
  implementation_->retry_timer.cancel();
}

}  // namespace juniperway::net
