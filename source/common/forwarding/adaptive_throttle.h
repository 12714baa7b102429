// Turns requests of a route away while its back ends cannot keep up. Work that
// is sent on all the same fills their queues, comes late and takes the slots of
// what could still be answered in time. Pure: time is an argument.
//
// The share that is admitted grows steadily and falls with each request that
// back ends turned away (additive increase, multiplicative decrease). How far
// it falls follows from how many requests ended of late: at 200 requests a
// second each one counts little. A router with two a second learns less and
// admits more, 0.85 of what is offered where there is room for 0.4 (unit test).
//
// Use: Admit for each request; then OnEnded for each that was admitted.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::forwarding {

class AdaptiveThrottle {
 public:
  // Growth of the admitted share in a second: from nothing to all in two. At
  // 0.25 (and a fall of 4) routers with 200 requests a second used half of the
  // room that there was (unit.forwarding/adaptive_throttle).
  static constexpr double kGrowth = 0.5;
  // One request that was turned away lowers the share by this, divided by the
  // number of requests that ended of late, and by half at most. While all are
  // admitted the share then falls once more than kGrowth / kFall of them are
  // turned away.
  static constexpr double kFall = 3;
  static constexpr double kLargestFall = 0.5;
  // Something is always tried, to find out that there is room again.
  static constexpr double kSmallestShare = 0.05;
  // What was seen fades to 1 / e in this time.
  static constexpr Duration kMemory = seconds(1);
  // One request that was turned away says nothing, it may have met a back end
  // that was full for a moment: the share falls when there were more within
  // kMemory. Counted with what has faded; two that are 1.4 s apart are too few.
  static constexpr double kFewestTurnedAway = 1.25;

  explicit AdaptiveThrottle(std::uint64_t seed) : random_(seed) {}

  // @return false when the request is to be refused.
  bool Admit(MonotonicTime now);
  // @param turned_away the request failed or was late, and back ends had shed
  //   attempts of it.
  void OnEnded(bool turned_away, MonotonicTime now);

  // Share of requests that is admitted at present.
  double admitted_share() const { return share_; }

 private:
  void Advance(MonotonicTime now);

  std::mt19937_64 random_;
  MonotonicTime advanced_to_{};
  // Admitted requests that ended of late, and those of them that were turned
  // away.
  double ended_ = 0;
  double turned_away_ = 0;
  double share_ = 1;
};

}  // namespace juniperway::forwarding
