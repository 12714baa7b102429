// The daemon's settings: a TOML file, checked as a whole before anything
// starts. Every key, its unit, limits and default: docs/operations/install.md.
#pragma once

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/base/time.h"
#include "common/forwarding/extra_attempt_budget.h"
#include "common/forwarding/header_names.h"
#include "common/logging/event_log.h"
#include "common/net/tls.h"
#include "common/quota/rate_limit.h"
#include "common/raft/types.h"
#include "common/rollout/rollout.h"
#include "daemon/table_reader.h"

namespace juniperway::daemon {

// Most control machines whose loss at once a group can be set to bear.
inline constexpr std::int64_t kMaximumToleratedLosses = 10;

struct GatewaySettings {
  asio::ip::tcp::endpoint http_listen;
  // Callers connect by TLS, where set.
  std::optional<net::TlsFiles> http_tls;
  asio::ip::tcp::endpoint peer_listen;
  // What other daemons dial; empty: where peer_listen listens.
  std::string peer_advertise;
  std::size_t maximum_concurrent_queries = 4096;
  // A planned stop refuses until no query has come for this long.
  Duration stop_quiet = milliseconds(500);
};

// HTTP forwarding by the route table.
struct RouterSettings {
  asio::ip::tcp::endpoint http_listen;
  asio::ip::tcp::endpoint ready_listen;
  // Zone to region of the whole fleet.
  std::map<std::string, std::string> zones;
  // Bounds the fleet's hedges and retries at each service.
  forwarding::ExtraAttemptLimits extra;
  // See forwarding::PoolOptions.
  bool shares_observations = true;
  forwarding::HeaderNames headers;
};

struct ControlSettings {
  // kNoNode: with seeds, the machine takes a number by itself and keeps it.
  raft::NodeId node_id = raft::kNoNode;
  asio::ip::tcp::endpoint http_listen;
  asio::ip::tcp::endpoint peer_listen;
  std::vector<raft::Member> initial_members;
  // May create the store in a data folder that holds none.
  bool bootstrap = false;
  // Empty: the resource API serves the loopback interface only.
  std::filesystem::path token_file;
  // Empty: no platform list.
  std::string platform_url;
  // What the others dial.
  std::string peer_advertise;
  // Machines whose loss is borne at once; sets the number of voters.
  std::int64_t tolerated_losses = 1;
  // The resource API is served without a token.
  bool open_api = false;
  // Shortest time without a leader before a machine stands for election.
  Duration election_timeout = seconds(1);
  // Empty: no discovery list.
  std::string discovery_url;
  Duration discovery_interval = seconds(1);
  // Calls a second that the platform takes from the whole fleet.
  double discovery_calls_per_second = 50;
  // How far the fleet may go beyond tenants' limits.
  quota::RateTolerance tenant_tolerance;
  // What a version that turns out bad in its roll-out may be sent.
  rollout::ExposureLimit rollout_exposure;
};

struct Settings {
  std::string name;
  std::string cluster;
  std::string zone;
  std::string region;
  std::filesystem::path data_folder;
  // Empty: the log goes to standard output.
  std::filesystem::path log_folder;
  logging::LogLimits log_limits;
  // GET /metrics of the router and control roles; none: not served.
  std::optional<asio::ip::tcp::endpoint> metrics_listen;
  // Outgoing connections come from here; none: the system chooses.
  std::optional<asio::ip::address> source_address;
  // Resource API addresses of some control machines. Where there are any, the
  // control machines form their group and replace lost members by themselves.
  std::vector<std::string> control_seeds;
  // On which every control machine listens for peers and daemons.
  std::uint16_t control_peer_port = 0;
  // Peer addresses of the control machines, those of the seeds among them.
  std::vector<std::string> control_peers;
  // The fleet's own connections are encrypted, where set.
  std::optional<net::TlsFiles> tls;
  // A planned stop is over after this at the latest.
  Duration stop_timeout = seconds(30);
  // Roles.
  std::optional<GatewaySettings> gateway;
  std::optional<ControlSettings> control;
  std::optional<RouterSettings> router;
};

// Values that flags put in the place of the file's, by key.
using Overrides = std::map<std::string, std::string>;

using SettingsResult = tl::expected<Settings, std::vector<SettingsFault>>;

// @param file names the text in faults.
SettingsResult ParseSettings(const std::string& text, const std::string& file,
                             const Overrides& overrides);

SettingsResult LoadSettings(const std::string& file,
                            const Overrides& overrides);

}  // namespace juniperway::daemon
