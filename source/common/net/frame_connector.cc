// How connections come about: the side that connects and the one that accepts,
// each with its TLS handshake where the fleet's connections are encrypted.
#include <netinet/in.h>

#include <asio/error.hpp>
#include <asio/steady_timer.hpp>
#include <utility>

#include "common/net/frame_connection.h"
#include "common/net/frame_connection_implementation.h"

namespace juniperway::net {
namespace {

constexpr milliseconds kAcceptRetryDelay{100};
// How long a peer that connected may take over its TLS handshake.
constexpr seconds kHandshakeTimeout{10};

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
