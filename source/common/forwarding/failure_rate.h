// The share of a back end's recent attempts that brought no answer: it shed
// them, failed them or broke them off. Pure: time is an argument.
//
// Pauses and ejections last for less than a second or two; a router of a large
// fleet asks one back end that often, so that they are over before its next
// request. What this remembers lasts longer.
#pragma once

#include "common/base/time.h"

namespace juniperway::forwarding {

class FailureRate {
 public:
  // What was seen fades to 1 / e in this time: several requests of a router
  // that asks a back end twice a second. Chosen, not measured alone.
  static constexpr Duration kMemory = seconds(8);

  void Record(bool failed, MonotonicTime now);

  // 0 to 1; counts as if one more attempt had succeeded, so that a single
  // failure of a back end that is seldom asked stands for one half.
  double Get(MonotonicTime now) const;

  // How many attempts it is known from, faded.
  double Attempts(MonotonicTime now) const { return ended_ * FadeTo(now); }

 private:
  double FadeTo(MonotonicTime now) const;

  MonotonicTime last_{};
  double failed_ = 0;
  double ended_ = 0;
};

}  // namespace juniperway::forwarding
