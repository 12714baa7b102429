#include "support/scripted_server.h"

#include <asio/buffer.hpp>
#include <asio/read_until.hpp>
#include <asio/socket_base.hpp>
#include <asio/write.hpp>
#include <utility>

#include "common/base/text.h"

namespace juniperway::test {
namespace {

using asio::ip::tcp;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

struct Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::string received;
  std::string late;
};
using ConnectionPointer = std::shared_ptr<Connection>;

void End(Connection& connection, ScriptedAnswer::Ending ending) {
  asio::error_code ignored;
  if (ending == ScriptedAnswer::Ending::kReset) {
    connection.socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  if (ending != ScriptedAnswer::Ending::kKeep) {
    connection.socket.close(ignored);
  }
}

}  // namespace

struct ScriptedServer::Implementation
    : std::enable_shared_from_this<ScriptedServer::Implementation> {
  Implementation(asio::io_context& context, Script answer)
      : acceptor(context, kLoopback), script(std::move(answer)) {}

  void Accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const asio::error_code& error,
                                    tcp::socket socket) {
          if (error) {
            return;
          }
          auto connection = std::make_shared<Connection>(std::move(socket));
          self->connections.push_back(connection);
          self->Read(connection);
          self->Accept();
        });
  }

  void Read(const ConnectionPointer& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->received),
        "\r\n\r\n",
        [self = shared_from_this(), connection](const asio::error_code& error,
                                                std::size_t bytes) {
          if (!error) {
            const std::string head = connection->received.substr(0, bytes);
            connection->received.erase(0, bytes);
            ++self->requests;
            self->WriteLate();
            self->Answer(connection, self->script(head));
          }
        });
  }

  void WriteLate() {
    for (const ConnectionPointer& connection : connections) {
      asio::error_code ignored;
      asio::write(connection->socket,
                  asio::buffer(std::exchange(connection->late, {})), ignored);
    }
  }

  void Answer(const ConnectionPointer& connection,
              const ScriptedAnswer& answer) {
    connection->late = answer.late;
    auto bytes = std::make_shared<std::string>(answer.bytes);
    asio::async_write(
        connection->socket, asio::buffer(*bytes),
        [self = shared_from_this(), connection, bytes, ending = answer.ending](
            const asio::error_code& error, std::size_t) {
          End(*connection, ending);
          if (!error && connection->socket.is_open()) {
            self->Read(connection);
          }
        });
  }

  tcp::acceptor acceptor;
  Script script;
  int requests = 0;
  std::vector<ConnectionPointer> connections;
};

ScriptedServer::ScriptedServer(asio::io_context& context, Script script)
    : implementation_(
          std::make_shared<Implementation>(context, std::move(script))) {
  implementation_->Accept();
}

ScriptedServer::~ScriptedServer() {
  asio::error_code ignored;
  implementation_->acceptor.close(ignored);
  for (const ConnectionPointer& connection : implementation_->connections) {
    connection->socket.close(ignored);
  }
}

tcp::endpoint ScriptedServer::endpoint() const {
  return implementation_->acceptor.local_endpoint();
}

int ScriptedServer::requests() const { return implementation_->requests; }

void ScriptedServer::WriteUnasked(const std::string& bytes) {
  for (const ConnectionPointer& connection : implementation_->connections) {
    asio::error_code ignored;
    asio::write(connection->socket, asio::buffer(bytes), ignored);
  }
}

std::string FieldOf(const std::string& head, const std::string& name) {
  std::size_t begin = head.find("\r\n");
  while (begin != std::string::npos) {
    begin += 2;
    const std::size_t end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos &&
        EqualsIgnoringCase(line.substr(0, colon), name)) {
      return line.substr(colon + 2);
    }
    begin = end;
  }
  return {};
}

}  // namespace juniperway::test
