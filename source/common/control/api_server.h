// The HTTP server of the resource API on one control node. It checks the bearer
// token, answers the calls that need no leader (local reads, watches, backups)
// and forwards all others to the leader.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>

#include "common/control/api_call.h"
#include "common/control/order_sender.h"
#include "common/control/watch_list.h"
#include "common/net/http_server.h"

namespace juniperway::control {

// Owned by ControlNode. Runs on the thread of its io_context.
class ApiServer {
 public:
  struct Options {
    asio::ip::tcp::endpoint listen;
    // If the token is empty, the server listens on the loopback interface only,
    // unless `allow_without_token` is set.
    std::string bearer_token;
    // Listens on `listen` even without a token.
    bool allow_without_token = false;
    // Bounds the wait for the leader's answer to a forwarded call.
    Duration call_timeout = seconds(5);
    // See OrderTiming::start.
    Duration order_start_timeout{};
    // Seed of the generated change ids.
    std::uint64_t seed = 0;
  };
  struct Ports {
    // Returns the state that was committed on this node.
    std::function<const ControlState&()> state;
    // Forwards a call to the leader and passes the leader's answer to the
    // callback, or status 503 or 504 when the leader does not answer.
    std::function<void(ApiCall, MonotonicTime deadline, ApiCallback)>
        forward_to_leader;
    // Answers a read from this node's state, which may lag behind the leader's.
    std::function<net::HttpResponse(const ApiCall&)> read_locally;
    // Returns this node's own fields of /v1/status.
    std::function<nlohmann::json()> describe_node;
    // Creates the content of a backup file.
    std::function<Result<std::string>()> create_backup;
    // See OrderSender::Ports.
    std::function<void(OrderDropReason)> on_order_dropped;
  };

  // Throws std::exception when the address cannot be bound.
  ApiServer(asio::io_context& context, const Options& options, Ports ports);

  asio::ip::tcp::endpoint local_endpoint() const {
    return server_.local_endpoint();
  }
  // The owner calls this when the state's revision has grown.
  void OnStateChanged() { watches_.OnStateChanged(); }
  // Answers watches whose deadline has passed. The owner calls this a few times
  // a second.
  void Tick(MonotonicTime now) { watches_.Tick(now); }
  // Whether no order waits to be passed to the leader.
  bool idle() const { return orders_.idle(); }
  // Stops accepting connections. Calls in flight may still be answered.
  void StopAccepting() { server_.StopAccepting(); }
  void Close();

 private:
  void Handle(const net::HttpRequest& request,
              const std::shared_ptr<net::HttpResponder>& responder);
  bool IsAuthorized(const net::HttpRequest& request) const;
  Result<ApiCall> MakeCall(const net::HttpRequest& request);
  void Watch(const ApiCall& call, const ApiCallback& answer);
  void GetStatus(ApiCall call, const ApiCallback& answer);
  net::HttpResponse GetBackup() const;

  Options options_;
  Ports ports_;
  std::mt19937_64 random_;
  WatchList watches_;
  OrderSender orders_;
  // Declared last, because its handler uses the other members.
  net::HttpServer server_;
};

}  // namespace juniperway::control
