// How long the answers of a service usually take: a low quantile over many
// samples in constant space. It stands for a back end that has not answered of
// late. Pure.
#pragma once

#include <optional>

#include "common/base/time.h"

namespace juniperway::forwarding {

// A streaming quantile that moves by a fixed ratio at each sample (Ma,
// Muthukrishnan and Sandler, "Frugal Streaming for Estimating Quantiles", 2013,
// with steps relative to the estimate).
class UsualLatency {
 public:
  // Low, so that back ends that are slow for a while, and are asked while they
  // are, do not make the others of their service look slow too.
  static constexpr double kQuantile = 0.25;
  // Ratio of one step in each direction, before it is weighted by the quantile.
  static constexpr double kRelativeStep = 0.05;

  void Record(Duration latency);
  // @return nothing before the first sample.
  std::optional<Duration> Get() const { return estimate_; }

 private:
  std::optional<Duration> estimate_;
};

}  // namespace juniperway::forwarding
