#include "daemon/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "common/net/address.h"

namespace juniperway::daemon {
namespace {

using asio::ip::tcp;

constexpr std::size_t kMaximumNameLength = 253;
constexpr std::int64_t kMaximumNodeId = 1'000'000;
constexpr std::int64_t kMinimumStopTimeoutMs = 100;
constexpr std::int64_t kMaximumStopTimeoutMs = 3'600'000;
constexpr std::int64_t kMaximumStopQuietMs = 60'000;
constexpr std::int64_t kMaximumConcurrentQueries = 1'000'000;

constexpr const char* kGatewayRole = "gateway";
constexpr const char* kControlRole = "control";
constexpr const char* kRouterRole = "router";

constexpr std::int64_t kMaximumPort = 65535;
constexpr double kMaximumLogLines = 1e6;
constexpr double kMaximumExtraRatio = 10;
constexpr double kMaximumExtraSlack = 1e9;
constexpr double kMaximumExposureShare = 1;
constexpr std::int64_t kMinimumIntervalMs = 10;
constexpr std::int64_t kMinimumElectionMs = 50;
constexpr std::int64_t kMaximumIntervalMs = 600'000;
constexpr double kMinimumCallsPerSecond = 0.1;
constexpr double kMaximumCallsPerSecond = 1e6;

using Wrong = std::optional<std::string>;

Wrong CheckName(const std::string& text) {
  const auto is_plain = [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9');
  };
  const bool fits = !text.empty() && text.size() <= kMaximumNameLength &&
                    std::all_of(text.begin(), text.end(),
                                [&](char character) {
                                  return is_plain(character) ||
                                         character == '.' || character == '-';
                                }) &&
                    is_plain(text.front()) && is_plain(text.back());
  if (fits) {
    return std::nullopt;
  }
  return fmt::format(
      "must be 1 to {} of a-z, 0-9, '.' and '-', first and last a letter or "
      "digit",
      kMaximumNameLength);
}

Wrong CheckFilled(const std::string& text) {
  return text.empty() ? Wrong("must not be empty") : std::nullopt;
}

Wrong CheckEndpoint(const std::string& text) {
  const auto endpoint = net::ParseEndpoint(text, "");
  return endpoint ? Wrong() : endpoint.error().message;
}

// An address that others can dial.
Wrong CheckDialled(const std::string& text) {
  const auto endpoint = net::ParseEndpoint(text, "");
  if (!endpoint) {
    return endpoint.error().message;
  }
  if (endpoint->port() == 0 || endpoint->address().is_unspecified()) {
    return "must be an address that others can dial, not '" + text + "'";
  }
  return std::nullopt;
}

Wrong CheckAddress(const std::string& text) {
  std::error_code error;
  asio::ip::make_address(text, error);
  return error ? Wrong("must be an IP address like 10.0.0.1") : std::nullopt;
}

Wrong CheckUrl(const std::string& text) {
  constexpr std::string_view kScheme = "http://";
  const bool fits = text.starts_with(kScheme) && text.size() > kScheme.size();
  return fits ? std::nullopt
              : Wrong("must be a URL like http://10.0.0.9:9000/v1/machines");
}

Wrong CheckRole(const std::string& text) {
  const bool known =
      text == kGatewayRole || text == kControlRole || text == kRouterRole;
  return known ? std::nullopt
               : Wrong("must be \"gateway\", \"control\" or \"router\"");
}

// "1=10.0.0.1:7100"
std::optional<raft::Member> ParseMember(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return std::nullopt;
  }
  raft::Member member;
  const char* end = text.data() + equals;
  const auto [stop, error] = std::from_chars(text.data(), end, member.id);
  member.address = text.substr(equals + 1);
  const bool fits = error == std::errc() && stop == end && member.id > 0 &&
                    member.id <= static_cast<raft::NodeId>(kMaximumNodeId) &&
                    !CheckDialled(member.address);
  return fits ? std::optional(member) : std::nullopt;
}

Wrong CheckMember(const std::string& text) {
  return ParseMember(text)
             ? std::nullopt
             : Wrong("must be like \"1=10.0.0.1:7100\", not '" + text + "'");
}

// Both checked before, where they are used.
tcp::endpoint ToEndpoint(const std::string& text) {
  const auto endpoint = net::ParseEndpoint(text, "");
  return endpoint ? *endpoint : tcp::endpoint();
}

// A time in seconds, whole or not.
void ReadSeconds(TableReader& reader, std::string_view key, Duration minimum,
                 Duration maximum, Duration& target) {
  using Seconds = std::chrono::duration<double>;
  double value = Seconds(target).count();
  reader.Number(key, Seconds(minimum).count(), Seconds(maximum).count(), value);
  target = std::chrono::duration_cast<Duration>(Seconds(value));
}

tcp::endpoint ReadListener(TableReader& reader, std::string_view key) {
  std::string text;
  reader.Text(key, Presence::kRequired, CheckEndpoint, text);
  return ToEndpoint(text);
}

std::filesystem::path ReadPath(TableReader& reader, std::string_view key,
                               Presence presence) {
  std::string text;
  reader.Text(key, presence, CheckFilled, text);
  return text;
}

// Of the callers' listener: both files or neither.
std::optional<net::TlsFiles> ReadCallerTls(TableReader& reader) {
  const bool wanted =
      reader.Has("http_certificate_file") || reader.Has("http_key_file");
  const Presence presence = wanted ? Presence::kRequired : Presence::kOptional;
  net::TlsFiles files;
  files.certificate = ReadPath(reader, "http_certificate_file", presence);
  files.key = ReadPath(reader, "http_key_file", presence);
  return wanted ? std::optional(files) : std::nullopt;
}

net::TlsFiles ReadInternalTls(TableReader& reader) {
  net::TlsFiles files;
  files.certificate = ReadPath(reader, "certificate_file", Presence::kRequired);
  files.key = ReadPath(reader, "key_file", Presence::kRequired);
  files.authority = ReadPath(reader, "authority_file", Presence::kRequired);
  reader.RefuseUnknownKeys();
  return files;
}

GatewaySettings ReadGateway(TableReader& reader) {
  GatewaySettings gateway;
  gateway.http_listen = ReadListener(reader, "http_listen");
  gateway.http_tls = ReadCallerTls(reader);
  gateway.peer_listen = ReadListener(reader, "peer_listen");
  reader.Text("peer_advertise", Presence::kOptional, CheckDialled,
              gateway.peer_advertise);
  if (!reader.Has("peer_advertise") && reader.Has("peer_listen") &&
      gateway.peer_listen.address().is_unspecified()) {
    reader.Refuse("peer_advertise",
                  "is required where peer_listen is no address that others "
                  "can dial");
  }
  auto queries = static_cast<std::int64_t>(gateway.maximum_concurrent_queries);
  reader.Integer("maximum_concurrent_queries", Presence::kOptional, 1,
                 kMaximumConcurrentQueries, queries);
  gateway.maximum_concurrent_queries = static_cast<std::size_t>(queries);
  std::int64_t quiet_ms = gateway.stop_quiet / milliseconds(1);
  reader.Integer("stop_quiet_ms", Presence::kOptional, 0, kMaximumStopQuietMs,
                 quiet_ms);
  gateway.stop_quiet = milliseconds(quiet_ms);
  reader.RefuseUnknownKeys();
  return gateway;
}

forwarding::HeaderNames ReadHeaderNames(TableReader& reader) {
  forwarding::HeaderNames names;
  const auto read_name = [&reader](std::string_view key, std::string& target) {
    reader.Text(key, Presence::kOptional, CheckFilled, target);
  };
  read_name("request_id", names.request_id);
  read_name("deadline", names.deadline);
  read_name("expected_backend", names.expected_backend);
  read_name("tenant", names.tenant);
  read_name("signature", names.signature);
  read_name("not_executed", names.not_executed);
  read_name("part_signatures", names.part_signatures);
  read_name("missing_parts", names.missing_parts);
  reader.RefuseUnknownKeys();
  return names;
}

// A table of zone = region.
std::map<std::string, std::string> ReadZones(TableReader& reader,
                                             std::string_view key) {
  std::map<std::string, std::string> zones;
  const toml::table* table = reader.Table(key);
  if (table == nullptr) {
    return zones;
  }
  for (const auto& [zone, region] : *table) {
    const auto text = region.value_exact<std::string>();
    if (!text) {
      reader.Refuse(
          key, fmt::format("must give the region of {} as a text", zone.str()));
      continue;
    }
    zones[std::string(zone.str())] = *text;
  }
  return zones;
}

RouterSettings ReadRouter(TableReader& reader, const std::string& file,
                          std::vector<SettingsFault>& faults) {
  RouterSettings router;
  router.http_listen = ReadListener(reader, "http_listen");
  router.ready_listen = ReadListener(reader, "ready_listen");
  reader.Number("extra_ratio", 0, kMaximumExtraRatio, router.extra.ratio);
  reader.Number("extra_slack", 0, kMaximumExtraSlack, router.extra.slack);
  ReadSeconds(reader, "extra_window_s", milliseconds(kMinimumIntervalMs),
              milliseconds(kMaximumIntervalMs), router.extra.window);
  reader.Boolean("share_observations", router.shares_observations);
  router.zones = ReadZones(reader, "zones");
  if (const toml::table* headers = reader.Table("headers")) {
    TableReader table(*headers, "router.headers", file, faults);
    router.headers = ReadHeaderNames(table);
  }
  reader.RefuseUnknownKeys();
  return router;
}

void CheckMembers(TableReader& reader, const ControlSettings& control,
                  const std::string& advertised) {
  if (control.initial_members.empty()) {
    return;
  }
  std::set<raft::NodeId> ids;
  for (const raft::Member& member : control.initial_members) {
    if (!ids.insert(member.id).second) {
      reader.Refuse("initial_members",
                    fmt::format("names node {} twice", member.id));
    }
    if (member.id == control.node_id && member.address != advertised) {
      reader.Refuse("initial_members",
                    fmt::format("gives this node's address as {}, but others "
                                "dial {} (peer_advertise)",
                                member.address, advertised));
    }
  }
  if (control.node_id != raft::kNoNode && !ids.contains(control.node_id)) {
    reader.Refuse("initial_members",
                  fmt::format("must hold this node ({})", control.node_id));
  }
}

ControlSettings ReadControl(TableReader& reader, bool has_seeds) {
  ControlSettings control;
  std::int64_t node_id = 0;
  reader.Integer("node_id",
                 has_seeds ? Presence::kOptional : Presence::kRequired, 1,
                 kMaximumNodeId, node_id);
  control.node_id = static_cast<raft::NodeId>(node_id);
  control.http_listen = ReadListener(reader, "http_listen");
  control.peer_listen = ReadListener(reader, "peer_listen");
  std::string advertised;
  reader.Text("peer_advertise", Presence::kOptional, CheckDialled, advertised);
  if (advertised.empty()) {
    advertised = net::FormatEndpoint(control.peer_listen);
  }
  std::vector<std::string> members;
  reader.Texts("initial_members", Presence::kOptional, CheckMember, members);
  for (const std::string& text : members) {
    control.initial_members.push_back(*ParseMember(text));
  }
  CheckMembers(reader, control, advertised);
  reader.Boolean("bootstrap", control.bootstrap);
  control.token_file = ReadPath(reader, "token_file", Presence::kOptional);
  reader.Text("platform_url", Presence::kOptional, CheckUrl,
              control.platform_url);
  control.peer_advertise = advertised;
  reader.Integer("tolerated_losses", Presence::kOptional, 0,
                 kMaximumToleratedLosses, control.tolerated_losses);
  reader.Boolean("open_api", control.open_api);
  reader.Text("discovery_url", Presence::kOptional, CheckUrl,
              control.discovery_url);
  std::int64_t election_ms = control.election_timeout / milliseconds(1);
  reader.Integer("election_timeout_ms", Presence::kOptional, kMinimumElectionMs,
                 kMaximumIntervalMs, election_ms);
  control.election_timeout = milliseconds(election_ms);
  std::int64_t interval_ms = control.discovery_interval / milliseconds(1);
  reader.Integer("discovery_interval_ms", Presence::kOptional,
                 kMinimumIntervalMs, kMaximumIntervalMs, interval_ms);
  control.discovery_interval = milliseconds(interval_ms);
  reader.Number("discovery_calls_per_second", kMinimumCallsPerSecond,
                kMaximumCallsPerSecond, control.discovery_calls_per_second);
  ReadSeconds(reader, "quota_window_s", milliseconds(kMinimumIntervalMs),
              milliseconds(kMaximumIntervalMs),
              control.tenant_tolerance.window);
  reader.Number("quota_overage", 0, kMaximumExtraRatio,
                control.tenant_tolerance.overage);
  reader.Number("quota_slack", 0, kMaximumExtraSlack,
                control.tenant_tolerance.slack);
  reader.Number("rollout_exposure_share", 0, kMaximumExposureShare,
                control.rollout_exposure.share);
  reader.Number("rollout_exposure_slack", 0, kMaximumExtraSlack,
                control.rollout_exposure.slack);
  reader.RefuseUnknownKeys();
  return control;
}

void ReadIdentity(TableReader& reader, Settings& settings) {
  reader.Text("name", Presence::kRequired, CheckName, settings.name);
  reader.Text("cluster", Presence::kRequired, CheckName, settings.cluster);
  reader.Text("zone", Presence::kRequired, CheckName, settings.zone);
  reader.Text("region", Presence::kOptional, CheckName, settings.region);
  settings.log_folder = ReadPath(reader, "log_folder", Presence::kOptional);
  reader.Number("log_request_lines_per_second", 0, kMaximumLogLines,
                settings.log_limits.request_lines);
  reader.Number("log_success_lines_per_second", 0, kMaximumLogLines,
                settings.log_limits.success_lines);
  std::string metrics;
  reader.Text("metrics_listen", Presence::kOptional, CheckEndpoint, metrics);
  if (!metrics.empty()) {
    settings.metrics_listen = ToEndpoint(metrics);
  }
  std::string source;
  reader.Text("source_address", Presence::kOptional, CheckAddress, source);
  if (!source.empty()) {
    settings.source_address = asio::ip::make_address(source);
  }
  std::int64_t stop_ms = settings.stop_timeout / milliseconds(1);
  reader.Integer("stop_timeout_ms", Presence::kOptional, kMinimumStopTimeoutMs,
                 kMaximumStopTimeoutMs, stop_ms);
  settings.stop_timeout = milliseconds(stop_ms);
  ReadSeconds(reader, "stop_timeout_s", milliseconds(kMinimumStopTimeoutMs),
              milliseconds(kMaximumStopTimeoutMs), settings.stop_timeout);
}

void ReadSeeds(TableReader& reader, Settings& settings) {
  reader.Texts("control_seeds", Presence::kOptional, CheckDialled,
               settings.control_seeds);
  std::int64_t port = settings.control_peer_port;
  reader.Integer("control_peer_port",
                 settings.control_seeds.empty() ? Presence::kOptional
                                                : Presence::kRequired,
                 1, kMaximumPort, port);
  settings.control_peer_port = static_cast<std::uint16_t>(port);
}

// Each seed listens for peers and daemons on the same port.
void AddSeedPeers(Settings& settings) {
  for (const std::string& seed : settings.control_seeds) {
    tcp::endpoint endpoint = ToEndpoint(seed);
    endpoint.port(settings.control_peer_port);
    settings.control_peers.push_back(net::FormatEndpoint(endpoint));
  }
}

// A role and its table come together.
// @return the table when the role is there too.
const toml::table* RoleTable(TableReader& reader,
                             const std::vector<std::string>& roles,
                             const char* role, const char* key) {
  const toml::table* table = reader.Table(key);
  const bool wanted =
      std::find(roles.begin(), roles.end(), role) != roles.end();
  if (wanted && !reader.Has(key)) {
    reader.Refuse(key, fmt::format("is required for the role \"{}\"", role));
  }
  if (!wanted && table != nullptr) {
    reader.Refuse(key, fmt::format("needs \"{}\" among the roles", role));
  }
  return wanted ? table : nullptr;
}

Settings ReadRoot(const toml::table& root, const std::string& file,
                  std::vector<SettingsFault>& faults) {
  TableReader reader(root, "", file, faults);
  Settings settings;
  ReadIdentity(reader, settings);
  std::vector<std::string> roles;
  reader.Texts("roles", Presence::kRequired, CheckRole, roles);
  const toml::table* gateway =
      RoleTable(reader, roles, kGatewayRole, "gateway");
  const toml::table* control =
      RoleTable(reader, roles, kControlRole, "control");
  const toml::table* router = RoleTable(reader, roles, kRouterRole, "router");
  // A router keeps nothing over a restart.
  const bool keeps_data =
      router == nullptr || gateway != nullptr || control != nullptr;
  settings.data_folder =
      ReadPath(reader, "data_folder",
               keeps_data ? Presence::kRequired : Presence::kOptional);
  ReadSeeds(reader, settings);
  const bool has_session = gateway != nullptr || router != nullptr;
  const bool needs_peers = has_session && settings.control_seeds.empty();
  reader.Texts("control_peers",
               needs_peers ? Presence::kRequired : Presence::kOptional,
               CheckDialled, settings.control_peers);
  AddSeedPeers(settings);
  if (const toml::table* tls = reader.Table("tls")) {
    TableReader table(*tls, "tls", file, faults);
    settings.tls = ReadInternalTls(table);
  }
  if (gateway != nullptr) {
    TableReader table(*gateway, "gateway", file, faults);
    settings.gateway = ReadGateway(table);
  }
  if (control != nullptr) {
    TableReader table(*control, "control", file, faults);
    settings.control = ReadControl(table, !settings.control_seeds.empty());
  }
  if (router != nullptr) {
    TableReader table(*router, "router", file, faults);
    settings.router = ReadRouter(table, file, faults);
  }
  reader.RefuseUnknownKeys();
  return settings;
}

}  // namespace

SettingsResult ParseSettings(const std::string& text, const std::string& file,
                             const Overrides& overrides) {
  std::vector<SettingsFault> faults;
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    faults.push_back({file, error.source().begin.line, "",
                      std::string(error.description())});
    return tl::unexpected(std::move(faults));
  }
  for (const auto& [key, value] : overrides) {
    root.insert_or_assign(key, value);
  }
  Settings settings = ReadRoot(root, file, faults);
  if (!faults.empty()) {
    return tl::unexpected(std::move(faults));
  }
  return settings;
}

SettingsResult LoadSettings(const std::string& file,
                            const Overrides& overrides) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return tl::unexpected(
        std::vector<SettingsFault>{{file, 1, "", "cannot be read"}});
  }
  return ParseSettings(text.str(), file, overrides);
}

}  // namespace juniperway::daemon
