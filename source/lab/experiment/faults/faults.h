// The disturbances of the scenarios, each with its begin and its end.
#pragma once

#include "lab/experiment/scenario.h"

namespace juniperway::lab {

// Back ends.
Disturbance Straggler();
Disturbance ReplicaLoss();
Disturbance LyingHealth();
Disturbance ColdStart();
Disturbance LateAnswers();
Disturbance DrainBackends();
// Snapshots.
Disturbance IndexChange();
Disturbance Repartition();
// Daemons.
Disturbance GatewayKilled();
Disturbance PlannedStop();
Disturbance ControlKilled();
Disturbance ControlSilent();
// Network.
Disturbance ZoneCut();
Disturbance RegionCut();

}  // namespace juniperway::lab
