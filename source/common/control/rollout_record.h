// Converts rollouts to and from their records in snapshots of the replicated
// state. Times and durations in a record are in microseconds.
#pragma once

#include <string>

#include "common/protocol/command_generated.h"
#include "common/rollout/rollout.h"

namespace juniperway::control {

protocol::RolloutRecordT EncodeRollout(const std::string& service,
                                       const rollout::Rollout& rollout);
rollout::Rollout DecodeRollout(const protocol::RolloutRecordT& record);

}  // namespace juniperway::control
