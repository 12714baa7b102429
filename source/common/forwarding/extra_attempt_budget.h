// ExtraAttemptBudget bounds the extra attempts (hedges and retries) that one
// router sends to a service. The bound holds for the fleet: in any window,
// extra attempts stay below ratio x requests + slack, and each router uses at
// most its share of the slack. BackendPool owns one budget for each service.
// Callers pass the current time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Settings of an ExtraAttemptBudget.
struct ExtraAttemptLimits {
  // Limits of the whole fleet for each service: extra attempts per request, and
  // extra attempts per window that need no request.
  double ratio = 0.2;
  double slack = 10;
  // The bound holds for any time span of this length.
  Duration window = seconds(10);
  // Number of routers that share the slack.
  std::size_t routers = 1;
  // Before this time the router has no share of the slack. The process that ran
  // before a restart may have used the share in the current window.
  MonotonicTime slack_from = MonotonicTime::min();
};

// Counts requests and extra attempts of one router at one service.
class ExtraAttemptBudget {
 public:
  // Counts a request to the service, before its first attempt.
  void OnRequest(const ExtraAttemptLimits& limits, MonotonicTime now);

  // @return false when no extra attempt may be sent now; otherwise the function
  //   counts one and returns true.
  bool TryTakeAttempt(const ExtraAttemptLimits& limits, MonotonicTime now);

  // Returns the remaining share of the extra attempts that are allowed in the
  // window, 0 to 1.
  double RemainingShare(const ExtraAttemptLimits& limits, MonotonicTime now);

 private:
  // The budget keeps the counts of a window in this many slices. The oldest
  // slice counts completely, although part of it may be older than the window,
  // so the budget covers up to 1.1 windows.
  static constexpr std::size_t kSlices = 22;

  struct Slice {
    std::uint32_t requests = 0;
    std::uint32_t extra_attempts = 0;
  };

  // Numbers of allowed and of sent extra attempts in the window.
  struct Usage {
    double allowed = 0;
    double taken = 0;
  };
  Usage UsageOf(const ExtraAttemptLimits& limits, MonotonicTime now);
  // Clears the slices that have left the window.
  void AdvanceTo(const ExtraAttemptLimits& limits, MonotonicTime now);

  std::array<Slice, kSlices> slices_{};
  // Index of the slice that contains the current time, counted from time zero
  // of the clock.
  std::int64_t current_ = 0;
};

}  // namespace juniperway::forwarding
