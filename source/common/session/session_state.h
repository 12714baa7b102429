// Decisions of the daemon's side of a control session: when to connect where,
// when to send a heartbeat, how long the lease lasts, and which revisions may
// be taken. Pure: time and randomness are arguments, actions are values.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "common/base/time.h"
#include "common/resources/resource.h"

namespace juniperway::session {

struct SessionTiming {
  Duration heartbeat_interval = seconds(1);
  // While connected without a lease, heartbeats go out faster.
  Duration unleased_heartbeat_interval = milliseconds(200);
  // A control machine that leaves a heartbeat unanswered for this long is
  // left. Must be well under the lease.
  Duration silence_timeout = milliseconds(1500);
  // A control machine that answers but grants nothing for this long is left.
  Duration ungranted_timeout = milliseconds(2500);
  Duration connect_timeout = seconds(1);
  // Reconnect delays are drawn from [0, min(maximum, minimum x 2^attempts)].
  Duration reconnect_minimum = milliseconds(50);
  Duration reconnect_maximum = seconds(2);
};

}  // namespace juniperway::session
