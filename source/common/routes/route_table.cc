#include "common/routes/route_table.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

#include "common/base/json_reader.h"
#include "common/base/text.h"

namespace juniperway::routes {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaximumMilliseconds = 24ULL * 3600 * 1000;
constexpr std::uint64_t kMaximumRecords = 1U << 20;
constexpr std::uint64_t kMaximumAttempts = 100;
constexpr std::uint64_t kMaximumBytes = 1U << 30;
constexpr std::uint64_t kMaximumConnections = 1U << 20;
constexpr double kMaximumWarmupSeconds = 24.0 * 3600;
constexpr double kMaximumColdRequests = 1e9;
constexpr double kMaximumTenantRate = 1e9;
constexpr std::size_t kMaximumKeyBytes = 4096;

// Reads the fields of one JSON object and keeps the first error. Unlike
// JsonReader, this class ignores unknown fields, because a newer tool of an
// operator may send more fields.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path)
      : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) {
      Fail("", "must be an object");
    }
  }

  const json* Field(const char* name) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto field = object_.find(name);
    return field == object_.end() || field->is_null() ? nullptr : &*field;
  }

  std::string Text(const char* name) {
    const json* field = Field(name);
    if (field == nullptr || !field->is_string() ||
        field->get_ref<const std::string&>().empty()) {
      Fail(name, "must be a string that is not empty");
      return "";
    }
    return field->get<std::string>();
  }

  std::uint64_t Unsigned(const char* name, std::uint64_t minimum,
                         std::uint64_t maximum,
                         std::optional<std::uint64_t> default_value) {
    const json* field = Field(name);
    if (field == nullptr && default_value) {
      return *default_value;
    }
    if (field == nullptr || !field->is_number_unsigned() ||
        field->get<std::uint64_t>() < minimum ||
        field->get<std::uint64_t>() > maximum) {
      Fail(name, "must be a whole number between " + std::to_string(minimum) +
                     " and " + std::to_string(maximum));
      return minimum;
    }
    return field->get<std::uint64_t>();
  }

  Duration Milliseconds(const char* name, std::uint64_t minimum,
                        std::optional<std::uint64_t> default_value) {
    return milliseconds(
        Unsigned(name, minimum, kMaximumMilliseconds, default_value));
  }

  // Reads a number from 0 to `maximum`.
  double Number(const char* name, double maximum,
                std::optional<double> default_value) {
    const json* field = Field(name);
    if (field == nullptr && default_value) {
      return *default_value;
    }
    if (field == nullptr || !field->is_number() || field->get<double>() < 0 ||
        field->get<double>() > maximum) {
      Fail(name, "must be a number between 0 and " + std::to_string(maximum));
      return 0;
    }
    return field->get<double>();
  }

  const json& List(const char* name) {
    static const json kEmpty = json::array();
    const json* field = Field(name);
    if (field == nullptr || !field->is_array()) {
      Fail(name, "must be a list");
      return kEmpty;
    }
    return *field;
  }

  void Fail(const std::string& name, std::string message) {
    if (!fault_) {
      fault_ =
          Error{ErrorCode::kInvalidArgument, PathOf(name), std::move(message)};
    }
  }

  std::string PathOf(const std::string& name) const {
    if (path_.empty() || name.empty()) {
      return path_ + name;
    }
    return path_ + "." + name;
  }

  const std::optional<Error>& fault() const { return fault_; }

 private:
  const json& object_;
  std::string path_;
  std::optional<Error> fault_;
};

std::string ElementPath(const char* list, std::size_t index) {
  return std::string(list) + "[" + std::to_string(index) + "]";
}

SplitTarget ReadSplit(ObjectReader& reader) {
  SplitTarget target;
  double total = 0;
  for (const json& element : reader.List("split")) {
    ObjectReader weighted_reader(element, reader.PathOf("split[]"));
    WeightedService weighted;
    weighted.service = weighted_reader.Text("service");
    weighted.weight = weighted_reader.Number("weight", 1e9, std::nullopt);
    if (weighted_reader.fault()) {
      reader.Fail("split", weighted_reader.fault()->message);
    }
    total += weighted.weight;
    target.weighted_services.push_back(std::move(weighted));
  }
  if (total <= 0) {
    reader.Fail("split", "must have weights that add up to more than 0");
  }
  return target;
}

ScatterTarget ReadScatter(ObjectReader& reader) {
  ScatterTarget target;
  for (const json& shard : reader.List("scatter")) {
    if (!shard.is_string()) {
      reader.Fail("scatter", "must be a list of names of services");
      return target;
    }
    target.shards.push_back(shard.get<std::string>());
  }
  if (target.shards.empty()) {
    reader.Fail("scatter", "must name at least one service");
  }
  target.top_k = reader.Unsigned("top_k", 1, kMaximumRecords, std::nullopt);
  target.minimum_coverage = reader.Number("minimum_coverage", 1, 1.0);
  return target;
}

// Duplicate regions count once. A region that no zone belongs to is accepted,
// because an operator may write the table before the region's first daemon
// starts.
HomeRegions ReadHomeRegions(ObjectReader& reader) {
  std::set<std::string> regions;
  if (reader.Field("home_regions") == nullptr) {
    return HomeRegions();
  }
  for (const json& region : reader.List("home_regions")) {
    if (!region.is_string() || region.get_ref<const std::string&>().empty()) {
      reader.Fail("home_regions", "must be a list of names of regions");
      return HomeRegions();
    }
    regions.insert(region.get<std::string>());
  }
  return HomeRegions(std::move(regions));
}

bool ReadRepeatable(ObjectReader& reader) {
  const std::string execution = reader.Text("execution");
  if (execution != "repeatable" && execution != "at_most_once") {
    reader.Fail("execution", "must be \"repeatable\" or \"at_most_once\"");
  }
  return execution == "repeatable";
}

bool ReadFlag(ObjectReader& reader, const char* name) {
  const json* field = reader.Field(name);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_boolean()) {
    reader.Fail(name, "must be true or false");
    return false;
  }
  return field->get<bool>();
}

Result<Route> ReadRoute(const json& element, const std::string& path) {
  ObjectReader reader(element, path);
  Route route;
  route.name = reader.Text("name");
  route.host = ToLower(reader.Text("host"));
  route.path_prefix = reader.Text("path_prefix");
  if (!route.path_prefix.starts_with('/') ||
      !route.path_prefix.ends_with('/')) {
    reader.Fail("path_prefix", "must begin and end with a slash");
  }
  route.repeatable = ReadRepeatable(reader);
  route.timeout = reader.Milliseconds("timeout_ms", 1, std::nullopt);
  route.target = reader.Milliseconds(
      "target_ms", 1,
      std::max<std::uint64_t>(1, route.timeout / milliseconds(1)));
  route.priority =
      static_cast<std::uint32_t>(reader.Unsigned("priority", 0, 1U << 20, 0));
  route.maximum_attempts = static_cast<std::uint32_t>(
      reader.Unsigned("maximum_attempts", 1, kMaximumAttempts, 1));
  route.home_regions = ReadHomeRegions(reader);
  route.anonymous = ReadFlag(reader, "anonymous");
  if (reader.Field("scatter") != nullptr) {
    route.destination = ReadScatter(reader);
  } else if (reader.Field("split") != nullptr) {
    route.destination = ReadSplit(reader);
  } else {
    route.destination = SplitTarget{{{reader.Text("service"), 1}}};
  }
  if (reader.fault()) {
    return tl::unexpected(*reader.fault());
  }
  return route;
}

std::vector<std::string> ServicesOf(const Route& route) {
  if (const auto* scatter = std::get_if<ScatterTarget>(&route.destination)) {
    return scatter->shards;
  }
  std::vector<std::string> services;
  for (const auto& part :
       std::get<SplitTarget>(route.destination).weighted_services) {
    services.push_back(part.service);
  }
  return services;
}

Result<void> ReadServices(ObjectReader& root, RouteTable& table) {
  std::size_t index = 0;
  for (const json& element : root.List("services")) {
    ObjectReader reader(element, ElementPath("services", index++));
    const std::string name = reader.Text("name");
    RoutedService service;
    if (reader.Field("health_path") != nullptr) {
      service.health_path = reader.Text("health_path");
    }
    service.maximum_connections = static_cast<std::uint32_t>(
        reader.Unsigned("maximum_connections", 1, kMaximumConnections, 1));
    service.warmup =
        FromSeconds(reader.Number("warmup_s", kMaximumWarmupSeconds, 0.0));
    service.cold_requests_per_second =
        reader.Number("cold_requests_per_second", kMaximumColdRequests, 0.0);
    if (reader.fault()) {
      return tl::unexpected(*reader.fault());
    }
    table.services[name] = std::move(service);
  }
  return {};
}

Result<void> ReadLimits(ObjectReader& root, RouteTable& table) {
  const json* field = root.Field("limits");
  if (field == nullptr) {
    return {};
  }
  ObjectReader reader(*field, "limits");
  ClientLimits& limits = table.limits;
  const auto to_milliseconds = [](Duration value) {
    return static_cast<std::uint64_t>(value / milliseconds(1));
  };
  limits.maximum_header_bytes = reader.Unsigned(
      "maximum_header_bytes", 1, kMaximumBytes, limits.maximum_header_bytes);
  limits.maximum_body_bytes = reader.Unsigned(
      "maximum_body_bytes", 0, kMaximumBytes, limits.maximum_body_bytes);
  limits.header_timeout = reader.Milliseconds(
      "header_timeout_ms", 1, to_milliseconds(limits.header_timeout));
  limits.idle_timeout = reader.Milliseconds(
      "idle_timeout_ms", 1, to_milliseconds(limits.idle_timeout));
  if (reader.fault()) {
    return tl::unexpected(*reader.fault());
  }
  return {};
}

// A client sends a key as one word of a header field, so a key must have
// visible ASCII characters only.
bool IsUsableKey(const json& key) {
  if (!key.is_string()) {
    return false;
  }
  const auto& text = key.get_ref<const std::string&>();
  return !text.empty() && text.size() <= kMaximumKeyBytes &&
         std::ranges::all_of(text, [](char character) {
           return character > ' ' && character < '\x7f';
         });
}

std::vector<std::string> ReadKeys(ObjectReader& reader) {
  std::vector<std::string> keys;
  for (const json& key : reader.List("api_keys")) {
    // The message must not contain the key, which is a secret.
    if (!IsUsableKey(key)) {
      reader.Fail("api_keys",
                  "must be a list of keys, each of 1 to 4096 visible ASCII "
                  "characters");
      return {};
    }
    keys.push_back(key.get<std::string>());
  }
  return keys;
}

Result<Tenant> ReadTenant(const json& element, const std::string& path) {
  ObjectReader reader(element, path);
  Tenant tenant;
  tenant.name = reader.Text("name");
  tenant.api_keys = ReadKeys(reader);
  tenant.priority =
      static_cast<std::uint32_t>(reader.Unsigned("priority", 0, 1U << 20, 0));
  tenant.requests_per_second =
      reader.Number("requests_per_second", kMaximumTenantRate, 0.0);
  tenant.burst = reader.Number("burst", kMaximumTenantRate, 0.0);
  tenant.home_regions = ReadHomeRegions(reader);
  if (reader.fault()) {
    return tl::unexpected(*reader.fault());
  }
  return tenant;
}

Result<void> ReadTenants(ObjectReader& root, RouteTable& table) {
  if (root.Field("tenants") == nullptr) {
    return {};
  }
  std::set<std::string> names;
  std::map<std::string, std::size_t> key_owners;
  std::vector<Tenant> tenants;
  for (const json& element : root.List("tenants")) {
    const std::string path = ElementPath("tenants", tenants.size());
    auto tenant = ReadTenant(element, path);
    if (!tenant) {
      return tl::unexpected(tenant.error());
    }
    if (!names.insert(tenant->name).second) {
      return MakeError(ErrorCode::kInvalidArgument, path + ".name",
                       "is already the name of another tenant");
    }
    for (const std::string& key : tenant->api_keys) {
      const std::size_t owner =
          key_owners.try_emplace(key, tenants.size()).first->second;
      if (owner != tenants.size()) {
        return MakeError(ErrorCode::kInvalidArgument, path + ".api_keys",
                         "contains a key of " + ElementPath("tenants", owner));
      }
    }
    tenants.push_back(std::move(*tenant));
  }
  table.tenants = std::move(tenants);
  return {};
}

Result<void> ReadRoutes(ObjectReader& root, RouteTable& table) {
  std::set<std::pair<std::string, std::string>> host_prefixes;
  std::size_t index = 0;
  for (const json& element : root.List("routes")) {
    const std::string path = ElementPath("routes", index++);
    auto route = ReadRoute(element, path);
    if (!route) {
      return tl::unexpected(route.error());
    }
    for (const std::string& service : ServicesOf(*route)) {
      if (!table.services.contains(service)) {
        return MakeError(ErrorCode::kInvalidArgument, path,
                         "names the service " + service +
                             ", which is not in the list of services");
      }
    }
    if (!host_prefixes.emplace(route->host, route->path_prefix).second) {
      return MakeError(ErrorCode::kInvalidArgument, path,
                       "has the host and path prefix of another route");
    }
    table.routes.push_back(std::move(*route));
  }
  return {};
}

}  // namespace

Result<RouteTable> ParseRouteTable(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return MakeError(ErrorCode::kInvalidArgument, "body", "is not JSON");
  }
  ObjectReader root(document, "");
  RouteTable table;
  table.version = root.Unsigned("version", 1, UINT64_MAX, std::nullopt);
  if (root.fault()) {
    return tl::unexpected(*root.fault());
  }
  if (auto read = ReadServices(root, table); !read) {
    return tl::unexpected(read.error());
  }
  if (auto read = ReadLimits(root, table); !read) {
    return tl::unexpected(read.error());
  }
  if (auto read = ReadTenants(root, table); !read) {
    return tl::unexpected(read.error());
  }
  if (auto read = ReadRoutes(root, table); !read) {
    return tl::unexpected(read.error());
  }
  if (root.fault()) {
    return tl::unexpected(*root.fault());
  }
  return table;
}

}  // namespace juniperway::routes
