// Converts consensus messages to and from the records of control.fbs. Pure
// functions.
#pragma once

#include <memory>
#include <optional>

#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

// Returns the record for `message`, including its entries and snapshot.
std::unique_ptr<protocol::ConsensusMessageT> EncodeMessage(
    const raft::Message& message);

// @return std::nullopt when `record` holds an unknown kind of message or entry.
std::optional<raft::Message> DecodeMessage(
    const protocol::ConsensusMessageT& record);

}  // namespace juniperway::control
