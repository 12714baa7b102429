// Settings of the control simulation, and the defects that can be planted.
#pragma once

#include <cstdint>
#include <set>

#include "common/base/time.h"
#include "sim/control/process.h"

namespace juniperway::sim {

// Mechanisms that can be taken away, to show that the checker finds what
// breaks.
enum class ControlDefect {
  kLosesSyncedTail,           // a restarted machine finds fewer entries
  kGrantsWithoutLeaderLease,  // a leader that was cut off goes on granting
  kForgetsRevision,           // a restarted daemon forgets the one it had
  kUsesBeforeReleased,        // a new owner does not wait for the old one
  kReleasesWhileInUse,        // a gateway lets go before its requests end
  kIgnoresLeaseEnd,           // a gateway goes on after its lease
  kReusesClaimant,            // a restarted daemon claims under its old name
  kServesWithFullDisk,        // a suspended machine forwards heartbeats
  kGrantsToOutsiders,         // a leader grants through machines it removed
  kAwaitsNoUpdates,           // a daemon stays where it gets no updates
};

struct ControlSimOptions {
  std::uint64_t seed = 0;
  int machines = 3;  // that vote at the start
  // With learners, the group replaces machines that it loses, and disks can be
  // full for a while.
  int learners = 0;
  int daemons = 4;
  int zones = 2;
  int operators = 3;
  int backends = 4;  // each in one of the zones
  // Operators change slots as well as drains.
  bool change_slots = true;
  NetworkOptions network;
  // Machines' and daemons' clocks run at rates within 1 ± half of this.
  double clock_drift = 0.008;
  // How long faults go on, and the mean time between two of them.
  Duration duration = seconds(20);
  Duration fault_interval = milliseconds(500);
  // Timing: that of the product, with every duration halved.
  Duration lease = seconds(2);
  Duration lease_poll = milliseconds(10);
  Duration raft_heartbeat = milliseconds(100);
  Duration raft_election_timeout = milliseconds(500);
  // How long a voter must be silent before a learner replaces it, and a learner
  // before it is removed.
  Duration voter_replacement_delay = milliseconds(500);
  Duration learner_removal_delay = seconds(3);
  std::set<ControlDefect> defects;

  bool Has(ControlDefect defect) const { return defects.contains(defect); }
};

}  // namespace juniperway::sim
