#include "common/quota/rate_granter.h"

#include <algorithm>
#include <utility>

namespace juniperway::quota {
namespace {

// Grants of a term are numbered from its number in the upper half, so that
// those of a later leader are above those of the ones before it.
constexpr unsigned kTermShift = 32;

}  // namespace

void RateGranter::Start(std::uint64_t term, std::set<std::string> routers,
                        std::set<std::string> pools, MonotonicTime now) {
  Stop();
  term_ = term;
  grants_ = term << kTermShift;
  unreported_routers_ = std::move(routers);
  unreported_pools_ = std::move(pools);
  assumed_until_ = now + kRateLease +
                   Duration(static_cast<Duration::rep>(
                       drift_ * static_cast<double>(kRateLease.count())));
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

void RateGranter::NoteProcess(const Sender& sender) {
  const auto [known, is_new] =
      incarnations_.try_emplace(sender.name, sender.incarnation);
  if (is_new || known->second == sender.incarnation) {
    return;
  }
  // The process before it is gone, and what it held.
  known->second = sender.incarnation;
  for (auto& [key, rate] : rates_) {
    rate.Forget(sender.name);
  }
}

void RateGranter::NoteReported(const Sender& sender, const RateReport& report,
                               MonotonicTime now) {
  // Before it was answered in this term it may still take in a grant of an
  // earlier leader that is not in this report.
  const bool says_all = sender.term == term_ && report.complete;
  auto& unreported = sender.is_pool ? unreported_pools_ : unreported_routers_;
  if (says_all && unreported.erase(sender.name) > 0 && !Unknown(now).any()) {
    known_since_ = std::min(known_since_, now);
  }
}

FleetRate& RateGranter::RateOf(const std::string& key, const RateLimit& limit,
                               MonotonicTime now) {
  // Nothing was granted of it since all holders are known: its tokens came in.
  const MonotonicTime since = std::min(known_since_, now);
  return rates_.try_emplace(key, limit, tolerance_, drift_, since)
      .first->second;
}

std::vector<RateGrant> RateGranter::OnReport(const Sender& sender,
                                             const RateReport& report,
                                             MonotonicTime now) {
  NoteProcess(sender);
  NoteReported(sender, report, now);
  std::vector<RateGrant> grants;
  for (const RateRequest& request : report.requests) {
    const auto limit = limits_.find(request.key);
    if (limit != limits_.end()) {
      grants.push_back(Grant(sender, request, limit->second, now));
    }
  }
  if (sender.is_pool) {
    AddUnaskedGrants(sender, report, grants, now);
  }
  return grants;
}

RateGrant RateGranter::Grant(const Sender& sender, const RateRequest& request,
                             const RateLimit& limit, MonotonicTime now) {
  return RateOf(request.key, limit, now)
      .Grant(sender.name, request, ++grants_, Unknown(now), now);
}

void RateGranter::AddUnaskedGrants(const Sender& sender,
                                   const RateReport& report,
                                   std::vector<RateGrant>& grants,
                                   MonotonicTime now) {
  std::set<std::string> asked;
  for (const RateRequest& request : report.requests) {
    asked.insert(request.key);
  }
  for (const auto& [key, limit] : limits_) {
    if (!asked.contains(key)) {
      const RateRequest request{
          .key = key,
          .is_pool = true,
          .room = static_cast<std::uint32_t>(FleetRate::kPoolStock)};
      grants.push_back(Grant(sender, request, limit, now));
    }
  }
}

}  // namespace juniperway::quota
