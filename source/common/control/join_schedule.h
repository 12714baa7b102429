// When a control node asks for membership in the control group: while it is not
// a member, and when it is one by its own log but has known no leader for long,
// since a change that it missed may have removed it. Pure; the time is an
// argument.
#pragma once

#include "common/base/time.h"

namespace juniperway::control {

// Owned by the node's JoinClient.
class JoinSchedule {
 public:
  explicit JoinSchedule(MonotonicTime now) : last_leader_seen_(now) {}

  // Notes what the node knows and returns whether a request is due.
  // @param is_member whether this node is in the group's configuration.
  // @param knows_leader whether a leader is known or this node leads.
  bool IsRequestDue(MonotonicTime now, bool is_member, bool knows_leader);
  void OnRequestSent(MonotonicTime now);

 private:
  // Time at which this node was last a member that knows a leader; initially
  // the time at which the schedule was created.
  MonotonicTime last_leader_seen_;
  MonotonicTime next_request_ = MonotonicTime::min();
};

}  // namespace juniperway::control
