// Heartbeats of a session to and from their FlatBuffers records.
#pragma once

#include "common/protocol/control_generated.h"
#include "common/session/session_state.h"

namespace juniperway::session {

protocol::HeartbeatT EncodeHeartbeat(const HeartbeatContent& content);
HeartbeatAnswer DecodeHeartbeatAnswer(const protocol::HeartbeatReplyT& reply);

}  // namespace juniperway::session
