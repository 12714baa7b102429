#include "daemon/router_role.h"

#include <asio/post.hpp>
#include <random>
#include <string>
#include <utility>

#include "common/forwarding/router_server.h"
#include "common/net/address.h"
#include "common/session/control_session_client.h"

namespace juniperway::daemon {
namespace {

// How long the fleet may take to be told of the leave.
constexpr Duration kLeaveTimeout = seconds(1);
// After a restart a router has nothing to go on: it does not wait long for a
// control machine that is silent, but tries the next.
constexpr Duration kConnectTimeout = milliseconds(300);
constexpr Duration kLongestReconnectDelay = milliseconds(500);
constexpr Duration kGoodbyeTimeout = milliseconds(200);

session::SessionOptions MakeSessionOptions(const Settings& settings) {
  session::SessionOptions options;
  options.cluster = settings.cluster;
  options.daemon_id = settings.name;
  options.zone = settings.zone;
  options.region = settings.region;
  options.peer_address = net::FormatEndpoint(settings.router->http_listen);
  options.gateway = false;
  options.router = true;
  options.control_endpoints = settings.control_peers;
  options.timing.connect_timeout = kConnectTimeout;
  options.timing.reconnect_maximum = kLongestReconnectDelay;
  return options;
}

forwarding::RouterOptions MakeRouterOptions(const Settings& settings) {
  forwarding::RouterOptions options;
  options.name = settings.name;
  options.http_listen = settings.router->http_listen;
  options.ready_listen = settings.router->ready_listen;
  options.headers = settings.router->headers;
  options.pool.router = settings.name;
  options.pool.zone = settings.zone;
  options.pool.regions = settings.router->zones;
  options.pool.extra = settings.router->extra;
  options.pool.extra.slack_from =
      ReadMonotonicClock() + settings.router->extra.window;
  options.pool.shares_observations = settings.router->shares_observations;
  options.pool.seed = std::random_device()();
  return options;
}

}  // namespace

struct RouterRole::Implementation {
  Implementation(const Settings& settings, prometheus::Registry& registry)
      : stop_timeout(settings.stop_timeout),
        session(loop.context(), MakeSessionOptions(settings)),
        router(loop.context(), MakeRouterOptions(settings), registry) {
    listeners = {{"router.http", router.http_endpoint()},
                 {"router.ready", router.ready_endpoint()}};
    session.SetViewListener(
        [this](const session::FleetViewPointer& view) { router.OnView(view); });
    session.SetRatePorts(
        {.make_report =
             [this](MonotonicTime now) { return router.MakeRateReport(now); },
         .on_grants =
             [this](const std::vector<quota::RateGrant>& grants,
                    std::uint64_t term, MonotonicTime asked_at) {
               router.OnRateGrants(grants, term, asked_at);
             }});
    session.SetAnswerReportPorts(
        {.make_report = [this] { return router.MakeAnswerReport(); },
         .on_new_leader = [this] { router.OnNewLeader(); },
         .on_renewed =
             [this](const std::vector<rollout::RolloutNumber>& rollouts,
                    MonotonicTime asked_at) {
               router.OnSharesRenewed(rollouts, asked_at);
             }});
    session.SetObservationListener(
        [this](const observation::BackendObservations& observations) {
          router.OnObservations(observations);
        });
    router.SetObservationReport(
        [this](const observation::BackendObservations& observations) {
          session.SendObservations(observations);
        });
    router.SetHeartbeatRequest([this] { session.SendReportSoon(); });
    router.SetReleaseReport(
        [this](std::uint64_t revision) { session.ReportReleased(revision); });
    router.SetCrashReport([this](const session::CrashReport& report) {
      session.ReportCrash(report);
    });
    session.Start();
    loop.Start();
  }

  ~Implementation() { loop.Stop(); }

  void Stop(std::function<void()> done) {
    session.Leave(kLeaveTimeout, [] {});
    router.Stop(stop_timeout, [this, done = std::move(done)] {
      session.Goodbye(kGoodbyeTimeout, done);
    });
  }

  Duration stop_timeout;
  EventLoopThread loop;
  session::ControlSessionClient session;
  forwarding::RouterServer router;
  std::vector<Listener> listeners;
};

RouterRole::RouterRole(const Settings& settings, prometheus::Registry& registry)
    : implementation_(std::make_unique<Implementation>(settings, registry)) {}

RouterRole::~RouterRole() = default;

std::vector<Listener> RouterRole::listeners() const {
  return implementation_->listeners;
}

void RouterRole::Reload(const Settings& settings) {
  asio::post(implementation_->loop.context(),
             [this, peers = settings.control_peers] {
               implementation_->session.AddControlEndpoints(peers);
             });
}

void RouterRole::Stop(std::function<void()> done) {
  asio::post(implementation_->loop.context(),
             [this, done = std::move(done)]() mutable {
               implementation_->Stop(std::move(done));
             });
}

}  // namespace juniperway::daemon
