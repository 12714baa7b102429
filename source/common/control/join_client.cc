#include "common/control/join_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/control/events.h"

namespace juniperway::control {
namespace {

constexpr Duration kRequestTimeout = milliseconds(900);

}  // namespace

JoinClient::JoinClient(asio::io_context& context, raft::Member self)
    : self_(std::move(self)),
      client_(context, /*maximum_connections_per_host=*/1),
      schedule_(ReadMonotonicClock()) {}

JoinClient::~JoinClient() { *alive_ = false; }

void JoinClient::SetSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
}

void JoinClient::Tick(MonotonicTime now, bool is_member, bool knows_leader) {
  const bool is_due = schedule_.IsRequestDue(now, is_member, knows_leader);
  if (is_due && !request_in_flight_ && !seeds_.empty()) {
    RequestMembership(now);
  }
}

void JoinClient::RequestMembership(MonotonicTime now) {
  request_in_flight_ = true;
  schedule_.OnRequestSent(now);
  const std::string seed = seeds_[next_seed_++ % seeds_.size()];
  net::HttpClientRequest request;
  request.method = "POST";
  request.url = "http://" + seed + "/v1/members";
  request.timeout = kRequestTimeout;
  request.share_connection = false;
  request.body =
      nlohmann::json{{"node_id", self_.id}, {"address", self_.address}}.dump();
  client_.Start(
      std::move(request),
      [this, alive = alive_, seed](const net::HttpClientResponse& response) {
        if (!*alive) {
          return;
        }
        request_in_flight_ = false;
        logging::LogEvent(
            kJoinRequested,
            {{"node", self_.id}, {"seed", seed}, {"status", response.status}});
      });
}

}  // namespace juniperway::control
