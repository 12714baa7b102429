// The whole tier under one virtual clock: the control simulation, with a
// gateway in each daemon, back ends, callers, and index versions that change
// while queries run. The same options give the same run.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sim/control/control_sim.h"
#include "sim/tier/sim_backend.h"
#include "sim/tier/sim_gateway.h"
#include "sim/tier/tier_checker.h"

namespace juniperway::sim {

struct TierSimOptions {
  std::uint64_t seed = 0;
  ControlSimOptions control;
  // Fewer faults than in the control simulation, so that queries get through.
  Duration fault_interval = milliseconds(1500);
  Duration mean_query_gap = milliseconds(25);
  TierDefect defect = TierDefect::kNone;
};

class TierSim {
 public:
  explicit TierSim(TierSimOptions options);

  void Run();

  // The first broken promise of tier or control, or what did not recover.
  std::optional<std::string> Failure() const;
  const TierChecker& checker() const { return checker_; }
  const ControlSim& control() const { return *control_; }
  resources::IndexVersion versions() const { return newest_; }

 private:
  struct Call {
    CallerRequest request;
    Duration deadline{0};
    int submissions = 0;
    bool ended = false;
  };
  using CallPointer = std::shared_ptr<Call>;

  void Arrive();
  void Submit(const CallPointer& call);
  void PublishLater();
  void Publish();
  void LoadVersion(SimBackend& backend, resources::IndexVersion version);

  TierSimOptions options_;
  TierChecker checker_;
  std::unique_ptr<ControlSim> control_;
  std::map<std::string, std::unique_ptr<SimBackend>> backends_;
  std::vector<std::unique_ptr<SimGateway>> gateways_;
  resources::IndexVersion newest_ = 0;
  std::uint64_t calls_ = 0;
};

}  // namespace juniperway::sim
