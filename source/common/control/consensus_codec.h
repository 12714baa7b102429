// Consensus messages as frames of control.fbs. Pure.
#pragma once

#include <memory>
#include <optional>

#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

std::unique_ptr<protocol::ConsensusMessageT> EncodeMessage(
    const raft::Message& message);

// Nothing when `record` holds a number that is no kind of message or entry.
std::optional<raft::Message> DecodeMessage(
    const protocol::ConsensusMessageT& record);

}  // namespace juniperway::control
