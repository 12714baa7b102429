// Writes settings files of juniperwayd (TOML).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/error.h"

namespace juniperway::lab {

struct DaemonSettings {
  std::string name;
  std::string cluster;
  std::string zone;
  std::string region;
  std::string data_folder;
  // Loopback address of the machine; it listens there on ports that the kernel
  // chooses, and its connections come from there.
  std::string address;
  // Peer addresses of the control machines.
  std::vector<std::string> control;

  // Roles; at least one.
  bool gateway = false;
  bool control_role = false;

  // What other daemons dial.
  std::string gateway_peer_advertise;
  std::uint64_t node_id = 0;
  std::string control_peer_advertise;
  std::vector<std::string> initial_members;
  std::string platform_url;
};

std::string FormatSettings(const DaemonSettings& settings);

Result<void> WriteSettings(const DaemonSettings& settings,
                           const std::string& path);

}  // namespace juniperway::lab
