// Starts a fleet, runs one scenario on it and judges the run.
#pragma once

#include <string>

#include "lab/experiment/report_table.h"
#include "lab/experiment/run.h"
#include "lab/experiment/scenario.h"
#include "lab/fleet/deployment.h"

namespace juniperway::lab {

struct ExperimentOptions {
  Deployment deployment;
  // Folder of the programs.
  std::string binary_folder;
  RunOptions run;
  // Keeps the folder with the logs and data of the run (it is printed).
  bool keep_files = false;
};

RunResult Execute(const Scenario& scenario, const ExperimentOptions& options);

}  // namespace juniperway::lab
