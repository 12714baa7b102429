// How many requests one router may send to a cold back end, so that all routers
// together stay under what the back end takes. Pure: time is an argument.
//
// The rate is mostly smaller than the number of routers, so an even share would
// be a fraction of a request. Instead as many routers as the rate has whole
// requests are drawn for each back end by rendezvous hashing, which needs no
// messages and moves few draws when a router comes or goes; each of them may
// send its share of the rate. Routers whose views differ for a moment draw
// different sets: what the back end takes above its rate has to cover that.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::forwarding {

// What one router may send to one cold back end.
struct ColdShare {
  // 0: this router sends nothing.
  std::size_t requests = 0;
  // In any span of this length.
  Duration window{};

  bool operator==(const ColdShare&) const = default;
};

// @param rate requests a second that the back end takes from all routers,
//   above 0.
// @param routers names of all routers.
ColdShare ColdShareOf(const std::string& router,
                      const std::vector<std::string>& routers,
                      const std::string& backend, double rate);

// Counts what was sent to one cold back end.
class ColdAllowance {
 public:
  bool MaySend(const ColdShare& share, MonotonicTime now) const;
  void OnSent(const ColdShare& share, MonotonicTime now);

 private:
  // Within the last window. No std::deque: an empty one takes 0.6 KB, and a
  // router keeps one of these for each back end that there is.
  std::vector<MonotonicTime> sent_;
};

}  // namespace juniperway::forwarding
