// The real processes of a soak: control machines that form their group from
// seeds, and routers. Use from one thread, which must outlive the processes.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/fleet/child_process.h"
#include "lab/soak/control_paths.h"

namespace juniperway::lab {

struct SoakFleetOptions {
  std::filesystem::path binary_folder;
  // Settings, data and logs.
  std::filesystem::path folder;
  std::string list_url;
  std::vector<std::string> zones;
  std::size_t controls = 3;
  std::size_t routers = 2;
  // Of the proxy before the control machines.
  std::uint64_t seed = 1;
};

class SoakFleet {
 public:
  // Starts everything. Throws std::runtime_error when something does not start.
  explicit SoakFleet(SoakFleetOptions options);

  std::size_t controls() const { return controls_.size(); }
  std::size_t routers() const { return routers_.size(); }

  ChildProcess& control(std::size_t number) { return *controls_.at(number); }
  ChildProcess& router(std::size_t number) { return *routers_.at(number); }

  // Starts one that has ended, with its disk.
  void StartControl(std::size_t number) { StartControl(number, false); }
  void StartRouter(std::size_t number);
  // Empties the disk of a control machine that has ended.
  void Wipe(std::size_t number) const;

  // "ip:port"; both stay over restarts.
  std::string RouterAddress(std::size_t number) const;
  std::string ControlAddress(std::size_t number) const;

  // Between control machines, and from routers to them. Machines are named
  // "control-0" and "router-0" there.
  SoakControlPaths& paths() { return *paths_; }

  // Whether every voter of the group is there and no repair is under way.
  bool IsWhole();

 private:
  void MakePaths();
  void StartControl(std::size_t number, bool bootstrap);
  std::filesystem::path DataFolder(std::size_t number) const;
  // Where its connections come from, and what others dial.
  std::string ControlIp(std::size_t number) const;
  std::string RouterIp(std::size_t number) const;
  // Where a control machine listens for what comes through the proxy.
  std::string HiddenControlIp(std::size_t number) const;
  std::string Common(const std::string& name, std::size_t number,
                     const std::string& address) const;
  std::optional<ChildProcess> StartProcess(const std::string& name,
                                           const std::string& settings) const;

  SoakFleetOptions options_;
  // "127.x.y": loopback addresses of this run alone.
  std::string network_;
  std::uint16_t http_port_ = 0;
  std::uint16_t peer_port_ = 0;
  std::vector<std::uint16_t> router_ports_;
  std::unique_ptr<SoakControlPaths> paths_;
  std::vector<std::optional<ChildProcess>> controls_;
  std::vector<std::optional<ChildProcess>> routers_;
};

}  // namespace juniperway::lab
