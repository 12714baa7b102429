// An operator who changes back ends, races the others, and sends a change again
// when its answer did not come.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sim/control/control_checker.h"
#include "sim/control/control_machine.h"
#include "sim/control/options.h"
#include "sim/control/process.h"

namespace juniperway::sim {

class SimOperator : public Process {
 public:
  SimOperator(Surroundings& surroundings, const ControlSimOptions& options,
              Network& network, ControlChecker& checker, ProcessNumber number,
              std::vector<ControlMachine*> machines);

  void Start();
  // Makes no further changes; what is under way goes on.
  void Stop() { stopped_ = true; }
  bool idle() const { return !under_way_; }

 private:
  // Reads a resource at some machine, which may lag, and then changes it.
  void ReadAndChange();
  void Send();
  void OnResult(const std::string& change_id,
                const Result<control::OperationResults>& result);
  void ChangeLater();
  ControlMachine& AnyMachine();

  const ControlSimOptions& options_;
  Network& network_;
  ControlChecker& checker_;
  std::vector<ControlMachine*> machines_;
  bool stopped_ = false;
  std::uint64_t changes_ = 0;

  // The change that is under way.
  bool under_way_ = false;
  std::string change_id_;
  resources::Resource change_;
  int sends_ = 0;
  std::uint64_t wait_number_ = 0;
};

}  // namespace juniperway::sim
