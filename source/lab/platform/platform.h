// The platform's list of live and leaving machines, which lags.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/net/http_server.h"

namespace juniperway::lab {

// Machine name to "live" or "leaving".
using MachineStates = std::map<std::string, std::string>;

// Shows each list only once it is `lag` old. Pure.
class LaggingList {
 public:
  void SetLag(Duration lag) { lag_ = lag; }
  // Merges `changes` into the newest list; an empty state removes the machine.
  void Change(const MachineStates& changes, MonotonicTime now);
  MachineStates Visible(MonotonicTime now) const;

 private:
  struct Version {
    MonotonicTime time;
    MachineStates states;
  };

  Duration lag_ = Duration(0);
  std::deque<Version> versions_;
};

// GET /v1/machines; POST /v1/lab {"lag_ms", "machines": {name: state}}.
class PlatformServer {
 public:
  PlatformServer(asio::io_context& context,
                 const asio::ip::tcp::endpoint& endpoint);

  asio::ip::tcp::endpoint endpoint() const { return server_->local_endpoint(); }

 private:
  void Handle(const net::HttpRequest& request, net::HttpResponder& responder);
  Result<void> Change(const std::string& body);
  nlohmann::json Describe() const;

  LaggingList list_;
  std::unique_ptr<net::HttpServer> server_;
};

}  // namespace juniperway::lab
