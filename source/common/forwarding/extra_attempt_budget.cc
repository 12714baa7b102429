#include "common/forwarding/extra_attempt_budget.h"

#include <algorithm>

namespace juniperway::forwarding {
namespace {

// Share of the budget that a router uses. Each router stays within its budget
// in every window, so all routers together stay within the sum of the budgets;
// the remaining share covers clock differences and delays between routers and
// backends.
constexpr double kUsedShare = 0.95;

}  // namespace

void ExtraAttemptBudget::AdvanceTo(const ExtraAttemptLimits& limits,
                                   MonotonicTime now) {
  // A slice lasts a twentieth of the window. The current slice is incomplete,
  // so only the other 21 slices count in full. They span 1.05 windows and thus
  // always cover a whole window.
  const Duration width = limits.window / static_cast<int>(kSlices - 2);
  const std::int64_t slice = now.time_since_epoch() / width;
  const std::int64_t passed = std::min<std::int64_t>(slice - current_, kSlices);
  for (std::int64_t step = 1; step <= passed; ++step) {
    slices_[static_cast<std::size_t>(slice - passed + step) % kSlices] = {};
  }
  current_ = std::max(current_, slice);
}

void ExtraAttemptBudget::OnRequest(const ExtraAttemptLimits& limits,
                                   MonotonicTime now) {
  AdvanceTo(limits, now);
  ++slices_[static_cast<std::size_t>(current_) % kSlices].requests;
}

ExtraAttemptBudget::Usage ExtraAttemptBudget::UsageOf(
    const ExtraAttemptLimits& limits, MonotonicTime now) {
  AdvanceTo(limits, now);
  double requests = 0;
  Usage usage;
  for (const Slice& slice : slices_) {
    requests += slice.requests;
    usage.taken += slice.extra_attempts;
  }
  const double routers =
      static_cast<double>(std::max<std::size_t>(1, limits.routers));
  const double slack = now < limits.slack_from ? 0 : limits.slack / routers;
  usage.allowed = kUsedShare * (limits.ratio * requests + slack);
  return usage;
}

bool ExtraAttemptBudget::TryTakeAttempt(const ExtraAttemptLimits& limits,
                                        MonotonicTime now) {
  const Usage usage = UsageOf(limits, now);
  if (usage.taken + 1 > usage.allowed) {
    return false;
  }
  ++slices_[static_cast<std::size_t>(current_) % kSlices].extra_attempts;
  return true;
}

double ExtraAttemptBudget::RemainingShare(const ExtraAttemptLimits& limits,
                                          MonotonicTime now) {
  const Usage usage = UsageOf(limits, now);
  return usage.allowed <= 0
             ? 0
             : std::clamp(1 - usage.taken / usage.allowed, 0.0, 1.0);
}

}  // namespace juniperway::forwarding
