// Which of its requests one router may send to the canaries of one service.
// Pure: time and randomness are arguments.
//
// Each request is drawn with the share that the order gives. Over all routers
// that is share x all requests on average, with a standard deviation of at most
// the square root of that, whatever machine is cut off, frozen or restarted:
// nothing depends on how many routers share the requests. A router that counted
// up to a whole request instead would send its first canary after 1 / share
// requests; where a thousand routers see one in 17 s, none would be sent in a
// roll-out of minutes.
//
// A share above the base share is leased: without a leader nobody judges the
// answers, and canaries that turn out bad would get it until one is elected and
// has been told of the answers again.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// How long a router may use a share above the base share, from when it sent the
// heartbeat that the leader answered. Shorter than an election, which begins
// one second after the leader is lost at the earliest.
inline constexpr Duration kShareLease = milliseconds(800);
// Between heartbeats of a router that uses such a share. Two of them may be
// lost or late before the lease ends.
inline constexpr Duration kShareRenewalInterval = milliseconds(300);

class CanaryAllowance {
 public:
  void SetShare(std::uint32_t permille, std::uint32_t base_permille) {
    share_ = permille;
    base_share_ = base_permille;
  }
  // As the order gives it.
  std::uint32_t share() const { return share_; }

  // The leader renewed the share.
  void Renew(MonotonicTime until) {
    renewed_until_ = std::max(renewed_until_, until);
  }

  // The share is above the base share, and nothing renews it.
  bool IsLapsed(MonotonicTime now) const { return ShareAt(now) < share_; }

  // A request to the service is about to be sent for the first time.
  // @param random evenly distributed.
  void OnRequest(std::uint64_t random, MonotonicTime now) {
    drawn_ = random % kWholePermille < ShareAt(now);
  }
  // The request was drawn, and has not been sent yet.
  bool MaySend() const { return drawn_; }
  void OnSent() { drawn_ = false; }

 private:
  std::uint32_t ShareAt(MonotonicTime now) const {
    return now < renewed_until_ ? share_ : std::min(share_, base_share_);
  }

  std::uint32_t share_ = 0;
  std::uint32_t base_share_ = 0;
  MonotonicTime renewed_until_ = MonotonicTime::min();
  bool drawn_ = false;
};

}  // namespace juniperway::rollout
