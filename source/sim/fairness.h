// One back end under virtual time, shared by a quiet and a noisy request class:
// compares orders in which waiting subqueries get its slots. Seeded: the same
// options give the same result.
#pragma once

#include <cstdint>
#include <string_view>

#include "common/base/time.h"

namespace juniperway::sim {

enum class QueueOrder {
  kFirstInFirstOut,
  kShortestRemainingTime,
  // Each class has its own slots, in proportion to its weight; none is lent.
  kFixedShares,
  // As in the paper: stamped at arrival, served by stamp.
  kVirtualClock,
  // The product's: VirtualClock between classes, shortest remaining time within
  // (owner/fair_queue.h).
  kFairQueue,
};

std::string_view QueueOrderName(QueueOrder order);

// One class's arrivals.
struct ClassLoad {
  // Mean subqueries a second.
  double rate = 0;
  // Time each has left when it arrives.
  Duration deadline{0};
  // How many arrive at once.
  std::uint32_t burst = 1;
  // When its arrivals begin.
  Duration begin{0};
};

struct FairnessOptions {
  std::uint64_t seed = 1;
  QueueOrder order = QueueOrder::kFairQueue;
  Duration length = seconds(60);
  std::uint32_t slots = 4;
  // Lognormal.
  Duration median_service_time = milliseconds(4);
  double service_time_sigma = 0.4;
  std::uint32_t queue_limit = 64;
  ClassLoad quiet;
  ClassLoad noisy;
};

struct ClassResult {
  std::uint64_t arrived = 0;
  // Answered within its deadline.
  std::uint64_t in_time = 0;
  // From arrival to answer, of those in time.
  Duration median{0};
  Duration p99{0};
};

struct FairnessResult {
  ClassResult quiet;
  ClassResult noisy;
  // Share of the slots' time that went into answers that came too late.
  double wasted = 0;
};

FairnessResult RunFairness(const FairnessOptions& options);

}  // namespace juniperway::sim
