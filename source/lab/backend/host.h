// Many stand-in back ends in one process, driven over one control listener.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/net/http_server.h"
#include "lab/backend/server.h"

namespace juniperway::lab {

class BackendHost {
 public:
  // Listens at once. Throws std::exception on a set-up fault.
  // @param ledger may be null; must outlive the host.
  BackendHost(asio::io_context& context,
              const std::vector<BackendSettings>& backends,
              const asio::ip::tcp::endpoint& control_endpoint, Ledger* ledger);

  const std::vector<std::unique_ptr<BackendServer>>& servers() const {
    return servers_;
  }
  asio::ip::tcp::endpoint control_endpoint() const {
    return control_->local_endpoint();
  }

 private:
  // GET /v1/lab: behaviour and counters of each back end.
  nlohmann::json Describe() const;
  // POST /v1/lab: {"backend": name or "*", …}; see
  // docs/operations/experiments.md.
  Result<void> Change(const std::string& body);
  void Handle(const net::HttpRequest& request, net::HttpResponder& responder);

  std::vector<std::unique_ptr<BackendServer>> servers_;
  std::unique_ptr<net::HttpServer> control_;
};

}  // namespace juniperway::lab
