#include "support/in_process_fleet.h"

#include <doctest/doctest.h>

#include <sstream>

#include "common/net/address.h"
#include "support/event_loop.h"

namespace juniperway::test {
namespace {

const asio::ip::tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);
constexpr Duration kExchangeTimeout = seconds(60);

std::string ZoneName(std::uint32_t zone) {
  return "zone-" + std::to_string(zone);
}
std::string OwnerId(std::uint32_t zone) {
  return "owner-" + std::to_string(zone);
}

}  // namespace

InProcessFleet::InProcessFleet(const InProcessFleetShape& shape)
    : shape_(shape),
      partitions_(lab::EvenPartitions("shard-", shape.partitions)) {
  service().request_classes = {{"search", true}, {kPaymentClass, false}};
  view.snapshots[{"search", 1}] = {"search", 1, partitions_};
  view.serving["search"] = 1;
  AddBackends();
  for (std::uint32_t zone = 0; zone < shape.zones; ++zone) {
    AddOwner(zone);
  }
  AddFront();
  if (shape.second_front) {
    AddFront();
  }
  Publish();
}

void InProcessFleet::AddBackends() {
  std::vector<lab::BackendSettings> all;
  for (std::uint32_t part = 0; part < shape_.partitions; ++part) {
    for (std::uint32_t zone = 0; zone < shape_.zones; ++zone) {
      lab::BackendSettings settings;
      settings.name =
          "backend-" + std::to_string(part) + "-" + std::to_string(zone);
      settings.service = "search";
      settings.slots = 4;
      settings.median_service_time = milliseconds(1);
      settings.record_count = kRecords;
      settings.holdings = {
          {1, partitions_[part].shard, partitions_[part].range}};
      settings.seed = all.size() + 1;
      all.push_back(settings);
    }
  }
  host_ = std::make_unique<lab::BackendHost>(context, all, kLoopback, nullptr);
  for (const auto& server : host_->servers()) {
    const lab::BackendSettings& settings = server->model().settings();
    resources::Backend backend;
    backend.service = "search";
    backend.address = net::FormatEndpoint(server->endpoint());
    backend.zone = ZoneName(settings.name.back() - '0');
    backend.slots = settings.slots;
    backend.maximum_connections = settings.maximum_connections;
    backend.shards = {settings.holdings.front().shard};
    view.backends[settings.name] = backend;
    view.reports[settings.name].held_versions = {1};
  }
}

void InProcessFleet::AddOwner(std::uint32_t zone) {
  gateway::OwnerOptions options;
  options.daemon_id = OwnerId(zone);
  options.incarnation = 1;
  options.zone = ZoneName(zone);
  options.listen = kLoopback;
  registries_.push_back(std::make_unique<prometheus::Registry>());
  owners_.push_back(std::make_unique<gateway::OwnerServer>(
      context, options, owner_session_, *registries_.back()));
  session::Member member;
  member.daemon_id = options.daemon_id;
  member.incarnation = 1;
  member.zone = options.zone;
  member.region = "region";
  member.gateway = true;
  member.peer_address = net::FormatEndpoint(owners_.back()->local_endpoint());
  view.members[member.daemon_id] = member;
}

void InProcessFleet::AddFront() {
  gateway::FrontOptions options;
  options.daemon_id = "front-" + std::to_string(fronts.size());
  options.zone = ZoneName(0);
  options.region = "region";
  options.http_listen = kLoopback;
  registries_.push_back(std::make_unique<prometheus::Registry>());
  fronts.push_back(std::make_unique<gateway::FrontServer>(
      context, options, session, *registries_.back()));
}

void InProcessFleet::Publish() {
  ++view.revision;
  session.SetView(view);
  owner_session_.SetView(view);
  owner_session_.SetInForce(view.revision);
  owner_session_.SetZoneReleased(view.revision);
  for (const auto& owner : owners_) {
    if (owner != nullptr) {
      owner->OnView(owner_session_.View());
      owner->OnProgress();
    }
  }
  for (const auto& front : fronts) {
    front->OnView(session.View());
  }
}

lab::BackendServer& InProcessFleet::Backend(std::uint32_t partition,
                                            std::uint32_t zone) {
  return *host_->servers().at(partition * shape_.zones + zone);
}

void InProcessFleet::ForEachBackend(
    const std::function<void(lab::BackendServer&)>& action) {
  for (const auto& server : host_->servers()) {
    action(*server);
  }
}

std::uint64_t InProcessFleet::Total(
    std::uint64_t lab::BackendCounters::*counter) {
  std::uint64_t total = 0;
  for (const auto& server : host_->servers()) {
    total += server->model().counters().*counter;
  }
  return total;
}

void InProcessFleet::SetOwnerAddress(std::uint32_t zone,
                                     const std::string& address) {
  view.members[OwnerId(zone)].peer_address = address;
}

KeyRange InProcessFleet::RangeOf(std::uint32_t partition) const {
  return partitions_.at(partition).range;
}

nlohmann::json InProcessFleet::RowsOf(
    resources::IndexVersion version,
    const std::vector<KeyRange>& ranges) const {
  nlohmann::json rows = nlohmann::json::array();
  for (const KeyRange& range : ranges) {
    for (const lab::Row& row : dataset_.Rows(version, range, lab::kMatchAll)) {
      rows.push_back({{"key", row.key}, {"value", row.value}});
    }
  }
  return rows;
}

std::shared_ptr<Exchange> InProcessFleet::Start(const CallerRequest& request,
                                                std::size_t front) {
  net::HttpClientRequest http;
  http.method = "POST";
  http.url = "http://" + net::FormatEndpoint(fronts[front]->local_endpoint()) +
             "/v1/services/" + request.service + "/query";
  http.headers = request.headers;
  http.body = request.body.is_string() ? request.body.get<std::string>()
                                       : request.body.dump();
  http.timeout = kExchangeTimeout;
  auto exchange = std::make_shared<Exchange>();
  exchange->started = ReadMonotonicClock();
  exchange->handle = client_.Start(
      std::move(http), [exchange](net::HttpClientResponse response) {
        exchange->response = std::move(response);
        exchange->ended = ReadMonotonicClock();
      });
  return exchange;
}

Exchange InProcessFleet::Ask(const CallerRequest& request, std::size_t front) {
  const auto exchange = Start(request, front);
  REQUIRE(Run([&] { return exchange->done(); }));
  return *exchange;
}

bool InProcessFleet::Run(const std::function<bool()>& condition) {
  return RunUntil(context, condition);
}

std::string InProcessFleet::Get(const std::string& path) {
  net::HttpClientRequest http;
  http.url =
      "http://" + net::FormatEndpoint(fronts[0]->local_endpoint()) + path;
  std::optional<std::string> body;
  client_.Start(std::move(http), [&body](net::HttpClientResponse response) {
    body = std::move(response.body);
  });
  REQUIRE(Run([&] { return body.has_value(); }));
  return *body;
}

double InProcessFleet::Metric(const std::string& name) {
  std::istringstream lines(Get("/metrics"));
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

CallerRequest PaymentRequest(const std::string& request_id) {
  const std::int64_t expiry_ms =
      ToMilliseconds(ReadWallClock().time_since_epoch()) + 60'000;
  CallerRequest request;
  request.body = {{"query", "*"}, {"class", InProcessFleet::kPaymentClass}};
  request.headers = {{"X-Request-Id", request_id},
                     {"X-Request-Expiry", std::to_string(expiry_ms)}};
  return request;
}

}  // namespace juniperway::test
