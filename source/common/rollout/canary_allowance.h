// Decides which of its requests one router may send to the canaries of one
// service. The router's BackendPool owns one object per service. Does no I/O:
// time and random numbers are arguments.
//
// The router draws each request independently with the canaries' share. Over
// all routers, the canaries get share x all requests on average, with a
// standard deviation of at most the square root of that number. This
// distribution does not depend on how many routers share the requests, nor on
// which daemons are partitioned, paused or restarted. A router that counted
// requests would send its first canary request only after 1 / share of them; in
// a fleet of a thousand routers that each see one request in 17 s, a rollout of
// minutes would send none.
//
// A router holds a share above the base share only under a lease. Without a
// leader nobody evaluates the answers, so bad canaries would keep the larger
// share until a new leader is elected and has received the reports again.
#pragma once

#include <algorithm>
#include <cstdint>

#include "common/base/time.h"
#include "common/rollout/rollout.h"

namespace juniperway::rollout {

// How long a router may use a share above the base share, counted from the time
// when the router sent the heartbeat that the leader answered. The lease is
// shorter than the time in which the fleet has no leader after a leader crash,
// because an election begins one second after the crash at the earliest.
inline constexpr Duration kShareLease = milliseconds(800);
// Interval between heartbeats of a router that uses a share above the base
// share. A lease spans two further heartbeats, so it survives the loss of one.
inline constexpr Duration kShareRenewalInterval = milliseconds(300);

class CanaryAllowance {
 public:
  void SetShare(std::uint32_t permille, std::uint32_t base_permille) {
    share_ = permille;
    base_share_ = base_permille;
  }
  // Returns the share that the rollout orders, in thousandths.
  std::uint32_t share() const { return share_; }

  // Extends the lease on the share to `until`; has no effect if the lease
  // already ends later.
  void Renew(MonotonicTime until) {
    renewed_until_ = std::max(renewed_until_, until);
  }

  // Whether the ordered share is above the base share and the router has no
  // valid lease on the ordered share.
  bool IsLeaseExpired(MonotonicTime now) const { return ShareAt(now) < share_; }

  // Draws whether a request goes to the canaries. The router calls this
  // function once per request, before the first attempt.
  // @param random a uniformly distributed number.
  void DrawRequest(std::uint64_t random, MonotonicTime now) {
    drawn_ = random % kWholePermille < ShareAt(now);
  }
  // Whether the request was drawn and has not been sent to a canary yet.
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
