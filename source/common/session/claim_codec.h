// Claims as control answers them.
#pragma once

#include "common/base/error.h"
#include "common/protocol/command_generated.h"
#include "common/session/control_session.h"

namespace juniperway::session {

// @return the decision, or the error of the operation; kIo when the answer is
//   not one to a claim.
Result<ClaimReply> DecodeClaim(
    const Result<protocol::OperationResultT>& result);

}  // namespace juniperway::session
