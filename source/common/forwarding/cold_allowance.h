// ColdAllowance bounds the requests that one router sends to a cold backend, so
// that all routers together stay below the rate that the backend accepts.
// BackendPool owns one for each backend. Callers pass the current time.
//
// The rate is mostly smaller than the number of routers, so each router's even
// share would be a fraction of a request. Rendezvous hashing therefore selects
// for each backend as many routers as the rate has whole requests, and each of
// them may send its share of the rate. This needs no messages and changes few
// selections when a router joins or leaves. Routers whose views differ for a
// moment select different sets; the backend must accept enough above its rate
// to cover that.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Bound of the requests that one router may send to one cold backend.
struct ColdShare {
  // Maximum number of requests per window. 0 when this router may send none.
  std::size_t requests = 0;
  // Length of the sliding window that bounds the requests.
  Duration window{};

  bool operator==(const ColdShare&) const = default;
};

// Returns the share that `router` has of a cold backend's requests.
// @param routers names of all routers.
// @param backend id of the cold backend.
// @param rate requests per second that the backend accepts from all routers,
//   above 0.
ColdShare ColdShareOf(const std::string& router,
                      const std::vector<std::string>& routers,
                      const std::string& backend, double rate);

// Counts the requests that this router sent to one cold backend.
class ColdAllowance {
 public:
  // Whether the share allows one more request now. Call OnSent for each request
  // that is sent.
  bool MaySend(const ColdShare& share, MonotonicTime now) const;
  void OnSent(const ColdShare& share, MonotonicTime now);

 private:
  // Times of the requests within the last window. Not a std::deque: an empty
  // one takes 0.6 KB, and a router keeps one ColdAllowance for each backend.
  std::vector<MonotonicTime> sent_;
};

}  // namespace juniperway::forwarding
