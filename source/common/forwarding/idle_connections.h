// IdleConnections estimates the open and unused connections of a router to one
// backend from the times when attempts ended there, because the HTTP client
// manages its connections without reporting them. BackendPool owns one for each
// backend. Callers pass the current time.
#pragma once

#include <vector>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Idle connections of one router to one backend.
class IdleConnections {
 public:
  // @param idle_timeout how long an unused connection stays open.
  explicit IdleConnections(Duration idle_timeout)
      : idle_timeout_(idle_timeout) {}

  // Records that an attempt was sent. An attempt uses an idle connection or
  // opens a new one.
  void OnSent(MonotonicTime now);
  // Records that an attempt ended with a complete answer, which leaves its
  // connection idle.
  void OnAnswered(MonotonicTime now) { idle_since_.push_back(now); }
  // Records that all connections are closed.
  void Clear() { idle_since_.clear(); }

  // Whether at least one idle connection is open.
  bool IsAnyOpen(MonotonicTime now) const {
    return !idle_since_.empty() && now - idle_since_.back() < idle_timeout_;
  }

 private:
  Duration idle_timeout_;
  // Start of the idle time of each connection, the oldest first. Not a
  // std::deque: an empty one takes 0.6 KB, and a router keeps one
  // IdleConnections for each backend.
  std::vector<MonotonicTime> idle_since_;
};

}  // namespace juniperway::forwarding
