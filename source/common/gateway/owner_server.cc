#include "common/gateway/owner_server.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "common/gateway/front_link.h"
#include "common/gateway/owner_backend.h"
#include "common/gateway/owner_metrics.h"
#include "common/logging/event_log.h"
#include "common/net/frame_connection.h"
#include "common/owner/ejection.h"
#include "common/owner/events.h"
#include "common/owner/ownership_tracker.h"

namespace juniperway::gateway {
namespace {

using owner::GateAccess;
using owner::SubqueryId;

// How often the lease is looked at when nothing else happens.
constexpr Duration kLeasePoll = milliseconds(20);

}  // namespace

struct OwnerServer::Implementation : FrontLink::Handler,
                                     OwnerBackend::Listener {
  Implementation(asio::io_context& io_context, OwnerOptions owner_options,
                 session::ControlSession& control_session,
                 prometheus::Registry& registry)
      : context(io_context),
        options(std::move(owner_options)),
        session(control_session),
        metrics(registry),
        tracker(options.daemon_id),
        lease_timer(io_context),
        stop_timer(io_context),
        listener(io_context, options.listen,
                 [this](std::shared_ptr<net::FrameConnection> connection) {
                   OnAccept(std::move(connection));
                 }) {
    OnView(session.View());
    OnProgress();
    PollLease();
  }

  ~Implementation() override {
    stop_done = nullptr;
    for (const auto& link : std::set(links)) {
      link->Close();
    }
  }

  // --- Views and the lease ---

  void OnView(const session::FleetViewPointer& view) {
    const MonotonicTime now = ReadMonotonicClock();
    CheckLease(now);
    const auto change = tracker.OnView(view);
    for (const std::string& name : change.gained) {
      logging::LogEvent(owner::kBackendGained,
                        {{"backend", name}, {"revision", view->revision}});
      if (!backends.contains(name)) {
        backends.emplace(name, NewBackend(name, *view));
        if (stopping) {
          backends.at(name)->Stop(now);
        }
      }
    }
    std::set<std::string> owned;
    for (const auto& [name, backend] : backends) {
      backend->OnView(*view, now);
      if (tracker.Owns(name)) {
        owned.insert(name);
      }
    }
    ejection = owner::EjectionPolicy(*view, owned);
    RefreshEjection(now);
    RefreshAccess(now);
  }

  std::unique_ptr<OwnerBackend> NewBackend(const std::string& name,
                                           const session::FleetView& view) {
    OwnerBackendOptions backend_options{
        .name = name,
        .attempt_prefix =
            options.daemon_id + "-" + std::to_string(options.incarnation) + "-",
        .hop_margin = options.hop_margin,
        .probe_interval = options.probe_interval,
        .seed = options.seed + std::hash<std::string>()(name)};
    return std::make_unique<OwnerBackend>(context, std::move(backend_options),
                                          view, metrics, *this);
  }

  void OnProgress() {
    tracker.OnInForce(session.InForceRevision());
    tracker.OnZoneReleased(session.ZoneReleasedRevision());
    RefreshAccess(ReadMonotonicClock());
  }

  // Hands each back end its access, and reports what was let go.
  void RefreshAccess(MonotonicTime now) {
    for (const auto& [name, backend] : backends) {
      backend->SetAccess(tracker.AccessTo(name), now);
      if (!tracker.Owns(name) && backend->gate().idle()) {
        // One that was still waiting for its predecessor had nothing to let go
        // of, and says nothing now.
        tracker.OnBackendReleased(name);
        DiscardLater(name);
      }
    }
    ReportReleased();
  }

  void ReportReleased() {
    const resources::Revision released = tracker.released();
    if (released > reported_release) {
      reported_release = released;
      session.ReportReleased(released);
    }
  }

  void PollLease() {
    const MonotonicTime now = ReadMonotonicClock();
    CheckLease(now);
    RefreshEjection(now);
    lease_timer.expires_after(kLeasePoll);
    lease_timer.async_wait([this, weak = std::weak_ptr<char>(alive)](
                               const asio::error_code& error) {
      if (!error && !weak.expired()) {
        PollLease();
      }
    });
  }

  void CheckLease(MonotonicTime now) override {
    const bool has_lease = session.HasLease(now);
    if (has_lease == leased) {
      return;
    }
    leased = has_lease;
    if (leased) {
      logging::LogEvent(owner::kOwnerLeaseGained, {});
      tracker.OnLeaseGained();
      RefreshAccess(now);
      return;
    }
    logging::LogEvent(owner::kOwnerLeaseLost, {{"open", in_flight()}});
    for (const auto& [name, backend] : backends) {
      backend->CutOff(now);
    }
    tracker.OnLeaseLost();
    ReportReleased();
  }

  void RefreshEjection(MonotonicTime now) {
    std::set<std::string> open;
    for (const auto& [name, backend] : backends) {
      if (backend->gate().breaker_state(now) != owner::BreakerState::kClosed) {
        open.insert(name);
      }
    }
    for (const auto& [name, backend] : backends) {
      backend->SetMayEject(ejection.MayEject(name, open), now);
    }
  }

  // --- Fronts ---

  void OnAccept(std::shared_ptr<net::FrameConnection> connection) {
    const auto link = std::make_shared<FrontLink>(
        context, std::move(connection), options.flush_delay, *this);
    links.insert(link);
    link->Start();
  }

  void OnClosed(const std::shared_ptr<FrontLink>& link) override {
    links.erase(link);
    FinishStop();
  }

  SubqueryId NewSubqueryId() override { return next_id++; }

  void Submit(SubqueryId id, const std::shared_ptr<FrontLink>& link,
              std::uint64_t query_id, std::uint32_t attempt_id,
              SubqueryOrder order) override {
    const MonotonicTime now = ReadMonotonicClock();
    CheckLease(now);
    const auto backend = backends.find(order.backend);
    if (backend == backends.end()) {
      SubqueryAnswer answer;
      answer.attempt_id = attempt_id;
      answer.outcome = protocol::SubqueryOutcome::kNotOwner;
      metrics.Results(answer.outcome).Increment();
      link->Complete(query_id, std::move(answer));
      return;
    }
    subqueries.emplace(
        id, Subquery{link, query_id, attempt_id, backend->second.get()});
    const MonotonicTime deadline = now + order.remaining - options.hop_margin;
    backend->second->Submit(id, std::move(order), deadline, now);
  }

  void Cancel(SubqueryId id) override {
    const auto subquery = subqueries.find(id);
    if (subquery != subqueries.end()) {
      subquery->second.backend->Cancel(id, ReadMonotonicClock());
    }
  }

  // --- Back ends ---

  void OnResult(SubqueryId id, SubqueryAnswer answer) override {
    const auto found = subqueries.find(id);
    if (found == subqueries.end()) {
      return;
    }
    const Subquery subquery = std::move(found->second);
    subqueries.erase(found);
    answer.attempt_id = subquery.attempt_id;
    if (const auto link = subquery.link.lock()) {
      link->Complete(subquery.query_id, std::move(answer));
    }
    FinishStop();
  }

  void OnReport(const std::string& backend,
                const session::BackendReport& report) override {
    session.ReportBackend(backend, report);
  }

  void OnBreakerOpened() override { RefreshEjection(ReadMonotonicClock()); }

  void OnLetGo(const std::string& backend) override {
    tracker.OnBackendReleased(backend);
    ReportReleased();
    if (!tracker.Owns(backend)) {
      DiscardLater(backend);
    } else if (tracker.AccessTo(backend) == GateAccess::kOpen) {
      // It was let go and taken anew; the zone's word came before ours.
      asio::post(context, [this, weak = std::weak_ptr<char>(alive)] {
        if (!weak.expired()) {
          RefreshAccess(ReadMonotonicClock());
        }
      });
    }
  }

  // The caller may be the back end itself.
  void DiscardLater(const std::string& name) {
    asio::post(context, [this, name, weak = std::weak_ptr<char>(alive)] {
      if (weak.expired()) {
        return;
      }
      const auto found = backends.find(name);
      if (found != backends.end() && !tracker.Owns(name) &&
          found->second->gate().idle()) {
        logging::LogEvent(owner::kBackendReleased, {{"backend", name}});
        backends.erase(found);
      }
    });
  }

  // --- Stop ---

  void Stop(Duration timeout, std::function<void()> done) {
    stop_done = std::move(done);
    const MonotonicTime now = ReadMonotonicClock();
    stopping = true;
    for (const auto& [name, backend] : backends) {
      backend->Stop(now);
    }
    stop_timer.expires_after(timeout);
    stop_timer.async_wait([this, weak = std::weak_ptr<char>(alive)](
                              const asio::error_code& error) {
      if (!error && !weak.expired()) {
        CompleteStop();
      }
    });
    FinishStop();
  }

  // Runs `done` once no result is owed any more and all have been written.
  void FinishStop() {
    if (!stop_done || in_flight() > 0 || finish_scheduled) {
      return;
    }
    finish_scheduled = true;
    flush_poll.expires_after(kFlushPoll);
    flush_poll.async_wait([this, weak = std::weak_ptr<char>(alive)](
                              const asio::error_code& error) {
      if (error || weak.expired()) {
        return;
      }
      finish_scheduled = false;
      for (const auto& link : links) {
        if (link->queued_bytes() > 0) {
          FinishStop();
          return;
        }
      }
      if (in_flight() == 0) {
        CompleteStop();
      }
    });
  }

  void CompleteStop() {
    if (!stop_done) {
      return;
    }
    stop_timer.cancel();
    logging::LogEvent(owner::kOwnerStopped, {{"cut_off", in_flight()}});
    const MonotonicTime now = ReadMonotonicClock();
    for (const auto& [name, backend] : backends) {
      backend->CutOff(now);
    }
    std::exchange(stop_done, nullptr)();
  }

  std::size_t in_flight() const { return subqueries.size(); }

  struct Subquery {
    std::weak_ptr<FrontLink> link;
    std::uint64_t query_id = 0;
    std::uint32_t attempt_id = 0;
    OwnerBackend* backend = nullptr;
  };

  // Time for the last results to be written before a stop is over.
  static constexpr Duration kFlushPoll = milliseconds(2);

  asio::io_context& context;
  OwnerOptions options;
  session::ControlSession& session;
  OwnerMetrics metrics;
  owner::OwnershipTracker tracker;
  owner::EjectionPolicy ejection{session::FleetView(), {}};
  bool leased = false;
  resources::Revision reported_release = 0;
  std::unordered_map<SubqueryId, Subquery> subqueries;
  SubqueryId next_id = 1;
  std::map<std::string, std::unique_ptr<OwnerBackend>> backends;
  std::set<std::shared_ptr<FrontLink>> links;
  bool stopping = false;
  bool finish_scheduled = false;
  std::function<void()> stop_done;
  asio::steady_timer lease_timer;
  asio::steady_timer stop_timer;
  asio::steady_timer flush_poll{context};
  // Outlived by handlers that were already queued.
  std::shared_ptr<char> alive = std::make_shared<char>();
  net::FrameListener listener;
};

OwnerServer::OwnerServer(asio::io_context& context, const OwnerOptions& options,
                         session::ControlSession& session,
                         prometheus::Registry& registry)
    : implementation_(std::make_unique<Implementation>(context, options,
                                                       session, registry)) {}

OwnerServer::~OwnerServer() = default;

asio::ip::tcp::endpoint OwnerServer::local_endpoint() const {
  return implementation_->listener.local_endpoint();
}

void OwnerServer::OnView(const session::FleetViewPointer& view) {
  implementation_->OnView(view);
}

void OwnerServer::OnProgress() { implementation_->OnProgress(); }

void OwnerServer::Stop(Duration timeout, std::function<void()> done) {
  implementation_->Stop(timeout, std::move(done));
}

std::size_t OwnerServer::in_flight() const {
  return implementation_->in_flight();
}

}  // namespace juniperway::gateway
