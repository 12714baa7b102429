#include "common/logging/line_budget.h"

#include <algorithm>
#include <chrono>

namespace juniperway::logging {

double LineBudget::TokensAt(MonotonicTime now) const {
  const std::chrono::duration<double> passed = now - refilled_;
  return std::min(per_second_, tokens_ + passed.count() * per_second_);
}

bool LineBudget::Take(MonotonicTime now) {
  tokens_ = TokensAt(now);
  refilled_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace juniperway::logging
