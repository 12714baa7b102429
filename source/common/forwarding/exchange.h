// Performs the I/O of one client's request: carries out the actions of its
// RequestRun and answers the client. ExchangeDispatcher owns exchanges; the
// callbacks of attempts in flight keep an exchange alive as well. Runs on the
// io_context's thread.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/base/request_fingerprint.h"
#include "common/forwarding/header_names.h"
#include "common/forwarding/message_codec.h"
#include "common/forwarding/request_run.h"
#include "common/forwarding/router_metrics.h"
#include "common/net/http_client.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

// One client's request from its arrival to its answer.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // The objects that all exchanges of one router share. RouterServer owns it;
  // it outlives the exchanges.
  struct Environment {
    asio::io_context& context;
    net::HttpClient& client;
    BackendPool& pool;
    RouterMetrics& metrics;
    HeaderNames names;
    RunOptions run_options;
    // Takes another token of a tenant's limit for a request whose own token has
    // expired.
    // @return when the new token expires; std::nullopt when there is none.
    std::function<std::optional<MonotonicTime>(const std::string& tenant)>
        renew_token;
    // The exchange calls this after an attempt has ended. The exchange may then
    // wait for other backends.
    std::function<void(const Exchange& exchange)> on_progress;
    // The exchange calls this once it is over, when the client has its answer
    // or has disconnected.
    std::function<void(const Exchange& exchange)> on_over;
  };

  // A routed request. `number`, `route` and `table` are always set.
  struct Request {
    // Unique in this process, in the order of arrival.
    std::uint64_t number = 0;
    // The route table that owns `route`; this pointer keeps both alive.
    routes::RouteTablePointer table;
    const routes::Route* route = nullptr;
    // The service that the router chose for a split route; empty for a scatter.
    std::string service;
    // Priority of the tenant, or of the route when there is no tenant; 0 is the
    // most urgent.
    std::uint32_t priority = 0;
    // The tenant's home regions, which apply in addition to the route's.
    routes::HomeRegions home_regions;
    // The tenant whose rate limit applies; empty when none applies.
    std::string limited_tenant;
    // When the request's token of the tenant's limit expires.
    MonotonicTime token_until = MonotonicTime::max();
    ForwardedRequest forwarded;
    RequestFingerprint fingerprint;
    // The client's address, without its port.
    std::string client_address;
    // Whether backends have crashed while they ran this request before; see
    // RequestRun.
    bool suspected = false;
    // Revision of the fleet view by which the request was routed.
    std::uint64_t revision = 0;
    // When the request arrived at this router.
    MonotonicTime began;
    MonotonicTime deadline;
    // How long before `began` the client first sent the request, possibly to
    // another router.
    Duration elapsed_before{};
  };

  Exchange(Environment& environment, Request request,
           std::shared_ptr<net::HttpResponder> responder,
           std::shared_ptr<RouteLatency> latency);

  void Start();
  // Sends a request that waits for backends, if enough of them are free.
  // @return false when the request has to keep waiting.
  bool Admit();
  // Refuses a request that waits for backends.
  void StopWaiting();
  // Sends the attempts that wait for a backend. The dispatcher calls this when
  // backends may have become free.
  void OnCapacity();
  // Cancels the attempts in flight and answers the client at once. The router
  // calls this at the end of its graceful shutdown.
  void Abandon();

  const Request& request() const { return request_; }
  const RequestRun& run() const { return run_; }

 private:
  // Carries out the run's pending actions, then answers the client if the run
  // is over, or else arms the timer.
  void CarryOutActions();
  void Send(const SendAction& action);
  // @param sent when the attempt was sent.
  void OnResponse(const SendAction& action, MonotonicTime sent,
                  net::HttpClientResponse response);
  void OnClientGone();
  bool HasToken(MonotonicTime now);
  void ArmTimer();
  void Finish();
  // Sends the answer to the client, and updates the log and the metrics.
  void Answer(RunOutcome outcome);
  // Returns the request's fingerprint as text, for the log.
  std::string Fingerprint() const;
  void LogEnd(const RunOutcome& outcome, Duration elapsed) const;

  Environment& environment_;
  Request request_;
  std::shared_ptr<net::HttpResponder> responder_;
  std::shared_ptr<RouteLatency> latency_;
  RequestRun run_;
  asio::steady_timer timer_;
  // When the timer fires; max() while it is not armed. A deadline that moves to
  // a later time leaves the timer armed, and the run then does nothing when it
  // fires: most answers move the deadline, and rearming costs a system call.
  MonotonicTime timer_due_ = MonotonicTime::max();
  std::map<AttemptId, net::HttpClient::RequestHandle> handles_;
  // When the run was started or, if it had to wait, admitted.
  MonotonicTime admitted_at_;
  bool over_ = false;
};

}  // namespace juniperway::forwarding
