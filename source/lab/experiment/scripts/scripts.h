// Scenarios that are more than a disturbance under steady load.
#pragma once

#include <cstdint>

#include "lab/experiment/scenario.h"

namespace juniperway::lab {

// Runs the disturbance for `duration`, ends it, and waits for the recovery.
ScenarioStep DuringDisturbance(const Disturbance& disturbance,
                               Duration duration);

// Two disturbances, drawn by the seed, overlapping.
Result<void> RunTwoFaults(ExperimentRun& run);

// Operators race each other at equal versions.
Result<void> RunVersionRaces(ExperimentRun& run);
// Operators resend changes whose answers were lost.
Result<void> RunResends(ExperimentRun& run);
// Hundreds of changes, then every daemon is killed and started again.
Result<void> RunRestartAfterManyChanges(ExperimentRun& run);
// A control machine is replaced; once it is repaired, another one goes.
Result<void> RunSecondLossAfterRepair(ExperimentRun& run);

// Twice what a service's back ends can do.
Result<void> RunOverload(ExperimentRun& run);

// A straggler, a drained back end and an index change, one after another and
// together.
Result<void> RunDemo(ExperimentRun& run);

}  // namespace juniperway::lab
