#include "lab/fleet/settings_file.h"

#include <toml++/toml.h>

#include <fstream>
#include <sstream>

namespace juniperway::lab {
namespace {

toml::array ToArray(const std::vector<std::string>& texts) {
  toml::array array;
  for (const std::string& text : texts) {
    array.push_back(text);
  }
  return array;
}

toml::table GatewayTable(const DaemonSettings& settings) {
  toml::table table;
  table.insert("http_listen", settings.address + ":0");
  table.insert("peer_listen", settings.address + ":0");
  table.insert("peer_advertise", settings.gateway_peer_advertise);
  return table;
}

toml::table ControlTable(const DaemonSettings& settings) {
  toml::table table;
  table.insert("node_id", static_cast<std::int64_t>(settings.node_id));
  table.insert("http_listen", settings.address + ":0");
  table.insert("peer_listen", settings.address + ":0");
  table.insert("peer_advertise", settings.control_peer_advertise);
  if (!settings.initial_members.empty()) {
    table.insert("initial_members", ToArray(settings.initial_members));
  }
  table.insert("bootstrap", true);
  if (!settings.platform_url.empty()) {
    table.insert("platform_url", settings.platform_url);
  }
  return table;
}

}  // namespace

std::string FormatSettings(const DaemonSettings& settings) {
  toml::table table;
  table.insert("name", settings.name);
  table.insert("cluster", settings.cluster);
  table.insert("zone", settings.zone);
  table.insert("region", settings.region);
  table.insert("data_folder", settings.data_folder);
  table.insert("source_address", settings.address);
  table.insert("control_peers", ToArray(settings.control));
  toml::array roles;
  if (settings.gateway) {
    roles.push_back("gateway");
    table.insert("gateway", GatewayTable(settings));
  }
  if (settings.control_role) {
    roles.push_back("control");
    table.insert("control", ControlTable(settings));
  }
  table.insert("roles", roles);
  std::ostringstream text;
  text << table << '\n';
  return text.str();
}

Result<void> WriteSettings(const DaemonSettings& settings,
                           const std::string& path) {
  std::ofstream file(path);
  file << FormatSettings(settings);
  file.close();
  if (!file) {
    return MakeError(ErrorCode::kIo, path, "cannot be written");
  }
  return {};
}

}  // namespace juniperway::lab
