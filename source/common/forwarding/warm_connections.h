// IdleConnections estimates the open and unused connections of a router to one
// backend from the times when attempts ended there, because the HTTP client
// manages its connections without reporting them. BackendPool owns one for each
// backend. Callers pass the current time.
#pragma once

#include <vector>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Idle connections of one router to one backend.
class WarmConnections {
 public:
  // @param idle_timeout how long an unused connection stays open.
  explicit WarmConnections(Duration kept) : kept_(kept) {}

  // Records that an attempt was sent: it uses an idle connection or opens a new
  // one.
  void OnSent(MonotonicTime now);
  // Records that an attempt ended with a complete answer: its connection is
  // idle now.
  void OnAnswered(MonotonicTime now) { unused_since_.push_back(now); }
  // Records that all connections are closed.
  void Clear() { unused_since_.clear(); }

  bool IsAnyOpen(MonotonicTime now) const {
    return !unused_since_.empty() && now - unused_since_.back() < kept_;
  }

 private:
  Duration kept_;
  // Start of the idle time of each connection, the oldest first. Not a
  // std::deque: an empty one takes 0.6 KB, and a router keeps one
  // IdleConnections for each backend.
  std::vector<MonotonicTime> unused_since_;
};

}  // namespace juniperway::forwarding
