// AdaptiveThrottle refuses requests of a route while its backends are
// overloaded. Requests that are sent nevertheless fill the queues of the
// backends, end late and take slots from requests that could still be answered
// in time. The router owns one for each route. Callers pass the current time.
//
// The admitted share of requests grows steadily and falls with each request
// that backends shed (additive increase, multiplicative decrease). The decrease
// is divided by the number of requests that ended recently: at 200 requests per
// second, each shed request has little effect. A router with two requests per
// second has less information and admits more: 0.85 of the offered requests
// when the backends have capacity for 0.4 of them.
//
// Call Admit for each request, then OnEnded for each admitted one.
#pragma once

#include <cstdint>
#include <random>

#include "common/base/time.h"

namespace juniperway::forwarding {

// Admits a share of the requests of one route.
class AdaptiveThrottle {
 public:
  // Growth of the admitted share per second: from 0 to 1 in two seconds. With
  // 0.25 and a decrease factor of 4, routers with 200 requests per second use
  // only half of the capacity.
  static constexpr double kGrowthPerSecond = 0.5;
  // Each shed request lowers the admitted share by this factor, divided by the
  // number of requests that ended recently, and by half at most. While all
  // requests are admitted, the share falls as soon as more than
  // kGrowthPerSecond / kDecreaseFactor of them are shed.
  static constexpr double kDecreaseFactor = 3;
  static constexpr double kMaximumDecrease = 0.5;
  // The throttle always admits some requests, to detect when the backends have
  // capacity again.
  static constexpr double kMinimumShare = 0.05;
  // Time constant of the exponential decay of the counts.
  static constexpr Duration kDecayTime = seconds(1);
  // Minimum decayed number of shed requests before the share falls. A single
  // shed request may have met a backend that was full for a moment. Two shed
  // requests that are 1.4 s apart stay below the minimum.
  static constexpr double kMinimumShedRequests = 1.25;

  explicit AdaptiveThrottle(std::uint64_t seed) : random_(seed) {}

  // @return false when the caller should refuse the request.
  bool Admit(MonotonicTime now);
  // Records the end of an admitted request.
  // @param shed whether the request failed or was late after backends had shed
  //   attempts of it.
  void OnEnded(bool shed, MonotonicTime now);

  // Returns the share of requests that the throttle currently admits, 0 to 1.
  double admitted_share() const { return share_; }

 private:
  // Decays the counts and raises the admitted share for the time that has
  // passed until `now`.
  void Advance(MonotonicTime now);

  std::mt19937_64 random_;
  MonotonicTime advanced_to_{};
  // Decayed numbers of the admitted requests that ended, and of those among
  // them that backends shed.
  double ended_ = 0;
  double shed_ = 0;
  double share_ = 1;
};

}  // namespace juniperway::forwarding
