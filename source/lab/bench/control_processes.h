// Control machines as processes of juniperwayd for a benchmark, and what they
// cost. Not for several threads at once.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "lab/fleet/child_process.h"
#include "lab/fleet/control_client.h"

namespace juniperway::lab {

inline constexpr const char* kBenchCluster = "bench";

// What a process has used so far.
struct ProcessCost {
  Duration processor_time{};
  std::size_t resident_bytes = 0;
};

// The cost of a process. Throws std::runtime_error when it has ended.
ProcessCost ReadProcessCost(pid_t pid);

class ControlProcesses {
 public:
  // Starts `count` of them from `binary` and waits until one leads.
  // Throws std::runtime_error when that fails.
  ControlProcesses(const std::string& binary,
                   const std::filesystem::path& folder, std::size_t count);

  // "ip:port" of each machine's listener for daemons.
  const std::vector<std::string>& peer_addresses() const {
    return peer_addresses_;
  }
  ControlClient& client() { return *client_; }
  std::size_t size() const { return machines_.size(); }

  // The leader's position as the machine at `asked` says; nothing when it
  // knows none.
  std::optional<std::size_t> Leader(std::size_t asked);
  // Throws when no machine but `excluded` says that one leads.
  std::size_t WaitForLeader(std::optional<std::size_t> excluded = {});
  // Every machine takes part again and has caught up.
  void WaitUntilRepaired();

  void Kill(std::size_t position) { machines_[position]->Kill(); }
  void Restart(std::size_t position);
  void Signal(std::size_t position, int number) {
    machines_[position]->Signal(number);
  }
  ProcessCost Cost(std::size_t position) const {
    return ReadProcessCost(machines_[position]->pid());
  }

 private:
  void Launch(std::size_t position);

  std::string binary_;
  std::filesystem::path folder_;
  std::vector<std::string> peer_addresses_;
  std::vector<std::string> http_addresses_;
  std::vector<std::optional<ChildProcess>> machines_;
  std::unique_ptr<ControlClient> client_;
};

}  // namespace juniperway::lab
