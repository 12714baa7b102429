// An estimate of the connections to one back end that are open and unused, from
// when attempts ended there: the HTTP client keeps them by itself and does not
// say. Pure: time is an argument.
#pragma once

#include <vector>

#include "common/base/time.h"

namespace juniperway::forwarding {

class WarmConnections {
 public:
  // @param kept how long an unused connection stays open.
  explicit WarmConnections(Duration kept) : kept_(kept) {}

  // An attempt is sent: it takes an unused connection, or opens one.
  void OnSent(MonotonicTime now);
  // An attempt has ended with a whole answer: its connection is unused now.
  void OnAnswered(MonotonicTime now) { unused_since_.push_back(now); }
  // All are gone.
  void Clear() { unused_since_.clear(); }

  bool IsAnyOpen(MonotonicTime now) const {
    return !unused_since_.empty() && now - unused_since_.back() < kept_;
  }

 private:
  Duration kept_;
  // The oldest first. No std::deque: an empty one takes 0.6 KB, and a router
  // keeps one of these for each back end that there is.
  std::vector<MonotonicTime> unused_since_;
};

}  // namespace juniperway::forwarding
