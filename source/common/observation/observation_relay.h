// Forwards observations of backends on one control node. The control node
// forwards reports of its daemons both to the other control nodes and to its
// daemons. It forwards digests of other control nodes to its daemons only. The
// control node's ObservationExchange owns the relay. Does no I/O.
//
// Traffic: all observations of one backend within kRelayInterval become one
// entry of some 6 bytes, however many routers report it. A digest has at most
// kMaximumDigestEntries entries, so a daemon receives at most 12 KB/s whatever
// the size of the fleet. Each control node sends a digest once to each of the
// others, so that traffic between regions grows with the number of control
// nodes and failing backends, not with routers. Observations beyond the maximum
// wait for the next digest, oldest first.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

// Interval between two digests. With this interval, the delay of the reporting
// router and the network delays, all routers know of a failure within 0.35 s.
inline constexpr Duration kRelayInterval = milliseconds(100);

// Observations that wait to be sent, merged into one per backend, oldest first.
class ObservationQueue {
 public:
  void Add(const BackendObservation& observation);
  BackendObservations Take(std::size_t maximum);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  std::deque<BackendHash> order_;
  std::unordered_map<BackendHash, BackendObservation> queued_;
};

class ObservationRelay {
 public:
  // Adds a report from a daemon that has its session with this control node.
  void OnReport(const BackendObservations& observations);
  // Adds a digest from another control node.
  void OnDigest(const BackendObservations& observations);

  bool has_queued() const {
    return !for_control_nodes_.empty() || !for_daemons_.empty();
  }
  BackendObservations TakeForControlNodes() {
    return for_control_nodes_.Take(kMaximumDigestEntries);
  }
  BackendObservations TakeForDaemons() {
    return for_daemons_.Take(kMaximumDigestEntries);
  }

 private:
  ObservationQueue for_control_nodes_;
  ObservationQueue for_daemons_;
};

}  // namespace juniperway::observation
