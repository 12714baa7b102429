// How many log lines of one kind may be written in a time. Pure.
#pragma once

#include "common/base/time.h"

namespace juniperway::logging {

// A token bucket that holds the lines of one second.
class LineBudget {
 public:
  // @param per_second at least 0; 0 lets nothing pass.
  explicit LineBudget(double per_second)
      : per_second_(per_second), tokens_(per_second) {}

  // @return whether one more line may be written now.
  bool Take(MonotonicTime now);
  // @return whether Take would let one more line pass.
  bool HasLine(MonotonicTime now) const { return TokensAt(now) >= 1; }

 private:
  double TokensAt(MonotonicTime now) const;

  double per_second_;
  double tokens_;
  MonotonicTime refilled_{};
};

}  // namespace juniperway::logging
