// A fleet of routers under virtual time, with back ends that end when they run
// certain requests. The decisions are the product's own (RequestRun,
// CrashGuard, CrashJudge, ControlState); this file plays the network, the back
// ends, the control group's delays and the callers. The same seed gives the
// same run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/control/control_state.h"
#include "common/control/crash_attribution.h"
#include "common/forwarding/crash_guard.h"
#include "common/forwarding/request_run.h"

namespace juniperway::sim {

struct CrashSimOptions {
  std::uint64_t seed = 1;
  int routers = 60;
  int shards = 10;
  int replicas = 3;
  // Requests that end their back ends; each comes again and again.
  int fatal_requests = 2;
  Duration fatal_interval = seconds(3);
  double ordinary_per_second = 100;
  Duration length = seconds(25);
  // A back end is back, under a new id, after this.
  Duration restart_time = seconds(3);
  // Longest time from a report to its place in the replicated state, and from
  // there to a router.
  Duration control_delay = milliseconds(400);
  // Planted defect: nothing is reported to control.
  bool reports_lost = false;
};

struct CrashSimResult {
  // Of one fatal request at back ends, later than the users' bound after it
  // ended the third one: the most of any.
  std::size_t late_arrivals = 0;
  std::size_t ended_backends = 0;
  std::size_t ordinary = 0;
  std::size_t ordinary_served = 0;
  // Ordinary requests that the fleet quarantined.
  std::size_t ordinary_quarantined = 0;
};

CrashSimResult RunCrashSim(const CrashSimOptions& options);

}  // namespace juniperway::sim
