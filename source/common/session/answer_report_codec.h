// Reports on canaries to and from their records in heartbeats.
#pragma once

#include <vector>

#include "common/protocol/control_generated.h"
#include "common/rollout/answer_counts.h"

namespace juniperway::session {

void EncodeAnswerReports(const std::vector<rollout::AnswerReport>& reports,
                         protocol::HeartbeatT& heartbeat);
// Steps of latency beyond those that are known are dropped.
std::vector<rollout::AnswerReport> DecodeAnswerReports(
    const protocol::HeartbeatT& heartbeat);

}  // namespace juniperway::session
