// What one router may send to a service beyond the first request: hedges and
// retries. The bound is the fleet's: extra requests in any window stay under
// ratio x requests + slack, and each router keeps to its share of the slack.
// Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/base/time.h"

namespace juniperway::forwarding {

struct ExtraBudgetLimits {
  // Of the whole fleet, for each service.
  double ratio = 0.2;
  double slack = 10;
  Duration window = seconds(10);
  // Routers that share the slack.
  std::size_t routers = 1;
  // Before this a router has no part of the slack: the process before it, which
  // a restart made it forget, may have taken it in the window that runs.
  MonotonicTime slack_from = MonotonicTime::min();
};

class ExtraBudget {
 public:
  // A first request was sent.
  void OnRequest(const ExtraBudgetLimits& limits, MonotonicTime now);

  // @return false when nothing extra may be sent now; else it is counted.
  bool TryTake(const ExtraBudgetLimits& limits, MonotonicTime now);

  // How much of what may be taken in the window is left, 0 to 1.
  double LeftShare(const ExtraBudgetLimits& limits, MonotonicTime now);

 private:
  // The window is kept as this many slices; the oldest one counts in whole, so
  // that the budget is kept over up to 1.1 windows in place of 1.2.
  static constexpr std::size_t kSlices = 22;

  struct Slice {
    std::uint32_t requests = 0;
    std::uint32_t extra = 0;
  };

  // What may be taken in the window, and what was.
  struct Use {
    double allowed = 0;
    double taken = 0;
  };
  Use UseOf(const ExtraBudgetLimits& limits, MonotonicTime now);
  void Roll(const ExtraBudgetLimits& limits, MonotonicTime now);

  std::array<Slice, kSlices> slices_{};
  // Number of the slice that `now` falls into, counted from the clock's zero.
  std::int64_t current_ = 0;
};

}  // namespace juniperway::forwarding
