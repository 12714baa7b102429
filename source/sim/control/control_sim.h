// Control machines, daemons and operators under one virtual clock, with a
// seeded schedule of faults. The same options give the same run. Checks what
// control promises as it goes, and at the end that the fleet recovers.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/control/control_checker.h"
#include "sim/control/control_machine.h"
#include "sim/control/options.h"
#include "sim/control/process.h"
#include "sim/control/sim_daemon.h"
#include "sim/control/sim_operator.h"

namespace juniperway::sim {

// Partition maps have so many equal parts; the shard of each has this name.
inline constexpr int kSmallestLayout = 3;
inline constexpr int kLargestLayout = 4;
inline constexpr std::uint32_t kBackendSlots = 3;
std::string ShardName(int layout, int part);
// Shards that the back end of this number holds: two of each layout.
std::set<std::string> ShardsOf(int backend);

class ControlSim {
 public:
  explicit ControlSim(const ControlSimOptions& options);

  // Runs everything: start, faults, recovery. Ends early at a violation.
  void Run();

  // Sends operations to any machine until they are answered without an error.
  void Declare(const control::Operations& operations);

  Surroundings& surroundings() { return surroundings_; }
  std::vector<SimDaemon*> daemons();
  const ControlChecker& checker() const { return checker_; }
  // What did not recover within a bounded time after the faults; empty: all.
  const std::optional<std::string>& unrecovered() const { return unrecovered_; }
  std::uint64_t faults() const { return faults_; }
  // Terms that the group went through.
  std::uint64_t terms() const;

 private:
  void DeclareResources();
  void RunFor(Duration duration);
  void RunFaults();
  void Recover();
  // What still differs from a fleet at rest, if anything.
  std::optional<std::string> FindUnrest() const;
  const ControlMachine* FindLeader() const;
  void CheckAccepted();

  void InjectFault();
  void CrashOrRestartMachine();
  void FreezeSome();
  void CutSome();
  void CrashOrRestartDaemon();
  void ClaimSomething();

  ControlSimOptions options_;
  Surroundings surroundings_;
  Network network_;
  ControlChecker checker_;
  std::vector<std::unique_ptr<ControlMachine>> machines_;
  std::vector<std::unique_ptr<SimDaemon>> daemons_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
  std::uint64_t faults_ = 0;
  std::uint64_t requests_ = 0;
  std::optional<std::string> unrecovered_;
};

}  // namespace juniperway::sim
