#include "daemon/gateway_role.h"

#include <prometheus/registry.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <random>
#include <string>
#include <utility>

#include "common/gateway/front_server.h"
#include "common/gateway/owner_server.h"
#include "common/logging/event_log.h"
#include "common/net/address.h"
#include "common/session/control_session_client.h"
#include "daemon/events.h"
#include "daemon/session_metrics.h"

namespace juniperway::daemon {
namespace {

using logging::LogEvent;

constexpr const char* kFolderName = "gateway";
constexpr Duration kMetricsInterval = milliseconds(500);
// How long the fleet may take to replicate the leave.
constexpr Duration kLeaveTimeout = seconds(5);
// How long the other daemons may take to take the leave in.
constexpr Duration kHandOverTimeout = seconds(10);
constexpr Duration kGoodbyeTimeout = seconds(1);
// Longer than a request takes from a caller that has an open connection.
constexpr Duration kLinger = milliseconds(300);

session::SessionOptions MakeSessionOptions(const Settings& settings) {
  session::SessionOptions options;
  options.cluster = settings.cluster;
  options.daemon_id = settings.name;
  options.zone = settings.zone;
  options.region = settings.region;
  options.peer_address = settings.gateway->peer_advertise;
  options.control_endpoints = settings.control_peers;
  options.data_folder = settings.data_folder / kFolderName;
  return options;
}

gateway::OwnerOptions MakeOwnerOptions(const Settings& settings,
                                       std::uint64_t incarnation,
                                       std::uint64_t seed) {
  gateway::OwnerOptions options;
  options.daemon_id = settings.name;
  options.incarnation = incarnation;
  options.zone = settings.zone;
  options.listen = settings.gateway->peer_listen;
  options.seed = seed;
  return options;
}

gateway::FrontOptions MakeFrontOptions(const Settings& settings,
                                       std::uint64_t seed) {
  gateway::FrontOptions options;
  options.daemon_id = settings.name;
  options.zone = settings.zone;
  options.region = settings.region;
  options.http_listen = settings.gateway->http_listen;
  options.http_tls = settings.gateway->http_tls;
  options.maximum_concurrent_queries =
      settings.gateway->maximum_concurrent_queries;
  options.quiet_before_drained = settings.gateway->stop_quiet;
  options.random_seed = seed;
  return options;
}

}  // namespace

struct GatewayRole::Implementation {
  explicit Implementation(const Settings& settings)
      : name(settings.name),
        stop_timeout(settings.stop_timeout),
        seed(std::random_device()()),
        session(loop.context(), MakeSessionOptions(settings)),
        session_metrics(registry),
        owner(loop.context(),
              MakeOwnerOptions(settings, session.incarnation(), seed), session,
              registry),
        front(loop.context(), MakeFrontOptions(settings, seed), session,
              registry),
        listeners({{"gateway.http", front.local_endpoint()},
                   {"gateway.peer", owner.local_endpoint()}}) {
    if (settings.gateway->peer_advertise.empty()) {
      session.SetPeerAddress(net::FormatEndpoint(owner.local_endpoint()));
    }
    session.SetViewListener([this](const session::FleetViewPointer& view) {
      front.OnView(view);
      owner.OnView(view);
      FinishHandOver();
    });
    session.SetProgressListener([this] {
      owner.OnProgress();
      FinishHandOver();
    });
    session.Start();
    UpdateMetrics();
    loop.Start();
  }

  ~Implementation() { loop.Stop(); }

  void UpdateMetrics() {
    session_metrics.Update(session);
    metrics_timer.expires_after(kMetricsInterval);
    metrics_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        UpdateMetrics();
      }
    });
  }

  // --- Planned stop ----------------------------------------------------------
  // Two things go on side by side: the front answers what it has taken, and the
  // owner hands its back ends over. The owner goes on listening until every
  // daemon has taken the leave in, because until then their fronts send here.

  void Stop(std::function<void()> done) {
    stop_done = std::move(done);
    stop_deadline = ReadMonotonicClock() + stop_timeout;
    stop_timer.expires_after(stop_timeout);
    stop_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        GiveUp();
      }
    });
    front.Stop([this] {
      front_drained = true;
      FinishStop();
    });
    if (session.View()->revision == 0) {
      StopOwner();  // never joined: nobody sends here
      return;
    }
    session.Leave(kLeaveTimeout, [this] {
      left = true;
      if (!session.HasLease(ReadMonotonicClock())) {
        // Cut off from control: the fleet learns of it when the lease has run
        // out, and that is over.
        LogEvent(kStopIncomplete, {{"step", "leave"}});
        StopOwner();
        return;
      }
      Step("left");
      hand_over_timer.expires_after(kHandOverTimeout);
      hand_over_timer.async_wait([this](const asio::error_code& error) {
        if (!error) {
          LogEvent(kStopIncomplete, {{"step", "hand over"}});
          StopOwner();
        }
      });
      FinishHandOver();
    });
  }

  // Goes on once every daemon with a lease knows that this one leaves.
  void FinishHandOver() {
    if (!left || owner_stopping) {
      return;
    }
    const session::FleetViewPointer view = session.View();
    const auto self = view->members.find(name);
    const bool seen = self == view->members.end() || self->second.leaving;
    if (seen && session.InForceRevision() >= view->revision) {
      StopOwner();
    }
  }

  void StopOwner() {
    if (owner_stopping) {
      return;
    }
    owner_stopping = true;
    hand_over_timer.cancel();
    Step("handed over");
    owner.Stop(stop_deadline - ReadMonotonicClock(), [this] {
      owner_stopped = true;
      FinishStop();
    });
  }

  void FinishStop() {
    if (!front_drained || !owner_stopped || finishing) {
      return;
    }
    finishing = true;
    Step("drained");
    // Requests that are on their way on open connections are still refused
    // properly; new connections are refused by the system.
    front.StopAccepting();
    linger_timer.expires_after(kLinger);
    linger_timer.async_wait([this](const asio::error_code& error) {
      if (!error) {
        session.Goodbye(kGoodbyeTimeout, [this] { Done(); });
      }
    });
  }

  void GiveUp() {
    if (stop_done) {
      LogEvent(kStopIncomplete, {{"step", "answer"},
                                 {"queries", front.running_queries()},
                                 {"subqueries", owner.in_flight()}});
      finishing = true;
      Done();
    }
  }

  void Done() {
    stop_timer.cancel();
    hand_over_timer.cancel();
    linger_timer.cancel();
    if (stop_done) {
      std::exchange(stop_done, nullptr)();
    }
  }

  void Step(const char* step) {
    LogEvent(kStopStep, {{"step", step},
                         {"queries", front.running_queries()},
                         {"subqueries", owner.in_flight()}});
  }

  std::string name;
  Duration stop_timeout;
  std::uint64_t seed;
  EventLoopThread loop;
  prometheus::Registry registry;
  session::ControlSessionClient session;
  SessionMetrics session_metrics;
  gateway::OwnerServer owner;
  gateway::FrontServer front;
  std::vector<Listener> listeners;
  asio::steady_timer metrics_timer{loop.context()};

  asio::steady_timer stop_timer{loop.context()};
  asio::steady_timer hand_over_timer{loop.context()};
  asio::steady_timer linger_timer{loop.context()};
  MonotonicTime stop_deadline;
  std::function<void()> stop_done;
  bool left = false;
  bool owner_stopping = false;
  bool owner_stopped = false;
  bool front_drained = false;
  bool finishing = false;
};

GatewayRole::GatewayRole(const Settings& settings)
    : implementation_(std::make_unique<Implementation>(settings)) {}

GatewayRole::~GatewayRole() = default;

std::vector<Listener> GatewayRole::listeners() const {
  return implementation_->listeners;
}

void GatewayRole::Stop(std::function<void()> done) {
  asio::post(implementation_->loop.context(),
             [this, done = std::move(done)]() mutable {
               implementation_->Stop(std::move(done));
             });
}

}  // namespace juniperway::daemon
