#include "common/quota/rate_granter.h"

#include <algorithm>
#include <utility>

namespace juniperway::quota {
namespace {

// The upper half of a grant's number is the term, so that a later leader's
// grants have higher numbers than those of the leaders before.
constexpr unsigned kTermShift = 32;

}  // namespace

void RateGranter::Start(std::uint64_t term, std::set<std::string> routers,
                        std::set<std::string> pools, MonotonicTime now) {
  Stop();
  term_ = term;
  grants_ = term << kTermShift;
  unreported_routers_ = std::move(routers);
  unreported_pools_ = std::move(pools);
  assumed_until_ =
      now + kRateLeaseDuration +
      Duration(static_cast<Duration::rep>(
          drift_ * static_cast<double>(kRateLeaseDuration.count())));
  const bool all_known =
      unreported_routers_.empty() && unreported_pools_.empty();
  known_since_ = all_known ? now : assumed_until_;
}

UnknownHolders RateGranter::Unknown(MonotonicTime now) const {
  if (now >= assumed_until_) {
    return {};
  }
  return {.pools = unreported_pools_.size(),
          .routers = !unreported_routers_.empty()};
}

void RateGranter::Stop() {
  rates_.clear();
  incarnations_.clear();
  unreported_routers_.clear();
  unreported_pools_.clear();
  assumed_until_ = MonotonicTime::min();
}

void RateGranter::SetLimits(RateLimits limits, MonotonicTime now) {
  limits_ = std::move(limits);
  for (auto& [key, rate] : rates_) {
    const auto limit = limits_.find(key);
    if (limit != limits_.end()) {
      rate.SetLimit(limit->second, now);
    }
  }
}

void RateGranter::UpdateIncarnation(const Sender& sender) {
  const auto [known, is_new] =
      incarnations_.try_emplace(sender.name, sender.incarnation);
  if (is_new || known->second == sender.incarnation) {
    return;
  }
  // The holder's earlier process has ended, and its leases ended with it.
  known->second = sender.incarnation;
  for (auto& [key, rate] : rates_) {
    rate.RemoveHolder(sender.name);
  }
}

void RateGranter::MarkReported(const Sender& sender, const RateReport& report,
                               MonotonicTime now) {
  // Until the sender has an answer of this term, it may still accept a grant of
  // an earlier leader that is not in this report.
  const bool reported_all = sender.term == term_ && report.complete;
  auto& unreported = sender.is_pool ? unreported_pools_ : unreported_routers_;
  if (reported_all && unreported.erase(sender.name) > 0 &&
      !Unknown(now).any()) {
    known_since_ = std::min(known_since_, now);
  }
}

FleetRate& RateGranter::RateOf(const std::string& key, const RateLimit& limit,
                               MonotonicTime now) {
  // No token of a new key has been granted since this leader came to know all
  // holders, so the key's bucket has been filling since that time.
  const MonotonicTime since = std::min(known_since_, now);
  return rates_.try_emplace(key, limit, tolerance_, drift_, since)
      .first->second;
}

std::vector<RateGrant> RateGranter::OnReport(const Sender& sender,
                                             const RateReport& report,
                                             MonotonicTime now) {
  UpdateIncarnation(sender);
  MarkReported(sender, report, now);
  std::vector<RateGrant> grants;
  for (const RateRequest& request : report.requests) {
    const auto limit = limits_.find(request.key);
    if (limit != limits_.end()) {
      grants.push_back(Grant(sender, request, limit->second, now));
    }
  }
  if (sender.is_pool) {
    AddUnrequestedGrants(sender, report, grants, now);
  }
  return grants;
}

RateGrant RateGranter::Grant(const Sender& sender, const RateRequest& request,
                             const RateLimit& limit, MonotonicTime now) {
  return RateOf(request.key, limit, now)
      .Grant(sender.name, request, ++grants_, Unknown(now), now);
}

void RateGranter::AddUnrequestedGrants(const Sender& sender,
                                       const RateReport& report,
                                       std::vector<RateGrant>& grants,
                                       MonotonicTime now) {
  std::set<std::string> requested_keys;
  for (const RateRequest& request : report.requests) {
    requested_keys.insert(request.key);
  }
  for (const auto& [key, limit] : limits_) {
    if (!requested_keys.contains(key)) {
      const RateRequest request{.key = key,
                                .is_pool = true,
                                .missing_reserve = static_cast<std::uint32_t>(
                                    FleetRate::kPoolBaseReserve)};
      grants.push_back(Grant(sender, request, limit, now));
    }
  }
}

}  // namespace juniperway::quota
