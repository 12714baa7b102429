// The route table of HTTP forwarding: which requests go to which services, and
// under which limits. Operators write the table as one JSON document with a
// version and replace it as a whole. Plain value types.
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

// A service of a split, with its weight: the split's requests are divided among
// its services in proportion to their weights.
struct WeightedService {
  std::string service;
  double weight = 0;

  bool operator==(const WeightedService&) const = default;
};

// Sends each request to one backend of one of these services. A route to a
// single service is a split with one element.
struct SplitTarget {
  std::vector<WeightedService> weighted_services;

  bool operator==(const SplitTarget&) const = default;
};

// Sends each request to one backend of every service (shard) and merges the
// records of the answers.
struct ScatterTarget {
  std::vector<std::string> shards;
  // Maximum number of records in the merged answer. The router keeps the
  // greatest records, which it compares byte by byte.
  std::size_t top_k = 0;
  // Share of the shards (0 to 1) that must answer for the request to succeed.
  double minimum_coverage = 1;

  bool operator==(const ScatterTarget&) const = default;
};

// One route: the requests that it matches and how they are forwarded.
struct Route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Whether backends may run a request of this route more than once.
  bool repeatable = false;
  // Maximum time from a request's arrival to its answer.
  Duration timeout{};
  // Latency target for answers; the router places hedges by it.
  Duration target{};
  // Priority of the route's requests; 0 is the highest.
  std::uint32_t priority = 0;
  // Maximum number of attempts that may run for a request, or for each shard of
  // a scatter.
  std::uint32_t maximum_attempts = 1;
  // Regions whose backends may get the route's requests.
  HomeRegions home_regions;
  // In a table with tenants: the route's requests need no key and belong to no
  // tenant.
  bool anonymous = false;
  std::variant<SplitTarget, ScatterTarget> destination;

  bool operator==(const Route&) const = default;
};

// The limits of a service's backends.
struct RoutedService {
  // Path of health checks; empty if the service has none.
  std::string health_path;
  // Maximum connections to each backend from all routers together.
  std::uint32_t maximum_connections = 1;
  // Time for which a backend stays cold after its start.
  Duration warmup{};
  // Maximum requests per second to a cold backend from all routers together. 0
  // means no limit, for services whose cold backends are slow but can take as
  // many requests as warm ones.
  double cold_requests_per_second = 0;

  bool operator==(const RoutedService&) const = default;
};

// One of the tenants that share the backends; its API keys identify its
// requests.
struct Tenant {
  std::string name;
  // No two tenants share a key.
  std::vector<std::string> api_keys;
  // Priority of the tenant's requests, which replaces the route's priority; 0
  // is the highest.
  std::uint32_t priority = 0;
  // Rate limit over the whole fleet, in requests per second; 0 means no limit.
  double requests_per_second = 0;
  // Number of requests above the rate that may arrive at once.
  double burst = 0;
  // Regions whose backends may get the tenant's requests. The route's home
  // regions limit the backends as well.
  HomeRegions home_regions;

  bool operator==(const Tenant&) const = default;
};

// Limits on the size and the timing of a client's requests.
struct ClientLimits {
  std::size_t maximum_header_bytes = 16U << 10;
  std::size_t maximum_body_bytes = 256U << 10;
  Duration header_timeout = seconds(5);
  Duration idle_timeout = seconds(60);

  bool operator==(const ClientLimits&) const = default;
};

// The parsed table. Its users share it as an immutable RouteTablePointer.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, RoutedService> services;
  ClientLimits limits;
  // If there is a list, even an empty one, requests need the key of a tenant.
  std::optional<std::vector<Tenant>> tenants;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

// Parses and validates a whole table.
// @return kInvalidArgument with the path of the first invalid field.
Result<RouteTable> ParseRouteTable(std::string_view text);

}  // namespace juniperway::routes
