// The router: accepts clients' HTTP requests and forwards each one to
// discovered backends as the route table says. The router uses the newest fleet
// view of its session; a router that is partitioned from the control group
// keeps using the latest view that it received.
//
// The daemon's router role owns the server and the session with the control
// group. The server owns its listeners and connections.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/forwarding/backend_pool.h"
#include "common/forwarding/crash_reporter.h"
#include "common/forwarding/header_names.h"
#include "common/forwarding/observation_reporter.h"
#include "common/forwarding/request_run.h"
#include "common/observation/backend_observation.h"
#include "common/quota/rate_messages.h"
#include "common/rollout/answer_counts.h"
#include "common/session/control_session.h"

namespace juniperway::forwarding {

// Settings of one router.
struct RouterOptions {
  std::string name;
  asio::ip::tcp::endpoint http_listen;
  // GET /v1/ready answers 200 while the router is ready for requests, else 503.
  asio::ip::tcp::endpoint ready_listen;
  HeaderNames headers;
  PoolOptions pool;
  RunOptions run;
  // How long the router accepts new requests after a graceful shutdown begins:
  // load balancers notice only after a delay that the router is no longer
  // ready.
  Duration stop_notice = milliseconds(2500);
};

// One router; runs on the io_context's thread.
class RouterServer {
 public:
  // @param registry outlives the router.
  // Throws std::exception when the router cannot bind an address.
  RouterServer(asio::io_context& context, const RouterOptions& options,
               prometheus::Registry& registry);
  ~RouterServer();
  RouterServer(const RouterServer&) = delete;
  RouterServer& operator=(const RouterServer&) = delete;

  // Applies a new fleet view. The session calls this with each one.
  void OnView(const session::FleetViewPointer& view);

  // Must be called before the first request.
  // @param report sends a crash report to the control group.
  void SetCrashReport(CrashReporter::Report report);

  // Must be called before the first request.
  // @param ask makes the session send a heartbeat soon, for the reports that
  // the
  //   heartbeat carries.
  void SetHeartbeatRequest(std::function<void()> ask);

  // Must be called before the first request.
  // @param report reports to the control group that this router has no attempt
  //   in flight at a retired backend as of `revision`. Called while any service
  //   has a rollout.
  void SetReleaseReport(std::function<void(std::uint64_t revision)> report);
  // Returns the demand for tokens of the tenants' limits, which the session's
  // heartbeats carry.
  quota::RateReport MakeRateReport(MonotonicTime now);
  // See session::ControlSessionClient::RatePorts.
  void OnRateGrants(const std::vector<quota::RateGrant>& grants,
                    std::uint64_t term, MonotonicTime report_sent_at);

  // Returns the reports on canaries' answers, which the session's heartbeats
  // carry.
  std::vector<rollout::AnswerReport> MakeAnswerReport();
  // Makes the router send all its canary reports again, because a new leader
  // has received none. Call it when the session reaches another leader.
  void OnNewLeader();
  // See session::ControlSessionClient::AnswerReportPorts.
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime report_sent_at);

  // Must be called before the first request.
  // @param report sends this router's observations of backends to the control
  //   group, without retries.
  void SetObservationReport(ObservationReporter::Report report);
  // Applies the observations that other routers made of backends.
  void OnObservations(const observation::BackendObservations& observations);

  // Begins a graceful shutdown. The router is not ready from now on, but
  // accepts requests for RouterOptions::stop_notice; each answer closes its
  // connection.
  // @param timeout time until the process is killed.
  // @param done called once no request is in flight, or shortly before the
  //   timeout, after the router has abandoned the remaining requests.
  void Stop(Duration timeout, std::function<void()> done);

  asio::ip::tcp::endpoint http_endpoint() const;
  asio::ip::tcp::endpoint ready_endpoint() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::forwarding
