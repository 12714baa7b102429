// Scenarios made of disturbances.
#include <algorithm>

#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/scripts/scripts.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr Duration kBefore = seconds(1);
constexpr Duration kAfter = seconds(2);
constexpr Duration kBetweenTwoFaults = seconds(2);
constexpr Duration kBothFaults = seconds(6);

}  // namespace

ScenarioStep DuringDisturbance(const Disturbance& disturbance,
                               Duration duration) {
  return [disturbance, duration](ExperimentRun& run) {
    run.RunFor(kBefore);
    Result<void> done = disturbance.begin(run);
    if (done) {
      run.RunFor(duration);
      done = disturbance.end(run);
    }
    if (done) {
      run.RunFor(kAfter);
      done = AwaitRecovery(run);
    }
    return done;
  };
}

Result<void> RunTwoFaults(ExperimentRun& run) {
  std::vector<NamedDisturbance> choices = Disturbances();
  std::shuffle(choices.begin(), choices.end(), run.random());
  const NamedDisturbance& first = choices[0];
  const NamedDisturbance& second = choices[1];
  run.Describe("faults", first.name + " and " + second.name);
  run.RunFor(kBefore);
  Result<void> done = first.disturbance.begin(run);
  if (done) {
    run.RunFor(kBetweenTwoFaults);
    done = second.disturbance.begin(run);
  }
  if (done) {
    run.RunFor(kBothFaults);
    done = first.disturbance.end(run);
  }
  if (done) {
    run.RunFor(kBetweenTwoFaults);
    done = second.disturbance.end(run);
  }
  run.RunFor(kAfter);
  return done ? AwaitRecovery(run) : done;
}

Result<void> RunDemo(ExperimentRun& run) {
  const Disturbance straggler = Straggler();
  const Disturbance drain = DrainBackends();
  const Disturbance index_change = IndexChange();
  constexpr Duration kPhase = seconds(6);
  run.RunFor(kPhase);
  Result<void> done = straggler.begin(run);
  run.RunFor(kPhase);
  if (done) {
    done = drain.begin(run);
    run.RunFor(kPhase);
  }
  if (done) {
    done = index_change.begin(run);
    run.RunFor(kPhase);
  }
  if (done) {
    done = index_change.end(run);
  }
  if (done) {
    done = drain.end(run);
  }
  if (done) {
    done = straggler.end(run);
    run.RunFor(kPhase);
  }
  return done ? AwaitRecovery(run) : done;
}

}  // namespace juniperway::lab
