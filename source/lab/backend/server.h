// The HTTP shell of one stand-in back end around its BackendModel.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "common/net/http_server.h"
#include "lab/backend/ledger.h"
#include "lab/backend/model.h"

namespace juniperway::lab {

class BackendServer {
 public:
  // Listens at once. Throws std::exception when it cannot (set-up fault).
  // @param ledger may be null; must outlive the server.
  BackendServer(asio::io_context& context, const BackendSettings& settings,
                Ledger* ledger);
  ~BackendServer();
  BackendServer(const BackendServer&) = delete;
  BackendServer& operator=(const BackendServer&) = delete;

  // Where it listens; keeps its port over Crash and Restart.
  asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  BackendModel& model() { return model_; }

  // Closes every connection and the listener; running work is forgotten.
  void Crash();
  // Listens again, with cold caches. Does nothing when running.
  void Restart();
  bool crashed() const { return server_ == nullptr; }

 private:
  struct Running;

  void Listen(const asio::ip::tcp::endpoint& endpoint);
  void HandleConnection(const asio::ip::tcp::endpoint& remote, bool open);
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder);
  void HandleSearch(const net::HttpRequest& request,
                    const std::shared_ptr<net::HttpResponder>& responder);
  void HandleCancel(const net::HttpRequest& request,
                    net::HttpResponder& responder);
  void HandleHealth(const net::HttpRequest& request,
                    net::HttpResponder& responder);
  void StartSearch(const SearchRequest& request,
                   const std::shared_ptr<net::HttpResponder>& responder);
  void Run(const SearchRequest& request, const Admission& admission,
           const std::shared_ptr<net::HttpResponder>& responder);
  void End(const std::string& attempt_id);
  void Cancel(const std::string& attempt_id);
  // The set-up time still to be paid on the connection of `remote`.
  Duration TakeConnectionCost(const asio::ip::tcp::endpoint& remote);
  net::HttpResponse Response(int status, bool not_run,
                             const nlohmann::json& body);

  asio::io_context& context_;
  BackendModel model_;
  Ledger* ledger_;
  asio::ip::tcp::endpoint endpoint_;
  // Of earlier crashes: a server must outlive its connections, which end in
  // later turns of the event loop.
  std::vector<std::unique_ptr<net::HttpServer>> closed_servers_;
  std::unique_ptr<net::HttpServer> server_;
  // By attempt id.
  std::map<std::string, std::shared_ptr<Running>> running_;
  // Open connections, and those that have not been used yet.
  std::set<asio::ip::tcp::endpoint> connections_;
  std::set<asio::ip::tcp::endpoint> unused_connections_;
};

}  // namespace juniperway::lab
