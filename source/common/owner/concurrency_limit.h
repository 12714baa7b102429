// How many of a back end's slots may be used right now: fewer after it shed
// load, and fewer while it warms up after a cold start or an outage.
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace juniperway::owner {

// Additive increase, multiplicative decrease between 1 and the slots.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(std::uint32_t slots);

  void SetSlots(std::uint32_t slots);

  // The back end refused a subquery although at most `limit()` were running.
  // @param started when it was sent: sheds of what was sent before the last
  //   decrease are the same sign of overload, and change nothing.
  void OnShed(MonotonicTime started, MonotonicTime now);

  // The back end served a subquery.
  void OnServed();

  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

 private:
  std::uint32_t slots_;
  double limit_;
  std::optional<MonotonicTime> decreased_at_;
};

// Opens the slots one after the other over a set time.
class SlowStart {
 public:
  void Begin(MonotonicTime now, Duration length);

  // Slots open at `now`; at least one.
  std::uint32_t OpenSlots(std::uint32_t slots, MonotonicTime now) const;

  // When the next slot opens; nothing once all are open.
  std::optional<MonotonicTime> NextStep(std::uint32_t slots,
                                        MonotonicTime now) const;

 private:
  MonotonicTime begin_;
  Duration length_{0};
};

}  // namespace juniperway::owner
