// Leased rates to and from their FlatBuffers records in heartbeats.
#pragma once

#include <memory>
#include <vector>

#include "common/protocol/control_generated.h"
#include "common/quota/rate_messages.h"

namespace juniperway::session {

void EncodeRateReport(const quota::RateReport& report,
                      protocol::HeartbeatT& heartbeat);
quota::RateReport DecodeRateReport(const protocol::HeartbeatT& heartbeat);

using RateGrantRecords =
    std::vector<std::unique_ptr<protocol::RateGrantRecordT>>;

RateGrantRecords EncodeRateGrants(const std::vector<quota::RateGrant>& grants);
std::vector<quota::RateGrant> DecodeRateGrants(const RateGrantRecords& records);

}  // namespace juniperway::session
