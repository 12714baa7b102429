#include "common/forwarding/tenant_admission.h"

#include <algorithm>
#include <utility>

namespace juniperway::forwarding {

const char* NameOf(LimitDecision decision) {
  switch (decision) {
    case LimitDecision::kAdmitted:
      return "admitted";
    case LimitDecision::kOverLimit:
      return "over_limit";
    case LimitDecision::kUndecided:
      return "undecided";
  }
  return "unknown";
}

TenantAdmission::TenantAdmission(asio::io_context& context,
                                 std::function<void()> request_report)
    : request_report_(std::move(request_report)), timer_(context) {}

void TenantAdmission::Admit(const std::string& tenant, Callback callback) {
  const MonotonicTime now = ReadMonotonicClock();
  leases_.OnDemand(tenant, now);
  if (leases_.TryTake(tenant, now)) {
    if (leases_.NeedsTokens(tenant, now)) {
      request_report_();
    }
    callback(LimitDecision::kAdmitted, Duration(0));
    return;
  }
  const MonotonicTime exhausted_until = leases_.ExhaustedUntil(tenant);
  if (now < exhausted_until) {
    callback(LimitDecision::kOverLimit, exhausted_until - now);
    return;
  }
  request_report_();
  if (control_unresponsive_) {
    callback(LimitDecision::kUndecided, kUndecidedRetryAfter);
    return;
  }
  auto& queue = waiting_[tenant];
  queue.push_back({std::move(callback), now});
  ++waiting_count_;
  leases_.SetQueued(tenant, static_cast<std::uint32_t>(queue.size()));
  ArmTimer();
}

void TenantAdmission::ReleaseToken(const std::string& tenant) {
  leases_.ReleaseToken(tenant, ReadMonotonicClock());
}

std::optional<MonotonicTime> TenantAdmission::RenewToken(
    const std::string& tenant) {
  const MonotonicTime now = ReadMonotonicClock();
  if (leases_.TryTake(tenant, now)) {
    return now + kTokenTimeToLive;
  }
  request_report_();
  return std::nullopt;
}

quota::RateReport TenantAdmission::MakeReport(MonotonicTime now) {
  return leases_.MakeReport(now);
}

void TenantAdmission::OnGrants(const std::vector<quota::RateGrant>& grants,
                               std::uint64_t term,
                               MonotonicTime report_sent_at) {
  control_unresponsive_ = false;
  for (const quota::RateGrant& grant : grants) {
    OnGrant(grant, term, report_sent_at, ReadMonotonicClock());
  }
}

void TenantAdmission::OnGrant(const quota::RateGrant& grant, std::uint64_t term,
                              MonotonicTime report_sent_at, MonotonicTime now) {
  const std::uint32_t admitted =
      leases_.OnGrant(grant, term, report_sent_at, now);
  for (const Callback& callback : TakeWaiting(grant.key, admitted)) {
    callback(LimitDecision::kAdmitted, Duration(0));
  }
  if (grant.wait > Duration(0)) {
    for (const Callback& callback : TakeWaiting(grant.key, SIZE_MAX)) {
      callback(LimitDecision::kOverLimit, grant.wait);
    }
  }
}

std::vector<TenantAdmission::Callback> TenantAdmission::TakeWaiting(
    const std::string& tenant, std::size_t count) {
  std::vector<Callback> taken;
  const auto found = waiting_.find(tenant);
  if (found == waiting_.end()) {
    return taken;
  }
  std::deque<Waiting>& queue = found->second;
  while (!queue.empty() && taken.size() < count) {
    taken.push_back(std::move(queue.front().callback));
    queue.pop_front();
  }
  waiting_count_ -= taken.size();
  leases_.SetQueued(tenant, static_cast<std::uint32_t>(queue.size()));
  if (queue.empty()) {
    waiting_.erase(found);
  }
  return taken;
}

void TenantAdmission::ExpireWaiting() {
  const MonotonicTime now = ReadMonotonicClock();
  std::vector<Callback> expired;
  std::vector<std::string> tenants;
  for (const auto& [tenant, queue] : waiting_) {
    tenants.push_back(tenant);
  }
  for (const std::string& tenant : tenants) {
    const auto& queue = waiting_.at(tenant);
    const auto late = std::ranges::count_if(queue, [now](const Waiting& entry) {
      return now - entry.since >= kGrantTimeout;
    });
    std::ranges::move(TakeWaiting(tenant, static_cast<std::size_t>(late)),
                      std::back_inserter(expired));
  }
  control_unresponsive_ |= !expired.empty();
  for (const Callback& callback : expired) {
    callback(LimitDecision::kUndecided, kUndecidedRetryAfter);
  }
}

void TenantAdmission::ArmTimer() {
  if (timer_armed_ || waiting_.empty()) {
    return;
  }
  MonotonicTime oldest = MonotonicTime::max();
  for (const auto& [tenant, queue] : waiting_) {
    oldest = std::min(oldest, queue.front().since);
  }
  const Duration remaining = oldest + kGrantTimeout - ReadMonotonicClock();
  timer_armed_ = true;
  timer_.expires_after(std::max(remaining, Duration(0)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      timer_armed_ = false;
      ExpireWaiting();
      ArmTimer();
    }
  });
}

quota::RateLeases::LeaseState TenantAdmission::Describe(
    const std::string& tenant) {
  return leases_.GetLeaseState(tenant, ReadMonotonicClock());
}

}  // namespace juniperway::forwarding
