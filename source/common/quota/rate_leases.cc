#include "common/quota/rate_leases.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "common/quota/fleet_rate.h"

namespace juniperway::quota {
void RateLeases::Advance(Entry& entry, MonotonicTime now) {
  const MonotonicTime until = std::min(now, entry.end);
  if (until > entry.advanced_to) {
    const double added = entry.rate * ToSeconds(until - entry.advanced_to);
    KeepTokens(entry, entry.tokens + added);
  }
  entry.advanced_to = std::max(entry.advanced_to, now);
  if (now >= entry.end) {
    entry.rate = 0;
    entry.stock = 0;
    KeepTokens(entry, entry.tokens);
  }
}

void RateLeases::KeepTokens(Entry& entry, double tokens) {
  entry.tokens = std::min(entry.stock, tokens);
  entry.returned += tokens - entry.tokens;
}

void RateLeases::DecayDemand(Entry& entry, MonotonicTime now) {
  const Duration passed = now - entry.demand_updated_at;
  entry.requests *= std::exp(-ToSeconds(passed) / ToSeconds(kDemandDecayTime));
  entry.demand_updated_at = now;
}

double RateLeases::DemandOf(const Entry& entry) {
  return entry.requests / ToSeconds(kDemandDecayTime);
}

void RateLeases::OnDemand(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  DecayDemand(entry, now);
  entry.requests += 1;
}

bool RateLeases::TryTake(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  if (entry.tokens < 1) {
    return false;
  }
  entry.tokens -= 1;
  return true;
}

void RateLeases::ReleaseToken(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  KeepTokens(entry, entry.tokens + 1);
}

void RateLeases::SetQueued(const std::string& key, std::uint32_t waiting) {
  entries_[key].waiting = waiting;
}

bool RateLeases::NeedsTokens(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  return entry.waiting > 0 || entry.tokens < 1;
}

MonotonicTime RateLeases::ExhaustedUntil(const std::string& key) const {
  const auto entry = entries_.find(key);
  return entry == entries_.end() ? MonotonicTime::min()
                                 : entry->second.exhausted_until;
}

bool RateLeases::IsReported(const Entry& entry, MonotonicTime now) const {
  return options_.is_pool || entry.waiting > 0 || now < entry.end ||
         DemandOf(entry) >= FleetRate::kMinimumReserveDemand;
}

RateRequest RateLeases::MakeRequest(const std::string& key, Entry& entry,
                                    MonotonicTime now) const {
  RateRequest request;
  request.key = key;
  request.is_pool = options_.is_pool;
  if (now < entry.end) {
    request.held_grant = entry.grant;
    request.held_rate = entry.rate;
    request.held_reserved_tokens = entry.stock;
    request.held_remaining = entry.end - now;
  }
  // With a demand of zero, the leader releases the lease.
  const double demand = DemandOf(entry);
  request.demand = demand < options_.minimum_demand ? 0 : demand;
  // An answer that comes later than this is ignored.
  std::erase_if(entry.unanswered, [now](const TokenRequest& unanswered) {
    return now - unanswered.at > kMaximumGrantAge;
  });
  std::uint32_t requested_waiting = 0;
  std::uint32_t requested_reserve = 0;
  for (const TokenRequest& unanswered : entry.unanswered) {
    requested_waiting += unanswered.waiting;
    requested_reserve += unanswered.room;
  }
  request.queued_requests =
      entry.waiting - std::min(entry.waiting, requested_waiting);
  // Without a lease, the reserve is assumed to be one token; the leader bounds
  // the reserve.
  const bool has_stock = now < entry.end && entry.stock > 0;
  const double stock = has_stock ? entry.stock : 1;
  const double room = std::floor(std::max(0.0, stock - entry.tokens));
  if (request.demand > 0 && room > requested_reserve) {
    request.missing_reserve =
        static_cast<std::uint32_t>(room) - requested_reserve;
  }
  request.returned = entry.returned;
  if (request.queued_requests > 0 || request.missing_reserve > 0) {
    entry.unanswered.push_back(
        {now, request.queued_requests, request.missing_reserve});
  }
  return request;
}

RateReport RateLeases::MakeReport(MonotonicTime now) {
  for (auto& [key, entry] : entries_) {
    Advance(entry, now);
    DecayDemand(entry, now);
  }
  RemoveIdle(now);
  RateReport report;
  // Keys with queued requests come first, then the leases that expire first.
  std::vector<std::pair<std::pair<bool, MonotonicTime>, const std::string*>>
      order;
  for (const auto& [key, entry] : entries_) {
    if (IsReported(entry, now)) {
      order.push_back({{entry.waiting == 0, entry.end}, &key});
    }
  }
  std::ranges::sort(order);
  for (const auto& [rank, key] : order) {
    Entry& entry = entries_.at(*key);
    if (report.requests.size() == options_.maximum_requests) {
      report.complete &= entry.end <= now;
      continue;
    }
    report.requests.push_back(MakeRequest(*key, entry, now));
  }
  return report;
}

void RateLeases::RemoveIdle(MonotonicTime now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const Entry& entry = item.second;
    return entry.waiting == 0 && now >= entry.end &&
           DemandOf(entry) < options_.minimum_demand;
  });
}

std::uint32_t RateLeases::OnGrant(const RateGrant& grant, std::uint64_t term,
                                  MonotonicTime requested_at,
                                  MonotonicTime now) {
  const bool is_from_pool = grant.number == 0;
  if (term < term_ && !is_from_pool) {
    return 0;
  }
  if (options_.is_pool) {
    // A pool also gets grants of keys that it has not requested.
    entries_.try_emplace(grant.key);
  }
  const auto found = entries_.find(grant.key);
  if (found == entries_.end()) {
    return 0;
  }
  term_ = std::max(term_, term);
  Entry& entry = found->second;
  Advance(entry, now);
  if (is_from_pool) {
    return UseTokens(entry,
                     now - requested_at > kMaximumGrantAge ? 0 : grant.tokens);
  }
  std::erase_if(entry.unanswered,
                [requested_at](const TokenRequest& unanswered) {
                  return unanswered.at <= requested_at;
                });
  if (grant.number <= entry.grant || now - requested_at > kMaximumGrantAge) {
    entry.returned += grant.tokens;
    return 0;
  }
  entry.grant = grant.number;
  entry.rate = grant.rate;
  entry.stock = grant.reserved_tokens;
  entry.requested_at = requested_at;
  const bool is_empty = grant.rate <= 0 && grant.reserved_tokens <= 0;
  entry.end = is_empty ? MonotonicTime::min() : requested_at + grant.lease;
  if (grant.wait > Duration(0)) {
    entry.exhausted_until = now + grant.wait;
  }
  return UseTokens(entry, grant.tokens);
}

std::uint32_t RateLeases::UseTokens(Entry& entry, std::uint32_t granted) {
  const double tokens = entry.tokens + granted;
  const auto used = static_cast<std::uint32_t>(
      std::min(static_cast<double>(entry.waiting), std::floor(tokens)));
  entry.waiting -= used;
  KeepTokens(entry, tokens - used);
  return used;
}

RateLeases::LeaseState RateLeases::GetLeaseState(const std::string& key,
                                                 MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  if (now >= entry.end) {
    return {};
  }
  return {.grant = entry.grant,
          .rate = entry.rate,
          .tokens = entry.tokens,
          .age = now - entry.requested_at};
}

}  // namespace juniperway::quota
