// The I/O of one client's request: carries out what its RequestRun decides and
// answers the client. Keeps itself alive while anything is under way.
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

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  // What exchanges of one router share; outlives them.
  struct Environment {
    asio::io_context& context;
    net::HttpClient& client;
    BackendPool& pool;
    RouterMetrics& metrics;
    HeaderNames names;
    RunOptions run_options;
    // Takes another token of a tenant's limit for a request whose own was not
    // used in time.
    // @return until when it is to be used; nothing: there is none now.
    std::function<std::optional<MonotonicTime>(const std::string& tenant)>
        renew_token;
    // What an exchange waits for may have changed, or an attempt has ended.
    std::function<void(const Exchange& exchange)> on_progress;
    // An exchange is over: the client was answered or is gone.
    std::function<void(const Exchange& exchange)> on_over;
  };

  struct Request {
    // Unique in this process, in the order of arrival.
    std::uint64_t number = 0;
    // Keeps `route` alive.
    routes::RouteTablePointer table;
    const routes::Route* route = nullptr;
    // Of a split: the chosen part.
    std::string service;
    // Of the tenant, or of the route where there is none.
    std::uint32_t priority = 0;
    // Of the tenant, besides the route's.
    routes::HomeRegions home_regions;
    // The tenant whose limit it counts against; empty: none.
    std::string limited_tenant;
    // The tenant's token that it holds must be used by then.
    MonotonicTime token_until = MonotonicTime::max();
    ForwardedRequest forwarded;
    RequestFingerprint fingerprint;
    // The client's address, without its port.
    std::string caller;
    // See RequestRun.
    bool suspected = false;
    // Of the view that it was routed by.
    std::uint64_t revision = 0;
    MonotonicTime began;
    MonotonicTime deadline;
    // How long before `began` the client asked for the first time.
    Duration elapsed_before{};
  };

  Exchange(Environment& environment, Request request,
           std::shared_ptr<net::HttpResponder> responder,
           std::shared_ptr<RouteLatency> latency);

  void Start();
  // Of a request that waits for back ends: sends it if enough are free.
  // @return false when it has to go on waiting.
  bool Admit();
  // Of a request that waits for back ends: refuses it.
  void StopWaiting();
  // Back ends may have become free.
  void OnCapacity();
  // Answers at once that nothing more is done (the end of a planned stop).
  void Abandon();

  const Request& request() const { return request_; }
  const RequestRun& run() const { return run_; }

 private:
  // Carries out the run's actions until there are none, answers when it is
  // over, and arms the timer.
  void Pump();
  void Send(const SendAction& action);
  // @param sent when the attempt was started.
  void OnResponse(const SendAction& action, MonotonicTime sent,
                  net::HttpClientResponse response);
  void OnClientGone();
  bool HasToken(MonotonicTime now);
  void ArmTimer();
  void Finish();
  // Tells the client, the log and the metrics.
  void Answer(RunOutcome outcome);
  // For the log.
  std::string Fingerprint() const;
  void LogEnd(const RunOutcome& outcome, Duration elapsed) const;

  Environment& environment_;
  Request request_;
  std::shared_ptr<net::HttpResponder> responder_;
  std::shared_ptr<RouteLatency> latency_;
  RequestRun run_;
  asio::steady_timer timer_;
  // When the timer fires; max(): it is not armed. A deadline that moves back
  // leaves it as it is, and the run then has nothing to do: most answers move
  // the deadline, and each new time would cost a system call.
  MonotonicTime timer_due_ = MonotonicTime::max();
  std::map<AttemptId, net::HttpClient::RequestHandle> handles_;
  // When the request was first sent, if it was.
  MonotonicTime admitted_at_;
  bool over_ = false;
};

}  // namespace juniperway::forwarding
