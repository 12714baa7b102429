// What a scenario is: a script that disturbs a fleet under load, and the
// promises that it is meant to exercise.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "lab/promises/report.h"

namespace juniperway::lab {

class ExperimentRun;

// An error is a step that could not be done (it fails the run).
using ScenarioStep = std::function<Result<void>(ExperimentRun& run)>;

// A disturbance that can be brought about and taken away again, so that two
// can be under way at the same time.
struct Disturbance {
  ScenarioStep begin;
  ScenarioStep end;
};

struct Scenario {
  std::string name;
  // One sentence for people.
  std::string summary;
  // Each must be checked at least once, besides kAlwaysExercised.
  std::set<Promise> exercises;
  // The script, under load unless it starts its own.
  ScenarioStep script;
  // False: the script starts the load by itself.
  bool starts_load = true;
};

// Every scenario, in the order of the list.
const std::vector<Scenario>& Scenarios();
// Nullptr when there is none of that name.
const Scenario* FindScenario(const std::string& name);

// Checked in every run that has load.
const std::set<Promise>& AlwaysExercised();

// Disturbances that `two-faults` draws from, by scenario name.
struct NamedDisturbance {
  std::string name;
  Disturbance disturbance;
};
const std::vector<NamedDisturbance>& Disturbances();

}  // namespace juniperway::lab
