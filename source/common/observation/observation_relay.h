// How one control machine passes observations of back ends on: what its daemons
// tell goes to the other control machines and to its daemons, what other
// machines tell goes to its daemons only. Pure.
//
// Bytes. What is new of one back end within kRelayInterval is one entry of some
// 6 bytes, however many routers tell it. A digest has at most kMostEntries: to
// a daemon at most 12 KB/s, whatever the fleet's size. Between machines it goes
// once to each of the others, so that bytes between regions grow with control
// machines and back ends that fail, not with routers. What does not fit waits
// for the next digest, oldest first.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

// Between two digests. With the router's own delay and the ways between, all
// routers know of a failure within 0.35 s.
inline constexpr Duration kRelayInterval = milliseconds(100);

// Observations that wait to be sent, one of each back end, oldest first.
class ObservationQueue {
 public:
  void Add(const BackendObservation& observation);
  BackendObservations Take(std::size_t most);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  std::deque<BackendHash> order_;
  std::unordered_map<BackendHash, BackendObservation> waiting_;
};

class ObservationRelay {
 public:
  // From a daemon with a session here.
  void OnReport(const BackendObservations& observations);
  // From another control machine.
  void OnDigest(const BackendObservations& observations);

  bool has_news() const {
    return !for_machines_.empty() || !for_daemons_.empty();
  }
  BackendObservations TakeForMachines() {
    return for_machines_.Take(kMostEntries);
  }
  BackendObservations TakeForDaemons() {
    return for_daemons_.Take(kMostEntries);
  }

 private:
  ObservationQueue for_machines_;
  ObservationQueue for_daemons_;
};

}  // namespace juniperway::observation
