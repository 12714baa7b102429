#include "common/owner/concurrency_limit.h"

#include <algorithm>

namespace juniperway::owner {
namespace {

constexpr double kDecreaseFactor = 0.7;
// Number of slots by which the limit grows after as many served subqueries as
// the limit allows at the same time.
constexpr double kIncreasePerRound = 0.25;

}  // namespace

AdaptiveLimit::AdaptiveLimit(std::uint32_t slots)
    : slots_(slots), limit_(slots) {}

void AdaptiveLimit::SetSlots(std::uint32_t slots) {
  const bool unrestricted = limit_ >= slots_;
  slots_ = slots;
  limit_ = unrestricted ? slots : std::min<double>(limit_, slots);
}

void AdaptiveLimit::OnShed(MonotonicTime started, MonotonicTime now) {
  if (decreased_at_ && started < *decreased_at_) {
    return;
  }
  decreased_at_ = now;
  limit_ = std::max(1.0, limit_ * kDecreaseFactor);
}

void AdaptiveLimit::OnServed() {
  limit_ = std::min<double>(slots_, limit_ + kIncreasePerRound / limit_);
}

void SlowStart::Begin(MonotonicTime now, Duration length) {
  begin_ = now;
  length_ = length;
}

std::uint32_t SlowStart::OpenSlots(std::uint32_t slots,
                                   MonotonicTime now) const {
  if (length_ == Duration::zero() || now >= begin_ + length_) {
    return slots;
  }
  const auto opened = (slots - 1) * (now - begin_).count() / length_.count();
  return 1 + static_cast<std::uint32_t>(opened);
}

std::optional<MonotonicTime> SlowStart::NextStep(std::uint32_t slots,
                                                 MonotonicTime now) const {
  const std::uint32_t open = OpenSlots(slots, now);
  if (open >= slots) {
    return std::nullopt;
  }
  // The division rounds up, so that OpenSlots counts the slot as open at the
  // returned time.
  const auto steps = slots - 1;
  const Duration offset((length_.count() * open + steps - 1) / steps);
  return begin_ + offset;
}

}  // namespace juniperway::owner
