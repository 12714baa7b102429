#include "common/quota/fleet_rate.h"

#include <algorithm>
#include <cmath>

namespace juniperway::quota {
FleetRate::FleetRate(const RateLimit& limit, const RateTolerance& tolerance,
                     double drift, MonotonicTime now)
    : limit_(limit), tolerance_(tolerance), drift_(drift), advanced_to_(now) {}

double FleetRate::Holder::rate() const {
  double maximum = 0;
  for (const OutstandingGrant& grant_in_use : outstanding) {
    maximum = std::max(maximum, grant_in_use.rate);
  }
  return maximum;
}

double FleetRate::Holder::stock() const {
  double maximum = 0;
  for (const OutstandingGrant& grant_in_use : outstanding) {
    maximum = std::max(maximum, grant_in_use.stock);
  }
  return maximum;
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
      wanted.stock += holder.wanted_reserve;
    }
  }
  return wanted;
}

FleetRate::Held FleetRate::MaximumOf(bool pools) const {
  const double rate_share = pools ? kPoolsShare : kRoutersShare;
  const double stock_share = rate_share / (kPoolsShare + kRoutersShare);
  return {.rate = rate_share * limit_.per_second,
          .stock = stock_share * ReserveLimit()};
}

FleetRate::Held FleetRate::UnknownHeld(bool pools,
                                       const UnknownHolders& unknown) const {
  const Held maximum = MaximumOf(pools);
  const Held known = KnownHeld(pools);
  const double share =
      pools ? std::min(1.0, static_cast<double>(unknown.pools) * kOnePoolShare)
            : (unknown.routers ? 1.0 : 0.0);
  return {
      .rate = std::clamp(maximum.rate - known.rate, 0.0, share * maximum.rate),
      .stock =
          std::clamp(maximum.stock - known.stock, 0.0, share * maximum.stock)};
}

double FleetRate::LeasedRate() const {
  return KnownHeld(true).rate + KnownHeld(false).rate;
}

double FleetRate::ReservedTokens() const {
  return KnownHeld(true).stock + KnownHeld(false).stock;
}

double FleetRate::ReserveLimit() const {
  const double room =
      tolerance_.overage *
          (limit_.per_second * ToSeconds(tolerance_.window) + limit_.burst) +
      tolerance_.slack -
      limit_.per_second * ToSeconds(kMaximumGrantAge) * kGrantHops -
      kUnsentRequests;
  return std::max(0.0, room);
}

double FleetRate::Capacity(const UnknownHolders& unknown) const {
  const double stocked = ReservedTokens() + UnknownHeld(true, unknown).stock +
                         UnknownHeld(false, unknown).stock;
  // With a capacity below one, the bucket would never hold a whole
  // token.
  return std::max(1.0, limit_.burst + std::max(0.0, ReserveLimit() - stocked));
}

void FleetRate::SetLimit(const RateLimit& limit, MonotonicTime now) {
  if (limit != limit_) {
    Advance({}, now);
    limit_ = limit;
  }
}

void FleetRate::RemoveHolder(const std::string& name) { holders_.erase(name); }

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
    std::erase_if(holder.outstanding,
                  [now](const OutstandingGrant& grant_in_use) {
                    return grant_in_use.end <= now;
                  });
  }
  std::erase_if(holders_, [](const auto& entry) {
    return entry.second.outstanding.empty();
  });
}

void FleetRate::Confirm(Holder& holder, const RateRequest& request,
                        const UnknownHolders& unknown,
                        MonotonicTime now) const {
  const bool known = std::ranges::any_of(
      holder.outstanding, [&](const OutstandingGrant& grant_in_use) {
        return grant_in_use.number == request.held_grant;
      });
  if (known) {
    std::erase_if(holder.outstanding,
                  [&](const OutstandingGrant& grant_in_use) {
                    return grant_in_use.number < request.held_grant;
                  });
  } else if (unknown.any() && request.held_remaining > Duration(0)) {
    const double remaining_time =
        ToSeconds(request.held_remaining) * (1 + drift_);
    holder.outstanding.push_front({.number = request.held_grant,
                                   .rate = request.held_rate,
                                   .stock = request.held_reserved_tokens,
                                   .end = now + FromSeconds(remaining_time)});
  }
}

void FleetRate::ReclaimReturned(Holder& holder, const RateRequest& request) {
  if (holder.returned && request.returned > *holder.returned) {
    tokens_ += request.returned - *holder.returned;
  }
  holder.returned = request.returned;
}

FleetRate::Held FleetRate::ShareOf(const Holder& holder,
                                   const UnknownHolders& unknown) const {
  const Held maximum = MaximumOf(holder.is_pool);
  const Held known = KnownHeld(holder.is_pool);
  const Held others = UnknownHeld(holder.is_pool, unknown);
  const Held wanted = Wanted(holder.is_pool);
  const Held own = {.rate = holder.rate(), .stock = holder.stock()};
  const double holder_share = holder.is_pool ? kOnePoolShare : 1;

  Held share;
  share.stock =
      wanted.stock > maximum.stock
          ? std::max(1.0, holder.wanted_reserve * maximum.stock / wanted.stock)
          : holder.wanted_reserve;
  const double available_reserve = std::max(
      own.stock, maximum.stock - others.stock - known.stock + own.stock);
  share.stock =
      std::min({share.stock, holder_share * maximum.stock, available_reserve});
  if (share.stock < 1) {
    // A reserve below one token never admits a request, and the tokens
    // of the leased rate would be lost.
    return {};
  }
  share.rate = wanted.rate > maximum.rate
                   ? holder.wanted_rate * maximum.rate / wanted.rate
                   : holder.wanted_rate;
  const double available_rate =
      std::max(own.rate, maximum.rate - others.rate - known.rate + own.rate);
  share.rate =
      std::min({share.rate, holder_share * maximum.rate, available_rate});
  return share;
}

std::uint32_t FleetRate::TakeTokens(std::uint32_t wanted) {
  const double whole = std::floor(std::max(0.0, tokens_));
  const auto taken =
      static_cast<std::uint32_t>(std::min(static_cast<double>(wanted), whole));
  tokens_ -= taken;
  return taken;
}

double FleetRate::WantedReserve(const RateRequest& request, double demand) {
  if (request.is_pool) {
    return kPoolBaseReserve + demand;
  }
  return demand < kMinimumReserveDemand ? 0
                                        : 1 + demand * ToSeconds(kReserveTime);
}

Duration FleetRate::WaitForToken() const {
  const double missing = std::max(0.0, 1 - tokens_);
  const double wait = refill_ > 0 ? missing / refill_ : ToSeconds(kMaximumWait);
  return std::min(kMaximumWait, FromSeconds(wait));
}

RateGrant FleetRate::Grant(const std::string& name, const RateRequest& request,
                           std::uint64_t number, const UnknownHolders& unknown,
                           MonotonicTime now) {
  Advance(unknown, now);
  Holder& holder = holders_[name];
  holder.is_pool = request.is_pool;
  Confirm(holder, request, unknown, now);
  ReclaimReturned(holder, request);
  const double demand = std::max(0.0, request.demand);
  holder.wanted_reserve = WantedReserve(request, demand);
  holder.wanted_rate = holder.wanted_reserve > 0 ? kRateMargin * demand : 0;

  const Held share = ShareOf(holder, unknown);
  RateGrant grant;
  grant.key = request.key;
  grant.number = number;
  grant.rate = share.rate;
  grant.reserved_tokens = share.stock;
  grant.lease = kRateLeaseDuration;
  const Duration lease_with_drift =
      FromSeconds(ToSeconds(kRateLeaseDuration) * (1 + drift_));
  holder.outstanding.push_back({.number = number,
                                .rate = grant.rate,
                                .stock = grant.reserved_tokens,
                                .end = now + lease_with_drift});
  // The grant may have raised the sum of the reserves, which lowers the
  // capacity of the bucket.
  tokens_ = std::min(tokens_, Capacity(unknown));

  grant.tokens = TakeTokens(request.queued_requests);
  if (grant.tokens < request.queued_requests) {
    grant.wait = WaitForToken();
    return grant;
  }
  // Half of the remaining tokens stay for requests queued at other routers.
  const auto room = std::min(static_cast<double>(request.missing_reserve),
                             grant.reserved_tokens);
  grant.tokens += TakeTokens(
      static_cast<std::uint32_t>(std::min(room, std::max(0.0, tokens_) / 2)));
  return grant;
}

}  // namespace juniperway::quota
