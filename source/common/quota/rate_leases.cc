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
    const double grown = entry.rate * ToSeconds(until - entry.advanced_to);
    KeepTokens(entry, entry.tokens + grown);
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

void RateLeases::FadeDemand(Entry& entry, MonotonicTime now) {
  const Duration passed = now - entry.requests_at;
  entry.requests *= std::exp(-ToSeconds(passed) / ToSeconds(kDemandMemory));
  entry.requests_at = now;
}

double RateLeases::DemandOf(const Entry& entry) {
  return entry.requests / ToSeconds(kDemandMemory);
}

void RateLeases::OnDemand(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  FadeDemand(entry, now);
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

void RateLeases::GiveBack(const std::string& key, MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  KeepTokens(entry, entry.tokens + 1);
}

void RateLeases::SetWaiting(const std::string& key, std::uint32_t waiting) {
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
         DemandOf(entry) >= FleetRate::kLeastStockDemand;
}

RateRequest RateLeases::MakeRequest(const std::string& key, Entry& entry,
                                    MonotonicTime now) const {
  RateRequest request;
  request.key = key;
  request.is_pool = options_.is_pool;
  if (now < entry.end) {
    request.held_grant = entry.grant;
    request.held_rate = entry.rate;
    request.held_stock = entry.stock;
    request.held_left = entry.end - now;
  }
  // A lease that is not needed any more is given back so.
  const double demand = DemandOf(entry);
  request.demand = demand < options_.least_demand ? 0 : demand;
  // An answer that is not there by then is not taken in any more.
  std::erase_if(entry.asked, [now](const Asked& asked) {
    return now - asked.at > kLongestGrantAge;
  });
  std::uint32_t asked_waiting = 0;
  std::uint32_t asked_room = 0;
  for (const Asked& asked : entry.asked) {
    asked_waiting += asked.waiting;
    asked_room += asked.room;
  }
  request.waiting = entry.waiting - std::min(entry.waiting, asked_waiting);
  // A stock that is not known yet is taken for one token; the leader bounds it.
  const bool has_stock = now < entry.end && entry.stock > 0;
  const double stock = has_stock ? entry.stock : 1;
  const double room = std::floor(std::max(0.0, stock - entry.tokens));
  if (request.demand > 0 && room > asked_room) {
    request.room = static_cast<std::uint32_t>(room) - asked_room;
  }
  request.returned = entry.returned;
  if (request.waiting > 0 || request.room > 0) {
    entry.asked.push_back({now, request.waiting, request.room});
  }
  return request;
}

RateReport RateLeases::MakeReport(MonotonicTime now) {
  for (auto& [key, entry] : entries_) {
    Advance(entry, now);
    FadeDemand(entry, now);
  }
  ForgetIdle(now);
  RateReport report;
  // What waits first, then the leases that end first.
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

void RateLeases::ForgetIdle(MonotonicTime now) {
  std::erase_if(entries_, [this, now](const auto& item) {
    const Entry& entry = item.second;
    return entry.waiting == 0 && now >= entry.end &&
           DemandOf(entry) < options_.least_demand;
  });
}

std::uint32_t RateLeases::OnGrant(const RateGrant& grant, std::uint64_t term,
                                  MonotonicTime asked_at, MonotonicTime now) {
  const bool is_of_pool = grant.number == 0;
  if (term < term_ && !is_of_pool) {
    return 0;
  }
  if (options_.is_pool) {
    // A pool is granted keys that it has not asked for yet.
    entries_.try_emplace(grant.key);
  }
  const auto found = entries_.find(grant.key);
  if (found == entries_.end()) {
    return 0;
  }
  term_ = std::max(term_, term);
  Entry& entry = found->second;
  Advance(entry, now);
  if (is_of_pool) {
    return UseTokens(entry,
                     now - asked_at > kLongestGrantAge ? 0 : grant.tokens);
  }
  std::erase_if(entry.asked, [asked_at](const Asked& asked) {
    return asked.at <= asked_at;
  });
  if (grant.number <= entry.grant || now - asked_at > kLongestGrantAge) {
    entry.returned += grant.tokens;
    return 0;
  }
  entry.grant = grant.number;
  entry.rate = grant.rate;
  entry.stock = grant.stock;
  entry.asked_at = asked_at;
  const bool is_empty = grant.rate <= 0 && grant.stock <= 0;
  entry.end = is_empty ? MonotonicTime::min() : asked_at + grant.lease;
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

RateLeases::Insight RateLeases::Describe(const std::string& key,
                                         MonotonicTime now) {
  Entry& entry = entries_[key];
  Advance(entry, now);
  if (now >= entry.end) {
    return {};
  }
  return {.grant = entry.grant,
          .rate = entry.rate,
          .tokens = entry.tokens,
          .age = now - entry.asked_at};
}

}  // namespace juniperway::quota
