// The result of a run: as one JSON line, and as a table for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/experiment/run.h"
#include "lab/experiment/scenario.h"

namespace juniperway::lab {

struct RunResult {
  std::string scenario;
  std::string deployment;
  std::uint64_t seed = 0;
  RunOutcome outcome;
  // Why the run could not be done as scripted; empty when it was.
  std::string failure;
  // Promises that the scenario exercises and that were never checked.
  std::vector<std::string> unchecked;

  bool passed() const {
    return failure.empty() && unchecked.empty() &&
           outcome.report.violations() == 0;
  }
};

// Names of the promises that should have been checked and were not.
std::vector<std::string> UncheckedPromises(const Scenario& scenario,
                                           const PromiseReport& report);

nlohmann::json ResultToJson(const RunResult& result);

// Several lines, without the examples of violations.
std::string FormatTable(const RunResult& result);

}  // namespace juniperway::lab
