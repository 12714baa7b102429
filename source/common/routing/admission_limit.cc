#include "common/routing/admission_limit.h"

#include <algorithm>

namespace juniperway::routing {
namespace {

// The limit grows only while at least this share of the limit is in use.
// Otherwise the served queries are no evidence that a higher limit is
// sustainable.
constexpr double kUsedShare = 0.5;

}  // namespace

void AdmissionLimit::OnQueryEnded(LoadEvidence end, MonotonicTime began,
                                  MonotonicTime now) {
  const auto running = static_cast<double>(running_);
  --running_;
  if (end == LoadEvidence::kOther) {
    return;
  }
  if (end == LoadEvidence::kServed && running >= kUsedShare * limit_) {
    limit_ = std::min(limit_ + 1 / limit_, kMaximumLimit);
  }
  if (began >= last_decrease_) {
    Count(end, running, now);
  }
}

void AdmissionLimit::Count(LoadEvidence end, double running,
                           MonotonicTime now) {
  ++ended_;
  overloaded_ += end == LoadEvidence::kOverloaded ? 1 : 0;
  const bool overload = overloaded_ >= kOverloadedQueriesToDecrease;
  if (overload) {
    limit_ =
        std::max(std::min(limit_, running) * kDecreaseFactor, kMinimumLimit);
    last_decrease_ = now;
  }
  if (overload || ended_ >= kWindowQueries) {
    ended_ = 0;
    overloaded_ = 0;
  }
}

}  // namespace juniperway::routing
