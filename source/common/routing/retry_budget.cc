#include "common/routing/retry_budget.h"

#include <algorithm>

namespace juniperway::routing {

void RetryBudget::Deposit(double share, MonotonicTime now) {
  Roll(now);
  window_deposits_ += share;
  const double bound = kReserve + window_deposits_ + previous_window_deposits_;
  tokens_ = std::min(tokens_ + share, bound);
}

bool RetryBudget::TryWithdraw() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RetryBudget::Charge(std::uint64_t subqueries) {
  tokens_ -= static_cast<double>(subqueries);
}

void RetryBudget::Roll(MonotonicTime now) {
  if (now - window_start_ < kWindow) {
    return;
  }
  const bool adjacent = now - window_start_ < 2 * kWindow;
  previous_window_deposits_ = adjacent ? window_deposits_ : 0;
  window_deposits_ = 0;
  window_start_ = now;
}

}  // namespace juniperway::routing
