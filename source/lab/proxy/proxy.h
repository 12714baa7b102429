// The fault-injecting TCP proxy: links, topology and its control listener.
//
// Calls (JSON): POST /v1/machines, /v1/links, /v1/faults, /v1/reset; GET
// /v1/proxy. See docs/operations/experiments.md.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/net/http_server.h"
#include "lab/proxy/link.h"

namespace juniperway::lab {

class Proxy {
 public:
  // Throws std::exception when it cannot listen (set-up fault).
  Proxy(asio::io_context& context,
        const asio::ip::tcp::endpoint& control_endpoint, std::uint64_t seed);

  asio::ip::tcp::endpoint control_endpoint() const {
    return control_->local_endpoint();
  }

 private:
  void Handle(const net::HttpRequest& request, net::HttpResponder& responder);
  Result<void> Apply(const net::HttpRequest& request);
  // {"links":[{"name","machine","target","listening"}]}: makes the links that
  // are new, and sets the targets of all named.
  Result<void> SetLinks(const nlohmann::json& json);
  // {"link": name or "*", "from": selector}.
  Result<void> ResetConnections(const nlohmann::json& json);
  nlohmann::json Describe() const;

  asio::io_context& context_;
  ProxyState state_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::unique_ptr<net::HttpServer> control_;
};

}  // namespace juniperway::lab
