#include "common/gateway/backend_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace juniperway::gateway {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000.0;
constexpr const char* kAttemptHeader = "X-Attempt-Id";

std::string SearchBody(const SearchRequest& request) {
  const nlohmann::json body = {
      {"shard", request.shard},
      {"index_version", request.query->index_version},
      {"range", {{"begin", request.range.begin}, {"end", request.range.end}}},
      {"query", request.query->text},
      {"limit", request.query->row_limit}};
  return body.dump();
}

net::HttpClientRequest Post(std::string url, std::string body,
                            Duration timeout) {
  net::HttpClientRequest request;
  request.method = "POST";
  request.url = std::move(url);
  request.headers.emplace_back("Content-Type", "application/json");
  request.body = std::move(body);
  request.timeout = timeout;
  return request;
}

}  // namespace

BackendClient::BackendClient(asio::io_context& context,
                             const std::string& address,
                             std::uint32_t maximum_connections)
    : base_url_("http://" + address), http_(context, maximum_connections) {}

void BackendClient::Search(owner::SubqueryId id, const SearchRequest& request,
                           Duration remaining, Duration timeout,
                           Callback callback) {
  net::HttpClientRequest http =
      Post(base_url_ + "/v1/search", SearchBody(request), timeout);
  const double remaining_ms =
      static_cast<double>(remaining.count()) / kMicrosecondsPerMillisecond;
  http.headers.emplace_back("X-Request-Id", request.query->request_id);
  NameExchange(http, request.attempt_id);
  http.headers.emplace_back("X-Deadline-Ms",
                            fmt::format("{:.3f}", remaining_ms));
  searches_[id] = http_.Start(std::move(http),
                              [this, id, callback = std::move(callback)](
                                  const net::HttpClientResponse& response) {
                                searches_.erase(id);
                                callback(response);
                              });
}

void BackendClient::Abandon(owner::SubqueryId id) {
  const auto found = searches_.find(id);
  if (found == searches_.end()) {
    return;
  }
  const net::HttpClient::RequestHandle handle = found->second;
  searches_.erase(found);
  http_.Cancel(handle);
}

void BackendClient::Cancel(const std::string& attempt_id, Duration timeout,
                           Callback callback) {
  const nlohmann::json body = {{"attempt_id", attempt_id}};
  net::HttpClientRequest request =
      Post(base_url_ + "/v1/cancel", body.dump(), timeout);
  NameExchange(request, "cancel-" + attempt_id);
  http_.Start(std::move(request), std::move(callback));
}

void BackendClient::Probe(Duration timeout, Callback callback) {
  net::HttpClientRequest request;
  request.url = base_url_ + "/v1/health";
  request.timeout = timeout;
  NameExchange(request, fmt::format("probe-{}", ++probes_));
  http_.Start(std::move(request), std::move(callback));
}

void BackendClient::NameExchange(net::HttpClientRequest& request,
                                 const std::string& name) {
  request.headers.emplace_back(kAttemptHeader, name);
  request.echoed_header = kAttemptHeader;
  request.echoed_value = name;
}

}  // namespace juniperway::gateway
