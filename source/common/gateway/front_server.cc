#include "common/gateway/front_server.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <utility>

#include "common/gateway/answer_json.h"
#include "common/gateway/events.h"
#include "common/gateway/front_metrics.h"
#include "common/gateway/query_executor.h"
#include "common/gateway/query_request.h"
#include "common/net/address.h"
#include "common/net/http_server.h"

namespace juniperway::gateway {
namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::string_view kQuerySuffix = "/query";
constexpr Duration kOverloadRetryAfter = milliseconds(200);
constexpr Duration kNoLeaseRetryAfter = seconds(1);
constexpr Duration kStoppingRetryAfter = seconds(1);
// While stopping: how often it is looked whether callers have turned away and
// the last answers are written.
constexpr Duration kDrainPoll = milliseconds(5);
constexpr int kStatusMethodNotAllowed = 405;

// The service's name in "/v1/services/{service}/query".
std::optional<std::string> ServiceOf(const std::string& path) {
  const bool matches =
      path.size() > kServicePrefix.size() + kQuerySuffix.size() &&
      path.starts_with(kServicePrefix) && path.ends_with(kQuerySuffix);
  if (!matches) {
    return std::nullopt;
  }
  std::string service =
      path.substr(kServicePrefix.size(),
                  path.size() - kServicePrefix.size() - kQuerySuffix.size());
  if (service.find('/') != std::string::npos) {
    return std::nullopt;
  }
  return service;
}

nlohmann::json ViewToJson(const session::FleetView& view) {
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [daemon_id, member] : view.members) {
    members.push_back({{"name", daemon_id},
                       {"zone", member.zone},
                       {"region", member.region},
                       {"gateway", member.gateway},
                       {"leaving", member.leaving}});
  }
  return {{"revision", view.revision},
          {"members", std::move(members)},
          {"serving", view.serving}};
}

}  // namespace

struct FrontServer::Implementation {
  Implementation(asio::io_context& io_context,
                 const FrontOptions& front_options,
                 session::ControlSession& control_session,
                 prometheus::Registry& metrics_registry)
      : context(io_context),
        options(front_options),
        session(control_session),
        registry(metrics_registry),
        metrics(registry),
        executor(context, options, session, metrics),
        random(options.random_seed + 2),
        http(context, HttpOptions(options),
             [this](const net::HttpRequest& request,
                    std::shared_ptr<net::HttpResponder> responder) {
               Handle(request, std::move(responder));
             }) {
    executor.SetIdleListener([this] { ReportIfDrained(); });
    logging::LogEvent(
        kFrontListening,
        {{"address", net::FormatEndpoint(http.local_endpoint())}});
  }

  static net::HttpServerOptions HttpOptions(const FrontOptions& options) {
    net::HttpServerOptions http_options;
    http_options.endpoint = options.http_listen;
    http_options.tls = options.http_tls;
    http_options.maximum_body_bytes = options.maximum_body_bytes;
    http_options.maximum_connections = options.maximum_caller_connections;
    return http_options;
  }

  void Handle(const net::HttpRequest& request,
              std::shared_ptr<net::HttpResponder> responder) {
    const std::optional<std::string> service = ServiceOf(request.path);
    if (service.has_value()) {
      if (request.method == "POST") {
        HandleQuery(*service, request, std::move(responder));
      } else {
        responder->Send(MethodNotAllowed());
      }
      return;
    }
    responder->Send(AnswerPlain(request));
  }

  static net::HttpResponse MethodNotAllowed() {
    const Error error{ErrorCode::kInvalidArgument, "method",
                      "is not taken by this path"};
    return net::ErrorResponse(kStatusMethodNotAllowed, error,
                              ExecutionStateName(ExecutionState::kNotRun));
  }

  net::HttpResponse AnswerPlain(const net::HttpRequest& request) {
    const bool known = request.path == "/v1/ready" ||
                       request.path == "/v1/view" || request.path == "/metrics";
    if (!known) {
      const Error error{ErrorCode::kNotFound, "path", "unknown path"};
      return net::ErrorResponse(net::HttpStatusOf(error.code), error,
                                ExecutionStateName(ExecutionState::kNotRun));
    }
    if (request.method != "GET") {
      return MethodNotAllowed();
    }
    if (request.path == "/v1/ready") {
      return Ready();
    }
    return request.path == "/v1/view" ? View() : Metrics();
  }

  // A daemon that has just started has no view yet, which is not the empty one.
  net::HttpResponse View() const {
    const session::FleetViewPointer view = session.View();
    if (view->revision == 0) {
      const Error error{ErrorCode::kUnavailable, "",
                        "this gateway has no configuration yet"};
      return net::ErrorResponse(net::HttpStatusOf(error.code), error,
                                ExecutionStateName(ExecutionState::kNotRun));
    }
    net::HttpResponse response;
    // Names of other daemons need not be UTF-8.
    response.body = ViewToJson(*view).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
  }

  // A lease alone says nothing before the first view: control may be behind
  // what this daemon has had, and then sends it none.
  bool HasConfirmedView(MonotonicTime now) const {
    return session.HasLease(now) && session.View()->revision > 0;
  }

  net::HttpResponse Ready() const {
    const bool lease = HasConfirmedView(ReadMonotonicClock());
    const bool ready = lease && !stopping;
    net::HttpResponse response;
    response.status = ready ? 200 : 503;
    response.body = nlohmann::json{
        {"ready", ready},
        {"lease", lease},
        {"stopping",
         stopping}}.dump();
    return response;
  }

  net::HttpResponse Metrics() {
    executor.UpdateMetrics();
    net::HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = prometheus::TextSerializer().Serialize(registry.Collect());
    return response;
  }

  void HandleQuery(const std::string& service_name,
                   const net::HttpRequest& request,
                   std::shared_ptr<net::HttpResponder> responder) {
    const MonotonicTime now = ReadMonotonicClock();
    last_query = now;
    executor.OnView(session.View());
    if (auto refusal = WhyNotAdmitted(service_name, now)) {
      RefuseAtEntry(request, std::move(*refusal), *responder);
      return;
    }
    const resources::Service& service =
        session.View()->services.at(service_name);
    Result<CallerQuery> query =
        ParseCallerQuery(request, service, ReadWallClock());
    if (!query.has_value()) {
      // An expired id may have been used: nothing is known of it any more.
      const bool expired = query.error().code == ErrorCode::kConflict;
      RefuseAtEntry(
          request,
          {query.error(),
           expired ? ExecutionState::kMayHaveRun : ExecutionState::kNotRun,
           std::nullopt},
          *responder);
      return;
    }
    Submission submission;
    submission.service = service_name;
    submission.request_id =
        query->request_id.empty() ? MakeRequestId() : query->request_id;
    submission.query = std::move(*query);
    submission.resend = IsResend(request);
    submission.confirmed = session.HasLease(now);
    submission.received = now;
    executor.Execute(std::move(submission), std::move(responder));
  }

  // @return nothing when the query may be taken.
  std::optional<routing::Refusal> WhyNotAdmitted(
      const std::string& service_name, MonotonicTime now) {
    using routing::Refusal;
    if (stopping) {
      return Refusal{{ErrorCode::kUnavailable, "",
                      "this gateway is stopping: ask another one"},
                     ExecutionState::kNotRun,
                     kStoppingRetryAfter};
    }
    if (executor.running() >= options.maximum_concurrent_queries) {
      return Refusal{{ErrorCode::kUnavailable, "",
                      "too many queries are running on this gateway"},
                     ExecutionState::kNotRun,
                     Jittered(kOverloadRetryAfter)};
    }
    const auto& services = session.View()->services;
    const auto service = services.find(service_name);
    const bool lease = HasConfirmedView(now);
    if (service == services.end() && lease) {
      return Refusal{{ErrorCode::kNotFound, "service", "is not declared"},
                     ExecutionState::kNotRun,
                     std::nullopt};
    }
    const bool may_serve = lease || (service != services.end() &&
                                     service->second.serve_unconfirmed);
    if (!may_serve) {
      return Refusal{{ErrorCode::kUnavailable, "",
                      "this gateway's configuration is not confirmed: ask "
                      "another one"},
                     ExecutionState::kNotRun,
                     Jittered(kNoLeaseRetryAfter)};
    }
    if (!executor.HasRoom(service_name)) {
      executor.CountAdmissionRefusal();
      return Refusal{{ErrorCode::kUnavailable, "",
                      "the service's back ends are overloaded"},
                     ExecutionState::kNotRun,
                     Jittered(kOverloadRetryAfter)};
    }
    return std::nullopt;
  }

  void RefuseAtEntry(const net::HttpRequest& request, routing::Refusal refusal,
                     net::HttpResponder& responder) {
    // Another submission of the same request may have run.
    if (IsResend(request)) {
      refusal.execution = ExecutionState::kMayHaveRun;
    }
    metrics.OnRefusedAtEntry(refusal);
    responder.Send(RefusalResponse(RequestIdOf(request), refusal));
  }

  Duration Jittered(Duration duration) {
    const auto width = static_cast<std::uint64_t>(duration.count() / 2 + 1);
    return duration + Duration(random() % width);
  }

  std::string MakeRequestId() {
    return options.daemon_id + "-" + std::to_string(random());
  }

  void Stop(std::function<void()> drained_listener) {
    stopping = true;
    last_query = ReadMonotonicClock();
    drained = std::move(drained_listener);
    http.CloseAfterAnswers();
    logging::LogEvent(kFrontStopping, {{"running", executor.running()}});
    ReportIfDrained();
  }

  void ReportIfDrained() {
    if (!stopping || executor.running() > 0 || !drained) {
      return;
    }
    const bool quiet =
        ReadMonotonicClock() >= last_query + options.quiet_before_drained;
    if (!quiet || http.unwritten_answers() > 0) {
      drain_poll.expires_after(kDrainPoll);
      drain_poll.async_wait([this](const asio::error_code& error) {
        if (!error) {
          ReportIfDrained();
        }
      });
      return;
    }
    logging::LogEvent(kFrontDrained, {});
    asio::post(context, std::exchange(drained, nullptr));
  }

  asio::io_context& context;
  FrontOptions options;
  session::ControlSession& session;
  prometheus::Registry& registry;
  FrontMetrics metrics;
  QueryExecutor executor;
  std::mt19937_64 random;
  bool stopping = false;
  std::function<void()> drained;
  asio::steady_timer drain_poll{context};
  MonotonicTime last_query;
  // Last: its handlers use all of the above.
  net::HttpServer http;
};

FrontServer::FrontServer(asio::io_context& context, const FrontOptions& options,
                         session::ControlSession& session,
                         prometheus::Registry& registry)
    : implementation_(std::make_unique<Implementation>(context, options,
                                                       session, registry)) {}

FrontServer::~FrontServer() = default;

asio::ip::tcp::endpoint FrontServer::local_endpoint() const {
  return implementation_->http.local_endpoint();
}

void FrontServer::OnView(const session::FleetViewPointer& view) {
  implementation_->executor.OnView(view);
}

void FrontServer::Stop(std::function<void()> drained) {
  implementation_->Stop(std::move(drained));
}

void FrontServer::StopAccepting() { implementation_->http.StopAccepting(); }

std::size_t FrontServer::running_queries() const {
  return implementation_->executor.running();
}

}  // namespace juniperway::gateway
