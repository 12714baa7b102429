// A front, its owners and stand-in back ends in one process, over loopback:
// everything between a caller's HTTP request and the back ends' answers is the
// product's own code. Control is a StaticSession.
#pragma once

#include <prometheus/registry.h>

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/gateway/front_server.h"
#include "common/gateway/owner_server.h"
#include "common/net/http_client.h"
#include "common/session/fleet_view.h"
#include "lab/backend/host.h"
#include "lab/dataset.h"
#include "support/static_session.h"

namespace juniperway::test {

struct InProcessFleetShape {
  std::uint32_t partitions = 4;
  // One owner, and one back end a partition, in each.
  std::uint32_t zones = 2;
  // Another front that shares the session with the first.
  bool second_front = false;
};

// A caller's exchange, perhaps still under way.
struct Exchange {
  net::HttpClient::RequestHandle handle = 0;
  std::optional<net::HttpClientResponse> response;
  MonotonicTime started{};
  MonotonicTime ended{};

  bool done() const { return response.has_value(); }
  int status() const { return response.value().status; }
  nlohmann::json body() const {
    return nlohmann::json::parse(response.value().body);
  }
};

// What a caller sends; headers by name.
struct CallerRequest {
  nlohmann::json body = {{"query", "*"}};
  std::vector<std::pair<std::string, std::string>> headers;
  std::string service = "search";
};

class InProcessFleet {
 public:
  static constexpr std::uint32_t kRecords = 400;
  // Class of requests that run at most once; the other one is "search".
  static constexpr const char* kPaymentClass = "payment";

  explicit InProcessFleet(const InProcessFleetShape& shape = {});

  // --- The fleet ---
  resources::Service& service() { return view.services["search"]; }
  // Makes `view` everyone's view, in force and released.
  void Publish();
  lab::BackendServer& Backend(std::uint32_t partition, std::uint32_t zone);
  void ForEachBackend(const std::function<void(lab::BackendServer&)>& action);
  // Of all back ends together.
  std::uint64_t Total(std::uint64_t lab::BackendCounters::*counter);
  // The owner of `zone` is reached at `address` instead.
  void SetOwnerAddress(std::uint32_t zone, const std::string& address);
  void CloseOwner(std::uint32_t zone) { owners_[zone].reset(); }
  KeyRange RangeOf(std::uint32_t partition) const;
  // Every row that an answer at `version` must have, as JSON.
  nlohmann::json RowsOf(resources::IndexVersion version,
                        const std::vector<KeyRange>& ranges) const;

  // --- Callers ---
  std::shared_ptr<Exchange> Start(const CallerRequest& request,
                                  std::size_t front = 0);
  // Starts, and runs the loop until the answer is here.
  Exchange Ask(const CallerRequest& request, std::size_t front = 0);
  void HangUp(const Exchange& exchange) { client_.Cancel(exchange.handle); }
  bool Run(const std::function<bool()>& condition);
  // The value of a metric line of the first front, e.g.
  // `juniperway_front_dropped_results_total{reason="late"}`; 0 if absent.
  double Metric(const std::string& name);

  asio::io_context context{1};
  // The fronts' session; the owners have another one, with the same view.
  StaticSession session{context};
  session::FleetView view;
  std::vector<std::unique_ptr<gateway::FrontServer>> fronts;

 private:
  void AddBackends();
  void AddOwner(std::uint32_t zone);
  void AddFront();
  std::string Get(const std::string& path);

  InProcessFleetShape shape_;
  StaticSession owner_session_{context};
  std::vector<resources::Partition> partitions_;
  lab::Dataset dataset_{"search", kRecords};
  std::vector<std::unique_ptr<prometheus::Registry>> registries_;
  std::unique_ptr<lab::BackendHost> host_;
  std::vector<std::unique_ptr<gateway::OwnerServer>> owners_;
  net::HttpClient client_{context, 0};
};

// A request of the class that runs at most once, with what it needs.
CallerRequest PaymentRequest(const std::string& request_id);

}  // namespace juniperway::test
