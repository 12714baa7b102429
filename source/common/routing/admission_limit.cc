#include "common/routing/admission_limit.h"

#include <algorithm>

namespace juniperway::routing {
namespace {

// The limit grows only while at least this share of it is used.
constexpr double kUsedShare = 0.5;

}  // namespace

void AdmissionLimit::OnEnd(End end, MonotonicTime began, MonotonicTime now) {
  const auto running = static_cast<double>(running_);
  --running_;
  switch (end) {
    case End::kServed:
      if (running >= kUsedShare * limit_) {
        limit_ = std::min(limit_ + 1 / limit_, kHighest);
      }
      return;
    case End::kOverloaded:
      if (began >= last_decrease_) {
        limit_ = std::max(std::min(limit_, running) * kDecrease, kLowest);
        last_decrease_ = now;
      }
      return;
    case End::kOther:
      return;
  }
}

}  // namespace juniperway::routing
