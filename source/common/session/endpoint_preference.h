// Which control machine a daemon's session goes to: the next one after a
// failure, and back to a nearer one while the session is well. Pure: time is an
// argument, randomness comes from the seed.
//
// A nearer machine is tried in a trial: the session goes there, and returns to
// the machine it had when that one does not renew the lease. Each trial that
// fails doubles the pause before the next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "common/base/locality.h"
#include "common/base/time.h"

namespace juniperway::session {

struct PreferenceTiming {
  // After it is first known where the machines stand, daemons move within this
  // time, not all at once.
  Duration settle = milliseconds(500);
  // Pause after a machine failed before a nearer one is tried, and its limit.
  // Each pause is drawn from [half, whole].
  Duration first_pause = seconds(5);
  Duration longest_pause = seconds(60);
};

class EndpointPreference {
 public:
  // @param count of machines known, at least 1. Until it is known where they
  //   stand, each is as good as another.
  EndpointPreference(const PreferenceTiming& timing, std::size_t count,
                     std::uint64_t seed);

  // One more is known: its index is the number of those known before.
  void Add();
  void SetLocality(std::size_t endpoint, Locality locality, MonotonicTime now);

  // Index of the machine to use.
  std::size_t current() const { return order_[position_]; }
  bool in_trial() const { return before_trial_.has_value(); }

  // For a daemon that has nothing to lose by leaving the current one: makes the
  // nearest one the current one, without a trial.
  // @return whether that is another one.
  bool MoveToNearest();

  // The current one could not be reached, is silent, or is of no use.
  void OnFailed(MonotonicTime now);
  // Makes the pause after the next OnFailed the longest one. For a machine that
  // renews the lease but sends no updates: a trial does not show whether it
  // does.
  void UseLongestPause();
  // The current one renewed the lease.
  void OnGranted();
  // Whether a nearer one is to be tried now.
  bool IsTrialDue(MonotonicTime now) const;
  // Makes a nearer one the current one. Only when IsTrialDue.
  void BeginTrial();

 private:
  // Indices of those that are nearer than the current one, nearest first.
  std::vector<std::size_t> NearerEndpoints() const;
  void Append();
  void Sort();
  void MoveTo(std::size_t endpoint);
  Duration Draw(Duration shortest, Duration longest);

  PreferenceTiming timing_;
  // Of pauses, and of the order of those known from the start.
  std::mt19937_64 random_;
  // Of the places of those that become known later: a daemon's pauses do not
  // depend on how many these are.
  std::mt19937_64 draw_random_;
  std::vector<Locality> localities_;
  // Order among those that are equally near, which each daemon draws for
  // itself: by the order in which they become known, all daemons of a zone
  // would go to the same one (651 connections of
  // 985 daemons at one of 24 machines,
  // simulated).
  std::vector<std::uint64_t> draws_;
  // Indices: nearest first, by their draws among equals.
  std::vector<std::size_t> order_;
  std::size_t position_ = 0;
  // During a trial: the one that the session goes back to when it fails.
  std::optional<std::size_t> before_trial_;
  std::size_t trials_ = 0;
  Duration pause_;
  MonotonicTime next_trial_ = MonotonicTime::min();
};

}  // namespace juniperway::session
