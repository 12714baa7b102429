// TypicalLatency estimates a low quantile of the latencies of a service in
// constant space. BackendPool owns one for each service and uses it for
// backends that have not answered recently.
#pragma once

#include <optional>

#include "common/base/time.h"

namespace juniperway::forwarding {

// A streaming quantile that moves by a fixed ratio at each sample (Ma,
// Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013,
// with steps relative to the estimate).
class TypicalLatency {
 public:
  // The quantile is low because backends that are slow for a while and still
  // get requests must not raise the estimate for the other backends of their
  // service.
  static constexpr double kQuantile = 0.25;
  // Relative size of one step in either direction, before it is weighted by the
  // quantile.
  static constexpr double kRelativeStep = 0.05;

  // Moves the estimate one step towards the quantile.
  void Record(Duration latency);
  // @return the estimate, or nothing before the first sample.
  std::optional<Duration> Get() const { return estimate_; }

 private:
  std::optional<Duration> estimate_;
};

}  // namespace juniperway::forwarding
