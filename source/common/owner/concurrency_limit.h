// Bounds on how many of a backend's slots may be used: AdaptiveLimit after the
// backend shed subqueries, SlowStart after a cold start or an outage. The code
// does no I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace juniperway::owner {

// Concurrency limit of one backend, owned by its BackendGate: additive
// increase, multiplicative decrease between 1 and the number of slots.
class AdaptiveLimit {
 public:
  explicit AdaptiveLimit(std::uint32_t slots);

  void SetSlots(std::uint32_t slots);

  // Records that the backend shed a subquery although at most `limit()`
  // subqueries were running.
  // @param started when the subquery was sent. Sheds of subqueries that were
  //   sent before the last decrease come from the same overload and do not
  //   decrease the limit again.
  void OnShed(MonotonicTime started, MonotonicTime now);

  // Records that the backend served a subquery.
  void OnServed();

  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }

 private:
  std::uint32_t slots_;
  double limit_;
  std::optional<MonotonicTime> decreased_at_;
};

// Opens the slots of one backend one after the other over a set time. Owned by
// the backend's BackendGate.
class SlowStart {
 public:
  void Begin(MonotonicTime now, Duration length);

  // Returns the number of slots open at `now`, at least one.
  // @param slots number of all slots.
  std::uint32_t OpenSlots(std::uint32_t slots, MonotonicTime now) const;

  // Returns when the next slot opens, or nothing once all slots are open.
  std::optional<MonotonicTime> NextStep(std::uint32_t slots,
                                        MonotonicTime now) const;

 private:
  MonotonicTime begin_;
  Duration length_{0};
};

}  // namespace juniperway::owner
