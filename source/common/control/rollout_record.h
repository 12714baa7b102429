// Roll-outs to and from their records in snapshots.
#pragma once

#include <string>

#include "common/protocol/command_generated.h"
#include "common/rollout/rollout.h"

namespace juniperway::control {

protocol::RolloutRecordT EncodeRollout(const std::string& service,
                                       const rollout::Rollout& rollout);
rollout::Rollout DecodeRollout(const protocol::RolloutRecordT& record);

}  // namespace juniperway::control
