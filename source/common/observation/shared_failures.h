// What other routers have seen of back ends, as one router has been told. Pure:
// time is an argument. Only back ends that somebody had failures at are in it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/base/time.h"
#include "common/observation/backend_observation.h"

namespace juniperway::observation {

class SharedFailures {
 public:
  // A back end with a lower share of failures is as good as any. The threshold
  // is drawn for each router: what a router told fades for all others at the
  // same time, and with one threshold all of them ask its back end again at the
  // same moment. With four fifths of all back ends shedding, 10 to 30 % of the
  // requests failed two and four seconds after the others had found them (a
  // fleet of 985 routers, simulated).
  static constexpr double kLowestThreshold = 0.25;
  static constexpr double kHighestThreshold = 0.45;

  explicit SharedFailures(std::uint64_t seed);

  void Add(const BackendObservation& observation, MonotonicTime now);

  // Some router had failures there of late.
  bool IsKnown(BackendHash backend) const {
    return !rates_.empty() && rates_.contains(backend);
  }
  // @return the share of failures of a back end that is suspected; else 0. As
  //   if one more router had had an answer: one witness makes it a half.
  double SuspicionOf(BackendHash backend, MonotonicTime now) const;

  std::size_t size() const { return rates_.size(); }

 private:
  // Fades to 1 / e in kMemory.
  struct Rate {
    double failed = 0;
    double answered = 0;
    MonotonicTime faded_at;
  };

  static double FadeTo(const Rate& rate, MonotonicTime now);
  void ForgetOld(MonotonicTime now);

  double threshold_;
  std::unordered_map<BackendHash, Rate> rates_;
  MonotonicTime next_forget_ = MonotonicTime::min();
};

}  // namespace juniperway::observation
