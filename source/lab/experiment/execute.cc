#include "lab/experiment/execute.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace juniperway::lab {
namespace {

// A folder for one run; removed with its content unless it is kept.
class WorkFolder {
 public:
  explicit WorkFolder(bool keep) : keep_(keep) {
    std::string path =
        (std::filesystem::temp_directory_path() / "juniperway-lab-XXXXXX")
            .string();
    if (mkdtemp(path.data()) == nullptr) {
      throw std::runtime_error("no folder can be made for the run");
    }
    path_ = path;
  }
  ~WorkFolder() {
    if (keep_) {
      std::cerr << "kept: " << path_ << '\n';
      return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  WorkFolder(const WorkFolder&) = delete;
  WorkFolder& operator=(const WorkFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  bool keep_;
  std::string path_;
};

Result<std::unique_ptr<Fleet>> StartFleet(const ExperimentOptions& options,
                                          const std::string& folder) {
  FleetOptions fleet_options;
  fleet_options.deployment = options.deployment;
  fleet_options.stand_ins.binary_folder = options.binary_folder;
  fleet_options.stand_ins.work_folder = folder;
  fleet_options.stand_ins.seed = options.run.seed;
  auto fleet = Fleet::Start(fleet_options);
  if (fleet) {
    if (Result<void> declared = (*fleet)->Declare(); !declared) {
      return tl::unexpected<Error>(declared.error());
    }
  }
  return fleet;
}

// Fills in the outcome, and the failure of a step.
void RunScript(const Scenario& scenario, ExperimentRun& run,
               RunResult& result) {
  if (scenario.starts_load) {
    run.StartLoad(run.DefaultWorkload());
  }
  if (Result<void> done = scenario.script(run); !done) {
    result.failure = FormatError(done.error());
  }
  Result<RunOutcome> outcome = run.Judge();
  if (outcome) {
    result.outcome = *std::move(outcome);
  } else if (result.failure.empty()) {
    result.failure = FormatError(outcome.error());
  }
  result.unchecked = UncheckedPromises(scenario, result.outcome.report);
}

}  // namespace

RunResult Execute(const Scenario& scenario, const ExperimentOptions& options) {
  RunResult result;
  result.scenario = scenario.name;
  result.deployment = options.deployment.cluster;
  result.seed = options.run.seed;
  const WorkFolder folder(options.keep_files);
  Result<std::unique_ptr<Fleet>> fleet = StartFleet(options, folder.path());
  if (!fleet) {
    result.failure = FormatError(fleet.error());
    return result;
  }
  ExperimentRun run(**fleet, options.run);
  RunScript(scenario, run, result);
  return result;
}

}  // namespace juniperway::lab
