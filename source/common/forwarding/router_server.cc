#include "common/forwarding/router_server.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "common/base/text.h"
#include "common/forwarding/adaptive_throttle.h"
#include "common/forwarding/client_timeout_estimator.h"
#include "common/forwarding/events.h"
#include "common/forwarding/exchange.h"
#include "common/forwarding/exchange_dispatcher.h"
#include "common/forwarding/fingerprint_request.h"
#include "common/forwarding/message_codec.h"
#include "common/forwarding/observation_reporter.h"
#include "common/forwarding/router_count.h"
#include "common/forwarding/split_chooser.h"
#include "common/forwarding/startup_queue.h"
#include "common/forwarding/stop_plan.h"
#include "common/forwarding/tenant_admission.h"
#include "common/net/address.h"
#include "common/net/http_client.h"
#include "common/net/http_server.h"
#include "common/routes/route_index.h"

namespace juniperway::forwarding {
namespace {

using logging::LogEvent;

constexpr const char* kReadyPath = "/v1/ready";
constexpr int kStatusOk = 200;
constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusHeadersTooLarge = 431;
constexpr int kStatusUnavailable = 503;
// Retry-After while the router has no route table. The router gets the table
// once it reaches a control node and the control group has a leader.
constexpr Duration kStartingRetryAfter = milliseconds(1200);
constexpr Duration kStoppingRetryAfter = milliseconds(50);
// Retry-After of a quarantined request: it stays quarantined for an hour after
// a client last sent it (control/crash_record.h), unless an operator clears it.
constexpr Duration kQuarantineRetryAfter = seconds(3600);
// Range of Retry-After when backends are overloaded. It lies around the decay
// time of AdaptiveThrottle, after which the admitted share has changed.
constexpr Duration kMinimumOverloadRetryAfter =
    AdaptiveThrottle::kDecayTime / 2;
constexpr Duration kMaximumOverloadRetryAfter =
    AdaptiveThrottle::kDecayTime * 3 / 2;
// Minimum interval between reports on canaries that the router sends before the
// next regular heartbeat. It limits a busy router to five reports of about 400
// bytes a second.
constexpr Duration kCanaryReportInterval = milliseconds(200);
constexpr Duration kStopPollInterval = milliseconds(50);
// The HTTP server does not read larger bodies; the route table's limit is
// lower.
constexpr std::size_t kMaximumBodyBytes = 8U << 20;
// Bodies of backends' answers that are under way. Backends that send without
// end must not take the router's memory.
constexpr std::size_t kMaximumBufferedAnswerBytes = 32U << 20;

net::HttpResponse Status(int status) {
  net::HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

class RouterServer::Implementation {
 public:
  Implementation(asio::io_context& context, const RouterOptions& options,
                 prometheus::Registry& registry)
      : options_(options),
        metrics_(registry),
        pool_(options.pool),
        random_(options.pool.seed),
        crash_reporter_(context, crash_guard_,
                        [this](const session::CrashReport& report) {
                          if (crash_report_) {
                            crash_report_(report);
                          }
                        }),
        observation_reporter_(context, pool_.observation_log()),
        client_(context, /*maximum_connections_per_host=*/0,
                BackendPool::kIdleConnectionTimeout,
                kMaximumBufferedAnswerBytes),
        admission_(context,
                   [this] {
                     if (request_heartbeat_) {
                       request_heartbeat_();
                     }
                   }),
        dispatcher_(context),
        environment_{.context = context,
                     .client = client_,
                     .pool = pool_,
                     .metrics = metrics_,
                     .names = options.headers,
                     .run_options = options.run,
                     .renew_token =
                         [this](const std::string& tenant) {
                           return admission_.RenewToken(tenant);
                         },
                     .on_progress =
                         [this](const Exchange& exchange) {
                           dispatcher_.OnProgress(exchange);
                           ReportCanariesSoon();
                           ReportReleased();
                           observation_reporter_.OnAttemptsEnded();
                         },
                     .on_over =
                         [this](const Exchange& exchange) {
                           OnOver(exchange);
                           dispatcher_.OnOver(exchange);
                           ReportReleased();
                         }},
        startup_queue_(
            context,
            [this](const StartupQueue::QueuedRequestPointer& queued) {
              RefuseWithoutTable(queued->message, *queued->responder);
            }),
        stop_timer_(context),
        renewal_timer_(context),
        http_server_(
            context,
            net::HttpServerOptions{.endpoint = options.http_listen,
                                   .maximum_body_bytes = kMaximumBodyBytes,
                                   .connection_listener = {}},
            [this](const net::HttpRequest& request,
                   std::shared_ptr<net::HttpResponder> responder) {
              Handle(request, std::move(responder));
            }),
        ready_server_(
            context,
            net::HttpServerOptions{.endpoint = options.ready_listen,
                                   .connection_listener = {}},
            [this](const net::HttpRequest& request,
                   const std::shared_ptr<net::HttpResponder>& responder) {
              HandleReady(request, *responder);
            }) {
    LogEvent(kRouterListening,
             {{"name", options.name},
              {"http", net::FormatEndpoint(http_server_.local_endpoint())},
              {"ready", net::FormatEndpoint(ready_server_.local_endpoint())}});
  }

  void OnView(const session::FleetViewPointer& view) {
    UpdateEvacuations(*view);
    UpdateRollouts(*view);
    router_count_.Update(view->members);
    pool_.Update(*view, router_count_.routers(), ReadMonotonicClock());
    crash_guard_.OnView(*view);
    metrics_.OnQuarantine(crash_guard_.quarantined());
    revision_ = view->revision;
    ReportReleased();
    metrics_.OnView(revision_,
                    view->route_table ? view->route_table->version : 0, pool_);
    if (view->route_table &&
        (!index_ || index_->table() != view->route_table)) {
      index_ = std::make_shared<routes::RouteIndex>(view->route_table);
      LogEvent(kRouteTableApplied,
               {{"version", view->route_table->version},
                {"revision", view->revision},
                {"routes", view->route_table->routes.size()}});
    }
    LogReadinessChange();
    if (IsReady()) {
      startup_queue_.Release([this](const auto& queued) {
        Route(queued->message, queued->responder, queued->arrived);
      });
    }
  }

  void SetCrashReport(CrashReporter::Report report) {
    crash_report_ = std::move(report);
  }

  void SetHeartbeatRequest(std::function<void()> ask) {
    request_heartbeat_ = std::move(ask);
  }
  void SetReleaseReport(std::function<void(std::uint64_t revision)> report) {
    release_report_ = std::move(report);
  }
  quota::RateReport MakeRateReport(MonotonicTime now) {
    return admission_.MakeReport(now);
  }
  void OnRateGrants(const std::vector<quota::RateGrant>& grants,
                    std::uint64_t term, MonotonicTime report_sent_at) {
    admission_.OnGrants(grants, term, report_sent_at);
  }

  void Stop(Duration timeout, std::function<void()> done) {
    stopping_ = true;
    stop_done_ = std::move(done);
    stop_plan_ = PlanStop(ReadMonotonicClock(), timeout, options_.stop_notice);
    LogEvent(kRouterStopping, {{"requests", dispatcher_.in_flight()}});
    startup_queue_.Release([this](const auto& queued) {
      RefuseWithoutTable(queued->message, *queued->responder);
    });
    LogReadinessChange();
    http_server_.CloseAfterAnswers();
    ContinueStop();
  }

  std::vector<rollout::AnswerReport> MakeAnswerReport() {
    return pool_.answer_tally().MakeReport();
  }
  void OnNewLeader() { pool_.answer_tally().ReportAllAgain(); }
  void OnSharesRenewed(const std::vector<rollout::RolloutNumber>& rollouts,
                       MonotonicTime report_sent_at) {
    pool_.OnSharesRenewed(rollouts, report_sent_at + rollout::kShareLease);
  }

  void SetObservationReport(ObservationReporter::Report report) {
    observation_reporter_.SetReport(std::move(report));
  }
  void OnObservations(const observation::BackendObservations& observations) {
    pool_.OnObservations(observations, ReadMonotonicClock());
    metrics_.OnObservations(pool_.shared_failures());
  }

  asio::ip::tcp::endpoint http_endpoint() const {
    return http_server_.local_endpoint();
  }
  asio::ip::tcp::endpoint ready_endpoint() const {
    return ready_server_.local_endpoint();
  }

 private:
  // Statistics of one route's requests.
  struct RouteHistory {
    explicit RouteHistory(std::uint64_t seed) : throttle(seed) {}

    std::shared_ptr<RouteLatency> latency = std::make_shared<RouteLatency>();
    ClientTimeoutEstimator client_timeouts;
    AdaptiveThrottle throttle;
  };

  // --- Requests --------------------------------------------------------------

  void Handle(const net::HttpRequest& message,
              std::shared_ptr<net::HttpResponder> responder) {
    const MonotonicTime now = ReadMonotonicClock();
    if (stopping_ && now > stop_plan_.accept_until) {
      RefuseNotRun(message, *responder, kStoppingRetryAfter,
                   "this router is shutting down");
      return;
    }
    const bool usable = index_ && pool_.live_backends() > 0;
    if (!usable && startup_queue_.Enqueue(message, responder, now)) {
      return;
    }
    if (!index_) {
      RefuseWithoutTable(message, *responder);
      return;
    }
    Route(message, std::move(responder), now);
  }

  // Finds the request's route and tenant, or refuses the request.
  // @param arrived when the request arrived at this router.
  void Route(const net::HttpRequest& message,
             std::shared_ptr<net::HttpResponder> responder,
             MonotonicTime arrived) {
    const routes::RouteTablePointer& table = index_->table();
    if (HeaderBytes(message) > table->limits.maximum_header_bytes) {
      Refuse(message, *responder, Status(kStatusHeadersTooLarge),
             "headers above the limit");
      return;
    }
    if (message.body.size() > table->limits.maximum_body_bytes) {
      Refuse(message, *responder, Status(kStatusTooLarge),
             "body above the limit");
      return;
    }
    const routes::Route* route = index_->Find(
        message.Header("host").value_or(""), PathOf(message.target));
    if (route == nullptr) {
      Refuse(message, *responder, Status(kStatusNotFound), "no route");
      return;
    }
    const routes::Tenant* tenant = nullptr;
    if (index_->tenants().RequiresKeys() && !route->anonymous) {
      const auto key = routes::ApiKeyOf(message.fields);
      tenant = key ? index_->tenants().Find(*key) : nullptr;
      if (tenant == nullptr) {
        Refuse(message, *responder, Status(kStatusUnauthorized),
               key ? "no tenant has this key" : "no usable key");
        return;
      }
    }
    Begin(message, *route, tenant, std::move(responder), arrived);
  }

  // Starts the request, unless it is quarantined, throttled or beyond its
  // tenant's limit.
  // @param tenant null when the route table has no tenants or the route is
  //   anonymous.
  void Begin(const net::HttpRequest& message, const routes::Route& route,
             const routes::Tenant* tenant,
             std::shared_ptr<net::HttpResponder> responder,
             MonotonicTime arrived) {
    const MonotonicTime now = ReadMonotonicClock();
    Exchange::Request request = MakeRequest(message, route, tenant, arrived);
    const RequestHandling caution =
        crash_guard_.HandlingOf(request.fingerprint, now);
    if (caution == RequestHandling::kRefuse) {
      RefuseQuarantined(message, *responder);
      return;
    }
    request.suspected = caution == RequestHandling::kTrial;
    RouteHistory& history = HistoryOf(route);
    SetTimes(message, arrived, now, history, request);
    // The throttle does not refuse a late request: the request was refused or
    // failed before, and its client has no further retry.
    const bool is_late = request.elapsed_before > route.target;
    if (!is_late && !history.throttle.Admit(now)) {
      metrics_.OnThrottled();
      RefuseNotRun(message, *responder, DrawRetryAfter(),
                   "the backends are overloaded");
      return;
    }
    if (!request.limited_tenant.empty()) {
      AdmitLimited({.request = std::move(request),
                    .responder = std::move(responder),
                    .latency = history.latency});
      return;
    }
    dispatcher_.Start(
        std::make_shared<Exchange>(environment_, std::move(request),
                                   std::move(responder), history.latency));
  }

  // Makes the request with all fields except the deadline and `elapsed_before`.
  Exchange::Request MakeRequest(const net::HttpRequest& message,
                                const routes::Route& route,
                                const routes::Tenant* tenant,
                                MonotonicTime arrived) {
    Exchange::Request request;
    request.number = ++last_request_number_;
    request.table = index_->table();
    request.route = &route;
    request.priority = route.priority;
    if (std::holds_alternative<routes::SplitTarget>(route.destination)) {
      request.service = splits_.Choose(route);
    }
    ClientIdentity identity;
    identity.is_checked = index_->tenants().RequiresKeys();
    if (tenant != nullptr) {
      identity.tenant = tenant->name;
      request.priority = tenant->priority;
      request.home_regions = tenant->home_regions;
      request.limited_tenant =
          tenant->requests_per_second > 0 ? tenant->name : "";
    }
    request.forwarded =
        MakeForwardedRequest(message, options_.headers, identity);
    request.fingerprint = FingerprintOf(message, identity.tenant);
    request.client_address = message.remote.address().to_string();
    request.revision = revision_;
    request.began = arrived;
    return request;
  }

  void SetTimes(const net::HttpRequest& message, MonotonicTime arrived,
                MonotonicTime now, RouteHistory& history,
                Exchange::Request& request) const {
    const auto deadline =
        ParseDeadline(HeaderOf(message, options_.headers.deadline));
    const Duration allowed = deadline.value_or(request.route->timeout);
    request.deadline = arrived + std::min(allowed, request.route->timeout);
    request.elapsed_before =
        history.client_timeouts.EstimateElapsed(allowed, now) + (now - arrived);
  }

  // --- Limits of tenants -----------------------------------------------------

  // A request that needs a token of its tenant's limit.
  struct LimitedRequest {
    Exchange::Request request;
    std::shared_ptr<net::HttpResponder> responder;
    std::shared_ptr<RouteLatency> latency;
    bool client_gone = false;
  };

  void AdmitLimited(LimitedRequest request) {
    const auto limited = std::make_shared<LimitedRequest>(std::move(request));
    limited->responder->OnClientGone(
        [weak = std::weak_ptr<LimitedRequest>(limited)] {
          if (const auto gone = weak.lock()) {
            gone->client_gone = true;
          }
        });
    admission_.Admit(limited->request.limited_tenant,
                     [this, limited](LimitDecision decision, Duration wait) {
                       OnLimitDecision(limited, decision, wait);
                     });
  }

  void OnLimitDecision(const std::shared_ptr<LimitedRequest>& limited,
                       LimitDecision decision, Duration wait) {
    Exchange::Request& request = limited->request;
    metrics_.OnTenantRequest(request.limited_tenant, decision);
    if (decision != LimitDecision::kAdmitted) {
      RefuseLimited(*limited, decision, wait);
      return;
    }
    if (limited->client_gone) {
      admission_.ReleaseToken(request.limited_tenant);
      return;
    }
    request.token_until =
        ReadMonotonicClock() + TenantAdmission::kTokenTimeToLive;
    dispatcher_.Start(std::make_shared<Exchange>(
        environment_, std::move(request), std::move(limited->responder),
        limited->latency));
  }

  void RefuseLimited(const LimitedRequest& limited, LimitDecision decision,
                     Duration wait) {
    const Exchange::Request& request = limited.request;
    const auto lease = admission_.Describe(request.limited_tenant);
    // The delay is random so that refused clients do not retry at the same
    // time.
    std::uniform_real_distribution<double> spread(1, 2);
    const Duration retry_after(static_cast<Duration::rep>(
        static_cast<double>(wait.count()) * spread(random_)));
    LogEvent(kTenantRefused, {{"request", request.forwarded.request_id},
                              {"tenant", request.limited_tenant},
                              {"route", request.route->name},
                              {"decision", NameOf(decision)},
                              {"retry_after_ms", ToMilliseconds(retry_after)},
                              {"grant", lease.grant},
                              {"lease_per_second", lease.rate},
                              {"lease_tokens", lease.tokens},
                              {"lease_age_ms", ToMilliseconds(lease.age)},
                              {"table", request.table->version}});
    net::HttpResponse response =
        decision == LimitDecision::kOverLimit
            ? MakeLimitRefusal(retry_after)
            : MakeRefusal(retry_after, "the tenant's limit cannot be checked");
    metrics_.OnRefused(response.status);
    limited.responder->Send(std::move(response));
  }

  // Releases the unexpired token of a request that was never sent, so that
  // another request can use it.
  void ReturnUnusedToken(const Exchange& exchange) {
    const Exchange::Request& request = exchange.request();
    if (!request.limited_tenant.empty() && exchange.run().attempts() == 0 &&
        ReadMonotonicClock() <= request.token_until) {
      admission_.ReleaseToken(request.limited_tenant);
    }
  }

  // Processes the end of an exchange: releases an unused token, and updates the
  // crash reporter and the route's throttle.
  void OnOver(const Exchange& exchange) {
    ReturnUnusedToken(exchange);
    crash_reporter_.OnRunEnded(exchange.request().fingerprint,
                               exchange.run().crash_evidence());
    const auto history = histories_.find(exchange.request().route->name);
    if (history != histories_.end()) {
      history->second.throttle.OnEnded(exchange.run().overloaded(),
                                       ReadMonotonicClock());
    }
  }

  // The delay is random so that refused clients do not retry at the same time.
  Duration DrawRetryAfter() {
    std::uniform_int_distribution<Duration::rep> draw(
        kMinimumOverloadRetryAfter.count(), kMaximumOverloadRetryAfter.count());
    return Duration(draw(random_));
  }

  static std::string HeaderOf(const net::HttpRequest& message,
                              const std::string& name) {
    return message.Header(ToLower(name)).value_or("");
  }

  void RefuseWithoutTable(const net::HttpRequest& message,
                          net::HttpResponder& responder) {
    RefuseNotRun(message, responder, kStartingRetryAfter, "no route table yet");
  }

  void RefuseQuarantined(const net::HttpRequest& message,
                         net::HttpResponder& responder) {
    metrics_.OnQuarantineRefused();
    RefuseNotRun(message, responder, kQuarantineRetryAfter,
                 "backends crash when they run this request");
  }

  // Refuses a request that did not run; the client may send it again.
  void RefuseNotRun(const net::HttpRequest& message,
                    net::HttpResponder& responder, Duration retry_after,
                    const char* reason) {
    Refuse(message, responder, MakeRefusal(retry_after, reason), reason);
  }

  // Logs and counts the refusal, and answers the client.
  // @param reason written to the log.
  void Refuse(const net::HttpRequest& message, net::HttpResponder& responder,
              net::HttpResponse response, const char* reason) {
    LogEvent(kRequestRefused,
             {{"request", HeaderOf(message, options_.headers.request_id)},
              {"host", message.Header("host").value_or("")},
              {"target", message.target},
              {"status", response.status},
              {"reason", reason},
              {"table", index_ ? index_->table()->version : 0},
              {"revision", revision_}});
    metrics_.OnRefused(response.status);
    responder.Send(std::move(response));
  }

  // --- Readiness -------------------------------------------------------------

  void UpdateEvacuations(const session::FleetView& view) {
    std::set<std::string> zones;
    for (const auto& [zone, evacuation] : view.evacuations) {
      zones.insert(zone);
      if (!evacuated_zones_.contains(zone)) {
        LogEvent(kZoneEvacuated, {{"zone", zone},
                                  {"change", evacuation.change_id},
                                  {"revision", view.revision}});
      }
    }
    for (const std::string& zone : evacuated_zones_) {
      if (!zones.contains(zone)) {
        LogEvent(kZoneReturned, {{"zone", zone}, {"revision", view.revision}});
      }
    }
    evacuated_zones_ = std::move(zones);
    metrics_.OnEvacuations(evacuated_zones_.size());
  }

  void UpdateRollouts(const session::FleetView& view) {
    std::map<std::string, session::RunningRollout> running;
    for (const auto& [service, rollout] : view.rollouts) {
      running[service] = rollout;
      const auto known = rollouts_.find(service);
      if (known == rollouts_.end() || known->second != rollout) {
        LogEvent(kCanariesShared, {{"service", service},
                                   {"rollout", rollout.number},
                                   {"share_permille", rollout.share_permille},
                                   {"revision", view.revision}});
      }
    }
    rollouts_ = std::move(running);
    if (!renewing_shares_) {
      RenewShares();
    }
  }

  // Requests a heartbeat at regular intervals while a rollout has a share that
  // the leader must renew.
  void RenewShares() {
    renewing_shares_ = request_heartbeat_ &&
                       std::ranges::any_of(rollouts_, [](const auto& entry) {
                         return entry.second.IsRenewable();
                       });
    LogShareChanges();
    if (!renewing_shares_) {
      return;
    }
    request_heartbeat_();
    renewal_timer_.expires_after(rollout::kShareRenewalInterval);
    renewal_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        RenewShares();
      }
    });
  }

  // Logs which services' canaries have been reduced to the base share, and
  // which have been given a larger share again.
  void LogShareChanges() {
    const MonotonicTime now = ReadMonotonicClock();
    std::set<std::string> lapsed;
    for (const auto& [service, rollout] : rollouts_) {
      if (!rollout.IsRenewable() || !pool_.IsShareExpired(service, now)) {
        continue;
      }
      lapsed.insert(service);
      if (!lapsed_shares_.contains(service)) {
        LogEvent(kCanaryShareExpired,
                 {{"service", service},
                  {"rollout", rollout.number},
                  {"share_permille", rollout.base_share_permille},
                  {"revision", revision_}});
      }
    }
    for (const std::string& service : lapsed_shares_) {
      if (!lapsed.contains(service) && rollouts_.contains(service)) {
        LogEvent(kCanaryShareRenewed,
                 {{"service", service}, {"revision", revision_}});
      }
    }
    lapsed_shares_ = std::move(lapsed);
  }

  // Reports canaries' answers before the next regular heartbeat, so that the
  // control group detects a bad version before it affects many requests.
  void ReportCanariesSoon() {
    if (!pool_.answer_tally().has_new_canary_answers() || !request_heartbeat_) {
      return;
    }
    const MonotonicTime now = ReadMonotonicClock();
    if (now >= next_canary_report_) {
      next_canary_report_ = now + kCanaryReportInterval;
      request_heartbeat_();
    }
  }

  // Reports once per revision that no attempt is in flight at a retired
  // backend: a rollout is complete only when no router uses the replaced
  // backends.
  void ReportReleased() {
    if (rollouts_.empty() || !release_report_ ||
        released_revision_ == revision_ || pool_.retired_in_flight() > 0) {
      return;
    }
    released_revision_ = revision_;
    release_report_(revision_);
  }

  bool IsReady() const {
    return !stopping_ && index_ && pool_.live_backends() > 0;
  }

  void LogReadinessChange() {
    if (IsReady() != was_ready_) {
      was_ready_ = IsReady();
      LogEvent(was_ready_ ? kRouterReady : kRouterNotReady,
               {{"backends", pool_.live_backends()},
                {"routers", pool_.routers()},
                {"stopping", stopping_}});
    }
  }

  void HandleReady(const net::HttpRequest& request,
                   net::HttpResponder& responder) const {
    if (request.path != kReadyPath) {
      responder.Send(Status(kStatusNotFound));
      return;
    }
    responder.Send(Status(IsReady() ? kStatusOk : kStatusUnavailable));
  }

  // --- Graceful shutdown -----------------------------------------------------

  void ContinueStop() {
    const MonotonicTime now = ReadMonotonicClock();
    const bool past_accept_window = now > stop_plan_.accept_until;
    const bool idle = dispatcher_.in_flight() == 0 &&
                      admission_.waiting() == 0 &&
                      http_server_.unwritten_answers() == 0;
    if ((past_accept_window && idle) || now >= stop_plan_.abandon_at) {
      EndStop();
      return;
    }
    stop_timer_.expires_after(kStopPollInterval);
    stop_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        ContinueStop();
      }
    });
  }

  void EndStop() {
    LogEvent(kRouterDrained, {{"requests", dispatcher_.in_flight()}});
    dispatcher_.AbandonAll();
    http_server_.StopAccepting();
    if (stop_done_) {
      std::exchange(stop_done_, nullptr)();
    }
  }

  RouterOptions options_;
  RouterMetrics metrics_;
  BackendPool pool_;
  RouterCount router_count_;
  std::mt19937_64 random_;
  CrashGuard crash_guard_;
  CrashReporter::Report crash_report_;
  CrashReporter crash_reporter_;
  ObservationReporter observation_reporter_;
  net::HttpClient client_;
  std::function<void()> request_heartbeat_;
  std::function<void(std::uint64_t revision)> release_report_;
  TenantAdmission admission_;
  ExchangeDispatcher dispatcher_;
  Exchange::Environment environment_;
  StartupQueue startup_queue_;
  SplitChooser splits_;
  std::shared_ptr<routes::RouteIndex> index_;
  RouteHistory& HistoryOf(const routes::Route& route) {
    return histories_.try_emplace(route.name, random_()).first->second;
  }

  // Statistics of each route, by route name.
  std::map<std::string, RouteHistory> histories_;
  std::uint64_t last_request_number_ = 0;
  asio::steady_timer stop_timer_;
  asio::steady_timer renewal_timer_;
  std::uint64_t revision_ = 0;
  std::uint64_t released_revision_ = 0;
  // The zones that the newest view evacuates.
  std::set<std::string> evacuated_zones_;
  // The rollouts of the newest view, by service.
  std::map<std::string, session::RunningRollout> rollouts_;
  // Services whose canaries get only the base share because no leader has
  // renewed a larger one.
  std::set<std::string> lapsed_shares_;
  // Whether renewal_timer_ is armed.
  bool renewing_shares_ = false;
  MonotonicTime next_canary_report_ = MonotonicTime::min();
  bool was_ready_ = false;
  bool stopping_ = false;
  StopPlan stop_plan_;
  std::function<void()> stop_done_;
  net::HttpServer http_server_;
  net::HttpServer ready_server_;
};

RouterServer::RouterServer(asio::io_context& context,
                           const RouterOptions& options,
                           prometheus::Registry& registry)
    : implementation_(
          std::make_shared<Implementation>(context, options, registry)) {}

RouterServer::~RouterServer() = default;

void RouterServer::OnView(const session::FleetViewPointer& view) {
  implementation_->OnView(view);
}

void RouterServer::SetCrashReport(CrashReporter::Report report) {
  implementation_->SetCrashReport(std::move(report));
}

void RouterServer::SetHeartbeatRequest(std::function<void()> ask) {
  implementation_->SetHeartbeatRequest(std::move(ask));
}

void RouterServer::SetReleaseReport(
    std::function<void(std::uint64_t revision)> report) {
  implementation_->SetReleaseReport(std::move(report));
}

quota::RateReport RouterServer::MakeRateReport(MonotonicTime now) {
  return implementation_->MakeRateReport(now);
}

void RouterServer::OnRateGrants(const std::vector<quota::RateGrant>& grants,
                                std::uint64_t term,
                                MonotonicTime report_sent_at) {
  implementation_->OnRateGrants(grants, term, report_sent_at);
}

std::vector<rollout::AnswerReport> RouterServer::MakeAnswerReport() {
  return implementation_->MakeAnswerReport();
}

void RouterServer::OnNewLeader() { implementation_->OnNewLeader(); }

void RouterServer::OnSharesRenewed(
    const std::vector<rollout::RolloutNumber>& rollouts,
    MonotonicTime report_sent_at) {
  implementation_->OnSharesRenewed(rollouts, report_sent_at);
}

void RouterServer::SetObservationReport(ObservationReporter::Report report) {
  implementation_->SetObservationReport(std::move(report));
}

void RouterServer::OnObservations(
    const observation::BackendObservations& observations) {
  implementation_->OnObservations(observations);
}

void RouterServer::Stop(Duration timeout, std::function<void()> done) {
  implementation_->Stop(timeout, std::move(done));
}

asio::ip::tcp::endpoint RouterServer::http_endpoint() const {
  return implementation_->http_endpoint();
}

asio::ip::tcp::endpoint RouterServer::ready_endpoint() const {
  return implementation_->ready_endpoint();
}

}  // namespace juniperway::forwarding
