// Runs a scenario of the lab as real processes behind the proxy, on a small
// fleet. The verdict is the promises', never a time.
#pragma once

#include <doctest/doctest.h>

#include <string>

#include "lab/experiment/execute.h"
#include "lab/fleet/deployment.h"

namespace juniperway::test {

// The file's deployment with one gateway a zone and small services.
inline lab::Deployment SmallDeployment(const std::string& name) {
  auto deployment = lab::ReadDeployment(std::string(JUNIPERWAY_SOURCE_FOLDER) +
                                        "/deploy/" + name + ".json");
  REQUIRE(deployment.has_value());
  deployment->gateways_per_zone = 1;
  for (lab::ServicePlan& service : deployment->services) {
    service.count = 1;
    service.backends = 4;
    service.shards = 8;
  }
  return *deployment;
}

inline void CheckScenario(const std::string& name,
                          const std::string& deployment) {
  const lab::Scenario* scenario = lab::FindScenario(name);
  REQUIRE(scenario != nullptr);
  lab::ExperimentOptions options;
  options.deployment = SmallDeployment(deployment);
  options.binary_folder = JUNIPERWAY_BINARY_FOLDER;
  options.run.rate = 40;
  options.run.scale = 0.5;
  const lab::RunResult result = lab::Execute(*scenario, options);
  for (const std::string& example : result.outcome.report.examples()) {
    MESSAGE(example);
  }
  for (const std::string& promise : result.unchecked) {
    MESSAGE("never checked: " << promise);
  }
  CHECK(result.failure == "");
  CHECK(result.unchecked.empty());
  CHECK(result.outcome.report.violations() == 0);
}

}  // namespace juniperway::test
