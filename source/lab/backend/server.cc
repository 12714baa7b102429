#include "lab/backend/server.h"

#include <fmt/format.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/net/address.h"
#include "lab/json_reader.h"

namespace juniperway::lab {
namespace {

constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kCancelled = 499;
constexpr const char* kAttemptHeader = "X-Attempt-Id";

std::string AttemptOf(const net::HttpRequest& request) {
  return request.Header("x-attempt-id").value_or("");
}

// Repeats the attempt that the answer is for.
net::HttpResponse Named(net::HttpResponse response,
                        const std::string& attempt_id) {
  response.headers.emplace_back(kAttemptHeader, attempt_id);
  return response;
}

Result<SearchRequest> ParseSearch(const net::HttpRequest& http) {
  const nlohmann::json json = nlohmann::json::parse(http.body, nullptr, false);
  SearchRequest request;
  JsonReader reader(json);
  nlohmann::json range = reader.Member("range");
  reader.Required("shard", request.shard)
      .Required("index_version", request.index_version)
      .Required("query", request.query)
      .Required("limit", request.limit);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  JsonReader range_reader(range, "range.");
  range_reader.Required("begin", request.range.begin)
      .Required("end", request.range.end);
  if (Result<void> finished = range_reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  request.request_id = http.Header("x-request-id").value_or("");
  request.attempt_id = http.Header("x-attempt-id").value_or("");
  if (request.request_id.empty() || request.attempt_id.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "X-Attempt-Id",
                     "request and attempt need ids");
  }
  if (const auto deadline = http.Header("x-deadline-ms")) {
    request.deadline = Duration(static_cast<Duration::rep>(
        std::strtod(deadline->c_str(), nullptr) * 1000));
  }
  return request;
}

nlohmann::json RowsToJson(const std::vector<Row>& rows) {
  nlohmann::json json = nlohmann::json::array();
  for (const Row& row : rows) {
    json.push_back({{"key", row.key}, {"value", row.value}});
  }
  return json;
}

}  // namespace

// One begun subquery.
struct BackendServer::Running {
  explicit Running(asio::io_context& context) : timer(context) {}

  SearchRequest request;
  Admission admission;
  std::shared_ptr<net::HttpResponder> responder;
  asio::steady_timer timer;
};

BackendServer::BackendServer(asio::io_context& context,
                             const BackendSettings& settings, Ledger* ledger)
    : context_(context),
      model_(settings, ReadMonotonicClock()),
      ledger_(ledger) {
  const auto endpoint = net::ParseEndpoint(settings.listen, "listen");
  if (!endpoint) {
    throw std::invalid_argument(FormatError(endpoint.error()));
  }
  Listen(*endpoint);
}

BackendServer::~BackendServer() { Crash(); }

void BackendServer::Listen(const asio::ip::tcp::endpoint& endpoint) {
  net::HttpServerOptions options;
  options.endpoint = endpoint;
  options.connection_listener = [this](const asio::ip::tcp::endpoint& remote,
                                       bool open) {
    HandleConnection(remote, open);
  };
  server_ = std::make_unique<net::HttpServer>(
      context_, options,
      [this](const net::HttpRequest& request,
             const std::shared_ptr<net::HttpResponder>& responder) {
        Handle(request, responder);
      });
  endpoint_ = server_->local_endpoint();
}

void BackendServer::Crash() {
  // First, so that answers of what is forgotten below reach nobody.
  if (server_) {
    server_->Close();
    closed_servers_.push_back(std::move(server_));
  }
  for (const auto& [attempt_id, running] : running_) {
    running->timer.cancel();
    model_.Finish(ReadMonotonicClock());
  }
  running_.clear();
  connections_.clear();
  unused_connections_.clear();
}

void BackendServer::Restart() {
  if (!crashed()) {
    return;
  }
  model_.StartCold(ReadMonotonicClock());
  Listen(endpoint_);
}

void BackendServer::HandleConnection(const asio::ip::tcp::endpoint& remote,
                                     bool open) {
  if (open) {
    connections_.insert(remote);
    unused_connections_.insert(remote);
  } else {
    connections_.erase(remote);
    unused_connections_.erase(remote);
  }
  model_.SetConnections(connections_.size());
}

void BackendServer::Handle(
    const net::HttpRequest& request,
    const std::shared_ptr<net::HttpResponder>& responder) {
  if (request.method == "POST" && request.path == "/v1/search") {
    HandleSearch(request, responder);
  } else if (request.method == "POST" && request.path == "/v1/cancel") {
    HandleCancel(request, *responder);
  } else if (request.method == "GET" && request.path == "/v1/health") {
    HandleHealth(request, *responder);
  } else {
    responder->Send(net::ErrorResponse(
        kNotFound, {ErrorCode::kNotFound, "path", "no such call"}, "not-run"));
  }
}

void BackendServer::HandleSearch(
    const net::HttpRequest& http,
    const std::shared_ptr<net::HttpResponder>& responder) {
  Result<SearchRequest> request = ParseSearch(http);
  if (!request) {
    net::HttpResponse response =
        net::ErrorResponse(kBadRequest, request.error(), "not-run");
    response.headers.emplace_back("X-Not-Run", "true");
    responder->Send(std::move(response));
    return;
  }
  const Duration cost = TakeConnectionCost(http.remote);
  if (cost == Duration(0)) {
    StartSearch(*request, responder);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(context_, cost);
  timer->async_wait([this, timer, request = *std::move(request),
                     responder](const asio::error_code& error) {
    if (!error && !crashed()) {
      StartSearch(request, responder);
    }
  });
}

void BackendServer::StartSearch(
    const SearchRequest& request,
    const std::shared_ptr<net::HttpResponder>& responder) {
  if (running_.contains(request.attempt_id)) {
    responder->Send(
        Named(Response(kBadRequest, true,
                       {{"error", "attempt id is already running"}}),
              request.attempt_id));
    return;
  }
  const Admission admission = model_.Admit(request, ReadMonotonicClock());
  if (!admission.begun) {
    const bool not_run = !model_.behaviour().omit_not_run_header;
    responder->Send(Named(Response(admission.status, not_run,
                                   {{"error", "refused before it began"}}),
                          request.attempt_id));
    return;
  }
  if (ledger_ != nullptr) {
    ledger_->Append({ReadMonotonicClock(), model_.settings().name,
                     request.request_id, request.attempt_id, request.shard,
                     request.index_version, request.range});
  }
  Run(request, admission, responder);
}

void BackendServer::Run(const SearchRequest& request,
                        const Admission& admission,
                        const std::shared_ptr<net::HttpResponder>& responder) {
  auto running = std::make_shared<Running>(context_);
  running->request = request;
  running->admission = admission;
  running->responder = responder;
  running_[request.attempt_id] = running;
  const std::string attempt_id = request.attempt_id;
  responder->OnClientGone([this, attempt_id] { Cancel(attempt_id); });
  running->timer.expires_after(admission.work);
  running->timer.async_wait([this, attempt_id](const asio::error_code& error) {
    if (!error) {
      End(attempt_id);
    }
  });
}

void BackendServer::End(const std::string& attempt_id) {
  const auto found = running_.find(attempt_id);
  if (found == running_.end()) {
    return;
  }
  const std::shared_ptr<Running> running = found->second;
  running_.erase(found);
  model_.Finish(ReadMonotonicClock());
  if (running->admission.status != 200) {
    model_.CountDeadlinePassed();
    running->responder->Send(Named(Response(running->admission.status, false,
                                            {{"error", "deadline passed"}}),
                                   attempt_id));
    return;
  }
  const SearchRequest& request = running->request;
  const std::vector<Row> rows =
      model_.Answer(request, running->admission.shard_range);
  running->responder->Send(
      Named(Response(200, false,
                     {{"index_version", model_.AnsweredVersion(request)},
                      {"shard", request.shard},
                      {"rows", RowsToJson(rows)}}),
            attempt_id));
}

void BackendServer::HandleCancel(const net::HttpRequest& request,
                                 net::HttpResponder& responder) {
  const nlohmann::json json =
      nlohmann::json::parse(request.body, nullptr, false);
  std::string attempt_id;
  JsonReader reader(json);
  reader.Required("attempt_id", attempt_id);
  if (Result<void> finished = reader.Finish(); !finished) {
    responder.Send(
        net::ErrorResponse(kBadRequest, finished.error(), "not-run"));
    return;
  }
  Cancel(attempt_id);
  responder.Send(
      Named(Response(kNoContent, false, nullptr), AttemptOf(request)));
}

void BackendServer::Cancel(const std::string& attempt_id) {
  const auto found = running_.find(attempt_id);
  if (found == running_.end() || !model_.CancelEndsWork()) {
    return;
  }
  const std::shared_ptr<Running> running = found->second;
  running_.erase(found);
  running->timer.cancel();
  model_.Finish(ReadMonotonicClock());
  running->responder->Send(
      Named(Response(kCancelled, false, {{"error", "cancelled"}}), attempt_id));
}

void BackendServer::HandleHealth(const net::HttpRequest& request,
                                 net::HttpResponder& responder) {
  const HealthReport report = model_.Health(ReadMonotonicClock());
  nlohmann::json versions = nlohmann::json::object();
  for (const auto& [version, shards] : model_.HeldShards()) {
    versions[std::to_string(version)] = shards;
  }
  const nlohmann::json body = {{"state", report.state},
                               {"running", report.running},
                               {"slots", model_.settings().slots},
                               {"index_versions", versions}};
  // Without X-Draining: health may say otherwise than the truth.
  responder.Send(
      Named({.headers = {}, .body = body.dump()}, AttemptOf(request)));
}

Duration BackendServer::TakeConnectionCost(
    const asio::ip::tcp::endpoint& remote) {
  return unused_connections_.erase(remote) > 0
             ? model_.settings().connection_cost
             : Duration(0);
}

net::HttpResponse BackendServer::Response(int status, bool not_run,
                                          const nlohmann::json& body) {
  net::HttpResponse response;
  response.status = status;
  if (!body.is_null()) {
    response.body = body.dump();
  }
  const HealthReport report = model_.Health(ReadMonotonicClock());
  response.headers.emplace_back(
      "X-Load", fmt::format("{}/{}", report.running, model_.settings().slots));
  // Its own state at this moment, while health and load lag and may mislead.
  if (model_.behaviour().draining) {
    response.headers.emplace_back("X-Draining", "true");
  }
  if (not_run) {
    response.headers.emplace_back("X-Not-Run", "true");
  }
  return response;
}

}  // namespace juniperway::lab
