// How many queries of one service this front runs at a time. Without it,
// overload makes each shard shed other queries' parts, and hardly any query
// ends whole although every back end is busy. Pure.
//
// The limit falls by a fixed share when several of the last queries ended short
// because busy back ends shed their parts, and grows by one for each limit's
// worth of queries that did not. Queries that began before the last fall say
// nothing new. A single shed now and then is chance, not overload.
#pragma once

#include <cstddef>

#include "common/base/time.h"

namespace juniperway::routing {

class AdmissionLimit {
 public:
  // Queries that always may run, so that the end of an overload is noticed.
  static constexpr double kLowest = 4;
  // Until the first overload, and the most it grows to.
  static constexpr double kHighest = 4096;
  static constexpr double kDecrease = 0.8;
  // It falls when this many of so many queries were overloaded.
  static constexpr int kOverloadedToFall = 3;
  static constexpr int kWindow = 50;

  bool HasRoom() const { return static_cast<double>(running_) < limit_; }
  void OnBegin() { ++running_; }

  enum class End {
    kServed,      // As much as the service asks for.
    kOverloaded,  // Short of it, as busy back ends shed parts.
    kOther,       // Says nothing of load: abandoned, refused for its claim, …
  };
  // @param began when OnBegin was called for the query.
  void OnEnd(End end, MonotonicTime began, MonotonicTime now);

  double limit() const { return limit_; }
  std::size_t running() const { return running_; }

 private:
  void Count(End end, double running, MonotonicTime now);

  double limit_ = kHighest;
  std::size_t running_ = 0;
  MonotonicTime last_decrease_{};
  // Since the last fall or the last full window.
  int ended_ = 0;
  int overloaded_ = 0;
};

}  // namespace juniperway::routing
