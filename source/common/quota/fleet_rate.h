// The leader's account of one limit over the whole fleet: how much of it is
// leased to which holder, and the tokens that are left to hand out one by one.
// Holders are routers, and pools: control machines that hand tokens on to the
// routers near them. Pure: time is an argument.
//
// The tokens of the limit come in at its rate. A part of that rate is leased:
// each holder that has demand gets its share and goes on with it without asking
// while the lease lasts, also when it is cut off. The rest fills one bucket
// here, from which holders get tokens for requests that wait and to fill their
// stocks. What comes to a holder whose stock is full is returned with its next
// report.
//
// Bound. In any window W the fleet uses at most
//   - the stocks that were held at its begin,
//   - rate x W, which leases and the bucket bring in together,
//   - what was in the bucket, its capacity at most,
//   - tokens that were on their way, rate x kLongestGrantAge x kGrantHops.
// The capacity is what the tolerance leaves after the other terms, so that the
// sum stays under (rate x W + burst) x (1 + overage) + slack. What a holder may
// use counts from before a grant is sent until it has confirmed a later one, or
// its lease has ended by this machine's clock with drift.
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

// Holders that an earlier leader may have leased to, and that this one has not
// heard of yet.
struct UnknownHolders {
  std::size_t pools = 0;
  bool routers = false;

  bool any() const { return pools > 0 || routers; }
};

class FleetRate {
 public:
  // Shares of the rate that all pools and all routers are leased at most. The
  // rest is there for those that come new, in particular under a new leader,
  // which does not know yet who holds what.
  static constexpr double kPoolsShare = 0.5;
  static constexpr double kRoutersShare = 0.25;
  // Of what all pools may have, one has this share at most: a new leader that
  // one of them has not reported to takes no more for leased. With three
  // control machines, the fewest that bear a loss, each may have its third.
  static constexpr double kOnePoolShare = 1.0 / 3;
  // A router gets this much more than its demand of late.
  static constexpr double kRateMargin = 1.25;
  // A router's stock is one token and what its demand takes in this time: a
  // second request that comes before the stock is filled again.
  static constexpr Duration kStockTime = milliseconds(500);
  // A router with less demand, requests a second, keeps no stock, and needs no
  // rate: its token would lie idle for more than two seconds, and in a fleet of
  // 89 routers that see each tenant now and then, nobody else would have one.
  static constexpr double kLeastStockDemand = 0.5;
  // A pool keeps these tokens besides what its demand takes in a second: enough
  // for two routers that ask at the same moment.
  static constexpr double kPoolStock = 2;
  // Requests that were let through and not sent yet when a machine froze, over
  // all routers.
  static constexpr double kInFlight = 2;
  // A router that has to wait is never told more: limits of less than one token
  // in this time are rare.
  static constexpr Duration kLongestWait = seconds(5);

  // @param drift of two machines' clocks against each other, as a share.
  FleetRate(const RateLimit& limit, const RateTolerance& tolerance,
            double drift, MonotonicTime now);

  void SetLimit(const RateLimit& limit, MonotonicTime now);

  // @param number of the grant.
  // @param unknown holders.
  RateGrant Grant(const std::string& name, const RateRequest& request,
                  std::uint64_t number, const UnknownHolders& unknown,
                  MonotonicTime now);

  // The holder's process is gone.
  void Forget(const std::string& name);

  // Rate that holders may be using, as far as they are known.
  double LeasedRate() const;
  // Most tokens that they may be keeping.
  double StockedTokens() const;
  std::size_t holders() const { return holders_.size(); }

 private:
  // What one grant promised.
  struct Promise {
    std::uint64_t number = 0;
    double rate = 0;
    double stock = 0;
    MonotonicTime end;
  };
  struct Holder {
    bool is_pool = false;
    // Those that it may be using, the latest last.
    std::deque<Promise> promises;
    double wanted_rate = 0;
    double wanted_stock = 0;
    // As it said last; nothing: it has not yet.
    std::optional<double> returned;

    double rate() const;
    double stock() const;
  };

  // What one kind of holders has, or may have.
  struct Held {
    double rate = 0;
    double stock = 0;
  };

  // Tokens come in, and promises end.
  void Advance(const UnknownHolders& unknown, MonotonicTime now);
  void Confirm(Holder& holder, const RateRequest& request,
               const UnknownHolders& unknown, MonotonicTime now) const;
  // All holders of a kind.
  Held KnownHeld(bool pools) const;
  Held Wanted(bool pools) const;
  // Most that all holders of a kind may have together.
  Held MostOf(bool pools) const;
  // Most that those of a kind may have that are not known.
  Held UnknownHeld(bool pools, const UnknownHolders& unknown) const;
  // What this holder may have now.
  Held ShareOf(const Holder& holder, const UnknownHolders& unknown) const;
  // Tokens that the router came to and did not use go into the bucket.
  void TakeReturned(Holder& holder, const RateRequest& request);
  std::uint32_t TakeTokens(std::uint32_t wanted);
  Duration WaitForToken() const;
  static double WantedStock(const RateRequest& request, double demand);
  // What all stocks together may hold.
  double StockLimit() const;
  double Capacity(const UnknownHolders& unknown) const;

  RateLimit limit_;
  RateTolerance tolerance_;
  double drift_;
  double tokens_ = 0;
  // Tokens a second that came into the bucket when it was last looked at.
  double refill_ = 0;
  MonotonicTime advanced_to_;
  std::map<std::string, Holder> holders_;
};

}  // namespace juniperway::quota
