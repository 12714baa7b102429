// The leader's account of one rate limit over the whole fleet: how much of the
// rate is leased to which holder, and the remaining tokens, which the leader
// grants one by one. Holders are routers and pools. A pool is a control node
// that passes tokens on to the routers near it. No I/O: time is an argument.
//
// Tokens of the limit come in at its rate. A share of that rate is leased: each
// holder that has demand gets its share, and uses it without a request to the
// leader while the lease lasts, also while it is partitioned. The rest of the
// rate fills one bucket here. From the bucket, holders get tokens for queued
// requests and for their reserves. With its next report, a holder whose reserve
// is full returns the tokens that do not fit.
//
// Bound. In any window W the fleet uses at most the sum of
//   - the reserves that holders had at the beginning of W,
//   - rate x W, which leases and the bucket bring in together,
//   - the content of the bucket, which is at most its capacity,
//   - the tokens in flight, rate x kMaximumGrantAge x kGrantHops.
// The capacity is the remainder of the tolerance after the other terms, so that
// the sum stays below (rate x W + burst) x (1 + overage) + slack. A grant
// counts from before it is sent until the holder has confirmed a later one, or
// until the lease has expired by the leader's clock, clock drift included.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "common/quota/rate_limit.h"
#include "common/quota/rate_messages.h"

namespace juniperway::quota {

// Holders that an earlier leader may have leased to and that have not reported
// to this leader yet.
struct UnknownHolders {
  // Number of such pools.
  std::size_t pools = 0;
  // Whether any router may be such a holder.
  bool routers = false;

  bool any() const { return pools > 0 || routers; }
};

// The account of one limit. The leader's RateGranter owns one FleetRate for
// each key. Rates are in tokens a second; a request takes one token.
class FleetRate {
 public:
  // Maximum shares of the rate that are leased to all pools and to all routers.
  // The rest is for new holders, in particular under a new leader, which does
  // not know all leases yet.
  static constexpr double kPoolsShare = 0.5;
  static constexpr double kRoutersShare = 0.25;
  // Maximum share that one pool has of the amount for all pools. A new leader
  // assumes no more than this for a pool that has not reported yet. With three
  // control nodes, the minimum that tolerates a crash, each may have a third.
  static constexpr double kOnePoolShare = 1.0 / 3;
  // Leased rate of a router as a multiple of its recent demand.
  static constexpr double kRateMargin = 1.25;
  // A router's reserve is one token plus its demand over this time, for a
  // second request that comes before the reserve is full again.
  static constexpr Duration kReserveTime = milliseconds(500);
  // A router with less demand, in requests a second, has no reserve and no
  // leased rate. The token in its reserve would be idle for more than two
  // seconds. If many routers (89, for example) each receive few requests of a
  // tenant, their idle reserves would leave no token for the other routers.
  static constexpr double kMinimumReserveDemand = 0.5;
  // A pool's reserve is this number of tokens plus its demand over one second:
  // enough for two routers that request tokens at the same moment.
  static constexpr double kPoolBaseReserve = 2;
  // Number of requests, over all routers, that may have taken a token and not
  // been sent yet when the process of their router paused. The routers send
  // these requests after the pause.
  static constexpr double kUnsentRequests = 2;
  // Maximum wait that the leader announces to a router. Limits of less than one
  // token in this time are rare.
  static constexpr Duration kMaximumWait = seconds(5);

  // @param drift maximum clock drift between two machines, as a share.
  FleetRate(const RateLimit& limit, const RateTolerance& tolerance,
            double drift, MonotonicTime now);

  void SetLimit(const RateLimit& limit, MonotonicTime now);

  // Answers the request of the holder `name`.
  // @param number the number of the grant; see RateGrant.
  RateGrant Grant(const std::string& name, const RateRequest& request,
                  std::uint64_t number, const UnknownHolders& unknown,
                  MonotonicTime now);

  // Removes a holder whose process has ended.
  void RemoveHolder(const std::string& name);

  // Returns the rate that the known holders may be using.
  double LeasedRate() const;
  // Returns the maximum number of tokens that the known holders may have in
  // reserve.
  double ReservedTokens() const;
  std::size_t holders() const { return holders_.size(); }

 private:
  // A grant that its holder may still be using.
  struct OutstandingGrant {
    std::uint64_t number = 0;
    double rate = 0;
    double stock = 0;
    MonotonicTime end;
  };
  struct Holder {
    bool is_pool = false;
    // Grants that the holder may be using, the latest last.
    std::deque<OutstandingGrant> outstanding;
    double wanted_rate = 0;
    double wanted_reserve = 0;
    // RateRequest::returned of the last report; nothing before the first one.
    std::optional<double> returned;

    // Both return the maximum over `outstanding`.
    double rate() const;
    double stock() const;
  };

  // Rate and reserve of one holder, or of all holders of a kind.
  struct Held {
    double rate = 0;
    double stock = 0;
  };

  // Adds the tokens that came in until `now`, and drops expired grants.
  void Advance(const UnknownHolders& unknown, MonotonicTime now);
  void Confirm(Holder& holder, const RateRequest& request,
               const UnknownHolders& unknown, MonotonicTime now) const;
  // Returns the rate and reserve that the known holders of a kind may have
  // together. In this and the next functions, `pools` selects the kind: true
  // for pools, false for routers.
  Held KnownHeld(bool pools) const;
  // Returns the rate and reserve that the known holders of a kind want
  // together.
  Held Wanted(bool pools) const;
  // Returns the maximum rate and reserve for all holders of a kind together.
  Held MaximumOf(bool pools) const;
  // Returns the maximum rate and reserve that the unknown holders of a kind may
  // have together.
  Held UnknownHeld(bool pools, const UnknownHolders& unknown) const;
  // Returns the rate and reserve that the leader can grant to `holder` now.
  Held ShareOf(const Holder& holder, const UnknownHolders& unknown) const;
  // Puts the tokens that the holder returned into the bucket.
  void ReclaimReturned(Holder& holder, const RateRequest& request);
  std::uint32_t TakeTokens(std::uint32_t wanted);
  Duration WaitForToken() const;
  static double WantedReserve(const RateRequest& request, double demand);
  // Returns the maximum number of tokens in all reserves together.
  double ReserveLimit() const;
  // Returns the maximum number of tokens in the bucket.
  double Capacity(const UnknownHolders& unknown) const;

  RateLimit limit_;
  RateTolerance tolerance_;
  double drift_;
  // Content of the bucket.
  double tokens_ = 0;
  // Tokens a second that came into the bucket at the last Advance.
  double refill_ = 0;
  MonotonicTime advanced_to_;
  std::map<std::string, Holder> holders_;
};

}  // namespace juniperway::quota
