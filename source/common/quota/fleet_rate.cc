#include "common/quota/fleet_rate.h"

#include <algorithm>
#include <cmath>

namespace juniperway::quota {
FleetRate::FleetRate(const RateLimit& limit, const RateTolerance& tolerance,
                     double drift, MonotonicTime now)
    : limit_(limit), tolerance_(tolerance), drift_(drift), advanced_to_(now) {}

double FleetRate::Holder::rate() const {
  double most = 0;
  for (const Promise& promise : promises) {
    most = std::max(most, promise.rate);
  }
  return most;
}

double FleetRate::Holder::stock() const {
  double most = 0;
  for (const Promise& promise : promises) {
    most = std::max(most, promise.stock);
  }
  return most;
}

FleetRate::Held FleetRate::KnownHeld(bool pools) const {
  Held held;
  for (const auto& [name, holder] : holders_) {
    if (holder.is_pool == pools) {
      held.rate += holder.rate();
      held.stock += holder.stock();
    }
  }
  return held;
}

FleetRate::Held FleetRate::Wanted(bool pools) const {
  Held wanted;
  for (const auto& [name, holder] : holders_) {
    if (holder.is_pool == pools) {
      wanted.rate += holder.wanted_rate;
      wanted.stock += holder.wanted_stock;
    }
  }
  return wanted;
}

FleetRate::Held FleetRate::MostOf(bool pools) const {
  const double rate_share = pools ? kPoolsShare : kRoutersShare;
  const double stock_share = rate_share / (kPoolsShare + kRoutersShare);
  return {.rate = rate_share * limit_.per_second,
          .stock = stock_share * StockLimit()};
}

FleetRate::Held FleetRate::UnknownHeld(bool pools,
                                       const UnknownHolders& unknown) const {
  const Held most = MostOf(pools);
  const Held known = KnownHeld(pools);
  const double share =
      pools ? std::min(1.0, static_cast<double>(unknown.pools) * kOnePoolShare)
            : (unknown.routers ? 1.0 : 0.0);
  return {
      .rate = std::clamp(most.rate - known.rate, 0.0, share * most.rate),
      .stock = std::clamp(most.stock - known.stock, 0.0, share * most.stock)};
}

double FleetRate::LeasedRate() const {
  return KnownHeld(true).rate + KnownHeld(false).rate;
}

double FleetRate::StockedTokens() const {
  return KnownHeld(true).stock + KnownHeld(false).stock;
}

double FleetRate::StockLimit() const {
  const double room =
      tolerance_.overage *
          (limit_.per_second * ToSeconds(tolerance_.window) + limit_.burst) +
      tolerance_.slack -
      limit_.per_second * ToSeconds(kLongestGrantAge) * kGrantHops - kInFlight;
  return std::max(0.0, room);
}

double FleetRate::Capacity(const UnknownHolders& unknown) const {
  const double stocked = StockedTokens() + UnknownHeld(true, unknown).stock +
                         UnknownHeld(false, unknown).stock;
  // Never under one, else no token would ever be whole.
  return std::max(1.0, limit_.burst + std::max(0.0, StockLimit() - stocked));
}

void FleetRate::SetLimit(const RateLimit& limit, MonotonicTime now) {
  if (limit != limit_) {
    Advance({}, now);
    limit_ = limit;
  }
}

void FleetRate::Forget(const std::string& name) { holders_.erase(name); }

void FleetRate::Advance(const UnknownHolders& unknown, MonotonicTime now) {
  const double leased = LeasedRate() + UnknownHeld(true, unknown).rate +
                        UnknownHeld(false, unknown).rate;
  refill_ = std::max(0.0, limit_.per_second - leased);
  if (now > advanced_to_) {
    tokens_ += refill_ * ToSeconds(now - advanced_to_);
    advanced_to_ = now;
  }
  tokens_ = std::min(tokens_, Capacity(unknown));
  for (auto& [name, holder] : holders_) {
    std::erase_if(holder.promises,
                  [now](const Promise& promise) { return promise.end <= now; });
  }
  std::erase_if(holders_, [](const auto& entry) {
    return entry.second.promises.empty();
  });
}

void FleetRate::Confirm(Holder& holder, const RateRequest& request,
                        const UnknownHolders& unknown,
                        MonotonicTime now) const {
  const bool known =
      std::ranges::any_of(holder.promises, [&](const Promise& promise) {
        return promise.number == request.held_grant;
      });
  if (known) {
    std::erase_if(holder.promises, [&](const Promise& promise) {
      return promise.number < request.held_grant;
    });
  } else if (unknown.any() && request.held_left > Duration(0)) {
    const double left = ToSeconds(request.held_left) * (1 + drift_);
    holder.promises.push_front({.number = request.held_grant,
                                .rate = request.held_rate,
                                .stock = request.held_stock,
                                .end = now + FromSeconds(left)});
  }
}

void FleetRate::TakeReturned(Holder& holder, const RateRequest& request) {
  if (holder.returned && request.returned > *holder.returned) {
    tokens_ += request.returned - *holder.returned;
  }
  holder.returned = request.returned;
}

FleetRate::Held FleetRate::ShareOf(const Holder& holder,
                                   const UnknownHolders& unknown) const {
  const Held most = MostOf(holder.is_pool);
  const Held known = KnownHeld(holder.is_pool);
  const Held others = UnknownHeld(holder.is_pool, unknown);
  const Held wanted = Wanted(holder.is_pool);
  const Held own = {.rate = holder.rate(), .stock = holder.stock()};
  const double one = holder.is_pool ? kOnePoolShare : 1;

  Held share;
  share.stock =
      wanted.stock > most.stock
          ? std::max(1.0, holder.wanted_stock * most.stock / wanted.stock)
          : holder.wanted_stock;
  const double free_stock =
      std::max(own.stock, most.stock - others.stock - known.stock + own.stock);
  share.stock = std::min({share.stock, one * most.stock, free_stock});
  if (share.stock < 1) {
    // Less than one token is never used, and what comes in then is lost.
    return {};
  }
  share.rate = wanted.rate > most.rate
                   ? holder.wanted_rate * most.rate / wanted.rate
                   : holder.wanted_rate;
  const double free_rate =
      std::max(own.rate, most.rate - others.rate - known.rate + own.rate);
  share.rate = std::min({share.rate, one * most.rate, free_rate});
  return share;
}

std::uint32_t FleetRate::TakeTokens(std::uint32_t wanted) {
  const double whole = std::floor(std::max(0.0, tokens_));
  const auto taken =
      static_cast<std::uint32_t>(std::min(static_cast<double>(wanted), whole));
  tokens_ -= taken;
  return taken;
}

double FleetRate::WantedStock(const RateRequest& request, double demand) {
  if (request.is_pool) {
    return kPoolStock + demand;
  }
  return demand < kLeastStockDemand ? 0 : 1 + demand * ToSeconds(kStockTime);
}

Duration FleetRate::WaitForToken() const {
  const double missing = std::max(0.0, 1 - tokens_);
  const double wait = refill_ > 0 ? missing / refill_ : ToSeconds(kLongestWait);
  return std::min(kLongestWait, FromSeconds(wait));
}

RateGrant FleetRate::Grant(const std::string& name, const RateRequest& request,
                           std::uint64_t number, const UnknownHolders& unknown,
                           MonotonicTime now) {
  Advance(unknown, now);
  Holder& holder = holders_[name];
  holder.is_pool = request.is_pool;
  Confirm(holder, request, unknown, now);
  TakeReturned(holder, request);
  const double demand = std::max(0.0, request.demand);
  holder.wanted_stock = WantedStock(request, demand);
  holder.wanted_rate = holder.wanted_stock > 0 ? kRateMargin * demand : 0;

  const Held share = ShareOf(holder, unknown);
  RateGrant grant;
  grant.key = request.key;
  grant.number = number;
  grant.rate = share.rate;
  grant.stock = share.stock;
  grant.lease = kRateLease;
  const Duration here = FromSeconds(ToSeconds(kRateLease) * (1 + drift_));
  holder.promises.push_back({.number = number,
                             .rate = grant.rate,
                             .stock = grant.stock,
                             .end = now + here});
  // The stocks have grown, perhaps: what is left is smaller.
  tokens_ = std::min(tokens_, Capacity(unknown));

  grant.tokens = TakeTokens(request.waiting);
  if (grant.tokens < request.waiting) {
    grant.wait = WaitForToken();
    return grant;
  }
  // Half of what is left stays for requests that wait elsewhere.
  const auto room = std::min(static_cast<double>(request.room), grant.stock);
  grant.tokens += TakeTokens(
      static_cast<std::uint32_t>(std::min(room, std::max(0.0, tokens_) / 2)));
  return grant;
}

}  // namespace juniperway::quota
