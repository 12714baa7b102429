// The router: takes clients' HTTP requests and forwards each by the route table
// to discovered back ends. Uses the newest view that its session has; a router
// that is cut off from control goes on with what it has.
//
// Owns its listeners and connections; the session belongs to the caller.
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

struct RouterOptions {
  std::string name;
  asio::ip::tcp::endpoint http_listen;
  // GET /v1/ready answers 200 while requests should come here, else 503.
  asio::ip::tcp::endpoint ready_listen;
  HeaderNames headers;
  PoolOptions pool;
  RunOptions run;
  // In a planned stop: how long new requests are still taken, because load
  // balancers take a while to see that the router is not ready any more.
  Duration stop_notice = milliseconds(2500);
};

class RouterServer {
 public:
  // @param registry outlives the router.
  // Throws std::exception when an address cannot be bound.
  RouterServer(asio::io_context& context, const RouterOptions& options,
               prometheus::Registry& registry);
  ~RouterServer();
  RouterServer(const RouterServer&) = delete;
  RouterServer& operator=(const RouterServer&) = delete;

  void OnView(const session::FleetViewPointer& view);

  // @param report passes on to control what this router sees of requests under
  //   which back ends end. To be set before requests come.
  void SetCrashReport(CrashReporter::Report report);

  // @param ask a heartbeat should be sent soon, for what it carries. To be set
  //   before requests come.
  void SetReportAsk(std::function<void()> ask);

  // @param report as of this revision no attempt of this router is under way at
  //   a back end that gets no new work. Called while a roll-out is under way.
  //   To be set before requests come.
  void SetReleaseReport(std::function<void(std::uint64_t revision)> report);
  // Leased rates of tenants' limits, which travel in the session's heartbeats.
  quota::RateReport MakeRateReport(MonotonicTime now);
  // See session::ControlSessionClient::RatePorts.
  void OnRateGrants(const std::vector<quota::RateGrant>& grants,
                    std::uint64_t term, MonotonicTime asked_at);

  // Reports on canaries, which travel in the session's heartbeats.
  std::vector<rollout::AnswerReport> MakeAnswerReport();
  // A leader hears the reports that has heard none before.
  void OnNewLeader();
  // See session::ControlSessionClient::AnswerReportPorts.
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime asked_at);

  // @param report passes on to control what this router sees of back ends; what
  //   it does not reach is lost. To be set before requests come.
  void SetObservationReport(ObservationReporter::Report report);
  // What other routers see of back ends.
  void OnObservations(const observation::BackendObservations& observations);

  // Planned stop: not ready at once; requests go on being taken for the notice
  // time, and each answer closes its connection. `done` runs once nothing is
  // under way, or after `timeout`, when the rest is answered as given up.
  void Stop(Duration timeout, std::function<void()> done);

  asio::ip::tcp::endpoint http_endpoint() const;
  asio::ip::tcp::endpoint ready_endpoint() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace juniperway::forwarding
