// The routing configuration of HTTP forwarding: which requests go to which
// services, and under which limits. One versioned whole, written by operators
// as one JSON document and replaced as one. Pure.
//
// Format: docs/operations/route-table.md.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/routes/home_regions.h"

namespace juniperway::routes {

// Requests are divided among services in proportion to the weights.
struct WeightedService {
  std::string service;
  double weight = 0;

  bool operator==(const WeightedService&) const = default;
};

// Each request goes to one back end of one of these services. A route to a
// single service is a split with one part.
struct SplitTarget {
  std::vector<WeightedService> parts;

  bool operator==(const SplitTarget&) const = default;
};

// Each request goes to one back end of every service (shard); the answers'
// records are merged.
struct ScatterTarget {
  std::vector<std::string> shards;
  // The answer holds this many of the greatest records.
  std::size_t top_k = 0;
  // Share of the shards that must be in for a success, 0 to 1.
  double minimum_coverage = 1;

  bool operator==(const ScatterTarget&) const = default;
};

struct Route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // May run more than once.
  bool repeatable = false;
  // The longest a request is held.
  Duration timeout{};
  // An answer within this time is worth most.
  Duration target{};
  // 0 is the highest.
  std::uint32_t priority = 0;
  // Back ends that may be asked for one request (for each shard).
  std::uint32_t maximum_attempts = 1;
  // Only back ends of these regions may get its requests.
  HomeRegions home_regions;
  // Of a table with tenants: its requests need no key and belong to none.
  bool anonymous = false;
  std::variant<SplitTarget, ScatterTarget> destination;

  bool operator==(const Route&) const = default;
};

struct RoutedService {
  std::string health_path;
  // Connections that each back end takes from all callers together.
  std::uint32_t maximum_connections = 1;
  // How long a back end stays cold after it has started.
  Duration warmup{};
  // Requests a second that a cold back end takes from all callers together; 0:
  // it is slow while it is cold, but takes as many as ever.
  double cold_requests_per_second = 0;

  bool operator==(const RoutedService&) const = default;
};

// Who shares the back ends with others, and is told from them by its API keys.
struct Tenant {
  std::string name;
  // No other tenant has one of them.
  std::vector<std::string> api_keys;
  // Takes the place of the route's; 0 is the highest.
  std::uint32_t priority = 0;
  // Requests that the whole fleet takes; 0: no limit.
  double requests_per_second = 0;
  // Requests that may come at once, besides.
  double burst = 0;
  // Besides the route's.
  HomeRegions home_regions;

  bool operator==(const Tenant&) const = default;
};

// What a client may send, and how long it may take.
struct ClientLimits {
  std::size_t maximum_header_bytes = 16U << 10;
  std::size_t maximum_body_bytes = 256U << 10;
  Duration header_timeout = seconds(5);
  Duration idle_timeout = seconds(60);

  bool operator==(const ClientLimits&) const = default;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, RoutedService> services;
  ClientLimits limits;
  // Where there is a list, also an empty one, requests need a tenant's key.
  std::optional<std::vector<Tenant>> tenants;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

// Parses and checks a whole table.
// @return kInvalidArgument with the path of the first field that is wrong.
Result<RouteTable> ParseRouteTable(std::string_view text);

}  // namespace juniperway::routes
