#include "common/control/join_schedule.h"

namespace juniperway::control {
namespace {

constexpr Duration kRequestInterval = milliseconds(300);
// Longer than an ordinary election takes.
constexpr Duration kLeaderlessTimeout = seconds(3);

}  // namespace

bool JoinSchedule::IsRequestDue(MonotonicTime now, bool is_member,
                                bool knows_leader) {
  if (is_member && knows_leader) {
    last_leader_seen_ = now;
    return false;
  }
  const bool awaits_election =
      is_member && now - last_leader_seen_ < kLeaderlessTimeout;
  return !awaits_election && now >= next_request_;
}

void JoinSchedule::OnRequestSent(MonotonicTime now) {
  next_request_ = now + kRequestInterval;
}

}  // namespace juniperway::control
