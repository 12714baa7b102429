// One listener of the proxy, and the connections that came through it.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "lab/proxy/topology.h"

namespace juniperway::lab {

class ProxiedConnection;

// What links of one proxy share; owned by the proxy.
struct ProxyState {
  Topology topology;
  std::mt19937_64 random;
};

struct LinkCounters {
  std::uint64_t connections = 0;
  // The target took no connection: nothing of these ever reached it.
  std::uint64_t refused = 0;
  std::uint64_t open = 0;
  std::uint64_t peak_open = 0;
  std::uint64_t bytes_to_target = 0;
  std::uint64_t bytes_from_target = 0;
};

class Link {
 public:
  // @param machine is where the target runs.
  // @param listen where connections come in; by default a port of 127.0.0.1
  //   that the kernel chooses.
  // Throws std::system_error (set-up fault) when it cannot be bound.
  Link(asio::io_context& context, ProxyState& state, std::string name,
       std::string machine,
       const asio::ip::tcp::endpoint& listen = {
           asio::ip::address_v4::loopback(), 0});
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Where new connections go; without a target they are reset.
  void SetTarget(const asio::ip::tcp::endpoint& target) { target_ = target; }
  // Without listening, connections are refused as by a machine whose process
  // is gone; the port is kept. Throws std::system_error (set-up fault).
  void SetListening(bool listening);
  // Faults changed: blocked bytes may pass now.
  void Wake();
  // Resets the connections from matching machines. @return how many.
  std::size_t Reset(const MachineSelector& from);

  const std::string& name() const { return name_; }
  const std::string& machine() const { return machine_; }
  asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  LinkCounters counters() const;

 private:
  friend class ProxiedConnection;

  void Accept();
  void HandleAccepted(asio::ip::tcp::socket socket);
  void Forget(std::uint64_t id);

  asio::io_context& context_;
  ProxyState& state_;
  std::string name_;
  std::string machine_;
  asio::ip::tcp::acceptor acceptor_;
  // Kept, as a closed acceptor knows it no more.
  asio::ip::tcp::endpoint endpoint_;
  bool listening_ = true;
  std::optional<asio::ip::tcp::endpoint> target_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, std::shared_ptr<ProxiedConnection>> connections_;
  LinkCounters counters_;
};

}  // namespace juniperway::lab
