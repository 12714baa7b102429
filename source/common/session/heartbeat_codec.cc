#include "common/session/heartbeat_codec.h"

namespace juniperway::session {

protocol::HeartbeatT EncodeHeartbeat(const HeartbeatContent& content) {
  protocol::HeartbeatT heartbeat;
  heartbeat.sequence = content.sequence;
  heartbeat.confirmed_revision = content.confirmed;
  heartbeat.released_revision = content.released;
  heartbeat.term = content.term;
  heartbeat.holds_lease = content.holds_lease;
  heartbeat.in_force_revision = content.in_force;
  heartbeat.zone_released_revision = content.zone_released;
  return heartbeat;
}

HeartbeatAnswer DecodeHeartbeatAnswer(const protocol::HeartbeatReplyT& reply) {
  HeartbeatAnswer answer;
  answer.sequence = reply.sequence;
  answer.granted = reply.outcome == protocol::HeartbeatOutcome::kGranted;
  answer.new_term = reply.outcome == protocol::HeartbeatOutcome::kNewTerm;
  answer.lease = Duration(reply.granted_us);
  answer.term = reply.term;
  answer.in_force = reply.in_force_revision;
  answer.zone_released = reply.zone_released_revision;
  answer.leader_revision = reply.leader_revision;
  return answer;
}

}  // namespace juniperway::session
