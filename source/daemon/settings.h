// The daemon's settings: a TOML file, checked as a whole before anything
// starts. Every key, its unit, limits and default: docs/operations/install.md.
#pragma once

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "common/base/time.h"
#include "common/net/tls.h"
#include "common/raft/types.h"
#include "daemon/table_reader.h"

namespace juniperway::daemon {

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

struct ControlSettings {
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
};

struct Settings {
  std::string name;
  std::string cluster;
  std::string zone;
  std::string region;
  std::filesystem::path data_folder;
  // Empty: the log goes to standard error.
  std::filesystem::path log_folder;
  // Outgoing connections come from here; none: the system chooses.
  std::optional<asio::ip::address> source_address;
  // Peer addresses of the control machines.
  std::vector<std::string> control_peers;
  // The fleet's own connections are encrypted, where set.
  std::optional<net::TlsFiles> tls;
  // A planned stop is over after this at the latest.
  Duration stop_timeout = seconds(30);
  // Roles.
  std::optional<GatewaySettings> gateway;
  std::optional<ControlSettings> control;
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
