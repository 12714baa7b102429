#include "common/session/claim_codec.h"

namespace juniperway::session {

Result<ClaimReply> DecodeClaim(
    const Result<protocol::OperationResultT>& result) {
  if (!result) {
    return tl::unexpected(result.error());
  }
  if (!result->claim) {
    return MakeError(ErrorCode::kIo, "", "the answer holds no claim");
  }
  ClaimReply reply;
  switch (result->claim->decision) {
    case protocol::ClaimDecisionCode::kGranted:
      reply.decision = ClaimDecision::kGranted;
      break;
    case protocol::ClaimDecisionCode::kAlreadyClaimed:
      reply.decision = ClaimDecision::kAlreadyClaimed;
      break;
    case protocol::ClaimDecisionCode::kExpired:
      reply.decision = ClaimDecision::kExpired;
      break;
  }
  if (result->claim->has_outcome) {
    reply.recorded_outcome =
        static_cast<ExecutionState>(result->claim->outcome);
  }
  return reply;
}

}  // namespace juniperway::session
