// The resource types operators declare through the API, and nothing else.
// JSON shapes, units and limits: docs/operations/resources.md. Parsing and
// validation: resource_json.h.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/base/key_range.h"
#include "common/base/time.h"

namespace juniperway::resources {

// Version of the whole replicated state; grows by one with each change.
using Revision = std::uint64_t;
// Version of a service's index; grows with each published snapshot.
using IndexVersion = std::uint64_t;

enum class Kind { kService, kBackend, kIndexSnapshot, kMachine };

// When a query is answered although some ranges are outstanding.
enum class AnswerPolicy {
  kLatency,   // After the soft deadline once coverage is high enough.
  kCoverage,  // Only when whole, or at the deadline.
};

// A class of requests that a caller names in its query.
struct RequestClass {
  std::string name;
  // False: a request of this class runs at most once (needs id and expiry).
  bool repeatable = true;
  // Its share of a back end's slots while several classes have work waiting is
  // its weight by the sum of theirs.
  std::uint32_t weight = 1;
};

struct Service {
  // Bounds and default of the deadline that a caller may ask for.
  Duration minimum_deadline = milliseconds(1);
  Duration maximum_deadline = seconds(10);
  Duration default_deadline = seconds(1);
  std::vector<RequestClass> request_classes = {{"search", true}};
  AnswerPolicy answer_policy = AnswerPolicy::kCoverage;
  // For AnswerPolicy::kLatency: share of the deadline after which an answer
  // with at least `minimum_coverage` of the asked key range is given.
  Duration soft_deadline = milliseconds(100);
  double minimum_coverage = 0.99;
  // Hedges are sent after this quantile of the service's subquery latency.
  bool hedging = true;
  double hedge_quantile = 0.95;
  // Retries and hedges together, as a share of first subqueries.
  double retry_budget = 0.05;
  // At most this share of a partition's back ends is ejected by the breaker.
  double maximum_ejected_share = 0.34;
  // Live holders each partition needs before a new snapshot is served.
  std::uint32_t required_holders = 1;
  // Answer (marked) also while the configuration is not confirmed.
  bool serve_unconfirmed = false;
  // Subqueries that may wait at the owner for a slot, per back end.
  std::uint32_t queue_limit = 64;
  // Longest accepted distance between now and a request's expiry.
  Duration maximum_expiry = seconds(600);
  // Most rows an answer may hold.
  std::uint32_t maximum_rows = 100000;
};

struct Backend {
  std::string service;
  // "ip:port" of its HTTP endpoint.
  std::string address;
  std::string zone;
  std::uint32_t slots = 1;
  std::uint32_t maximum_connections = 1;
  // Shards whose records it holds.
  std::set<std::string> shards;
  // The operator drains it: no new work.
  bool drain = false;
  // After a cold start its slots open up over this time.
  Duration slow_start = milliseconds(0);

  bool operator==(const Backend&) const = default;
};

// One entry of a partition map.
struct Partition {
  KeyRange range;
  std::string shard;
};

// Index version plus partition map: what a query is pinned to.
struct IndexSnapshot {
  std::string service;
  IndexVersion index_version = 0;
  // Sorted, contiguous, without overlap.
  std::vector<Partition> partitions;
};

// A machine that the operator declares (control peers, drains of gateways).
struct Machine {
  std::string zone;
  std::string region;
  // "ip:port" of its internal listener.
  std::string address;
  // The operator is taking it away.
  bool leaving = false;

  bool operator==(const Machine&) const = default;
};

using Specification = std::variant<Service, Backend, IndexSnapshot, Machine>;

struct ResourceId {
  Kind kind = Kind::kService;
  std::string name;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ResourceId&) const = default;
};

struct Resource {
  ResourceId id;
  // Revision of the change that wrote it; 0 before it is stored.
  Revision version = 0;
  Specification specification;
};

// "Service", "Backend", "IndexSnapshot", "Machine".
std::string_view KindName(Kind kind);

}  // namespace juniperway::resources
