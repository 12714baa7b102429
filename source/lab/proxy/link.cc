#include "lab/proxy/link.h"

#include <algorithm>
#include <asio/ip/address_v4.hpp>
#include <asio/socket_base.hpp>
#include <utility>
#include <vector>

#include "lab/proxy/connection.h"

namespace juniperway::lab {

Link::Link(asio::io_context& context, ProxyState& state, std::string name,
           std::string machine, const asio::ip::tcp::endpoint& listen)
    : context_(context),
      state_(state),
      name_(std::move(name)),
      machine_(std::move(machine)),
      acceptor_(context, listen),
      endpoint_(acceptor_.local_endpoint()) {
  Accept();
}

Link::~Link() = default;

void Link::SetListening(bool listening) {
  if (listening == listening_) {
    return;
  }
  listening_ = listening;
  if (listening) {
    acceptor_.listen();
    Accept();
    return;
  }
  acceptor_.close();
  acceptor_.open(endpoint_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint_);
}

void Link::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          HandleAccepted(std::move(socket));
        }
        Accept();
      });
}

void Link::HandleAccepted(asio::ip::tcp::socket socket) {
  asio::error_code error;
  const asio::ip::tcp::endpoint remote = socket.remote_endpoint(error);
  const std::string from =
      error ? std::string(kClientMachine)
            : state_.topology.MachineAt(remote.address().to_string());
  if (!target_ || state_.topology.Quality(from, machine_).refused) {
    socket.set_option(asio::socket_base::linger(true, 0), error);
    return;  // The socket's end resets the connection.
  }
  const std::uint64_t id = ++next_id_;
  auto connection = std::make_shared<ProxiedConnection>(
      context_, state_, std::move(socket), from, machine_);
  connections_[id] = connection;
  ++counters_.connections;
  counters_.peak_open =
      std::max<std::uint64_t>(counters_.peak_open, connections_.size());
  connection->Start(*target_, [this, id] { Forget(id); });
}

void Link::Forget(std::uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  counters_.refused += found->second->refused() ? 1 : 0;
  counters_.bytes_to_target += found->second->bytes_to_target();
  counters_.bytes_from_target += found->second->bytes_from_target();
  connections_.erase(found);
}

void Link::Wake() {
  const auto connections = connections_;
  for (const auto& [id, connection] : connections) {
    connection->Wake();
  }
}

std::size_t Link::Reset(const MachineSelector& from) {
  std::vector<std::shared_ptr<ProxiedConnection>> matching;
  for (const auto& [id, connection] : connections_) {
    if (state_.topology.Matches(from, connection->from())) {
      matching.push_back(connection);
    }
  }
  for (const auto& connection : matching) {
    connection->Reset();
  }
  return matching.size();
}

LinkCounters Link::counters() const {
  LinkCounters counters = counters_;
  counters.open = connections_.size();
  for (const auto& [id, connection] : connections_) {
    counters.bytes_to_target += connection->bytes_to_target();
    counters.bytes_from_target += connection->bytes_from_target();
  }
  return counters;
}

}  // namespace juniperway::lab
