// Which control machine a session goes to, and when it tries a nearer one.
#include "common/session/endpoint_preference.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace juniperway::session {
namespace {

constexpr std::size_t kNear = 1;
const PreferenceTiming kTiming;
const MonotonicTime kStart(seconds(100));

// Of three machines, one in the daemon's zone; the session is at another.
EndpointPreference MakeAtFarOne(std::uint64_t seed) {
  EndpointPreference preference(kTiming, 3, seed);
  if (preference.current() == kNear) {
    preference.OnFailed(kStart);
  }
  preference.SetLocality(kNear, Locality::kSameZone, kStart);
  return preference;
}

TEST_CASE("failures lead through all machines, in an order of each daemon") {
  std::set<std::size_t> first_ones;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EndpointPreference preference(kTiming, 3, seed);
    first_ones.insert(preference.current());
    std::set<std::size_t> seen;
    for (int i = 0; i < 3; ++i) {
      seen.insert(preference.current());
      preference.OnFailed(kStart);
    }
    CHECK(seen.size() == 3);
  }
  CHECK(first_ones.size() == 3);
}

// Sessions at each machine, of daemons over six zones with four machines each.
// Three machines are known from the settings; the others are announced in the
// same order to all.
std::map<std::size_t, std::size_t> SessionsByMachine(std::size_t daemons) {
  constexpr std::size_t kZones = 6;
  constexpr std::size_t kMachines = 24;
  std::map<std::size_t, std::size_t> sessions;
  for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
    EndpointPreference preference(kTiming, 3, daemon + 1);
    for (std::size_t machine = 3; machine < kMachines; ++machine) {
      preference.Add();
    }
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      const bool near = machine % kZones == daemon % kZones;
      preference.SetLocality(
          machine, near ? Locality::kSameZone : Locality::kOtherRegion, kStart);
    }
    preference.MoveToNearest();
    CHECK(preference.current() % kZones == daemon % kZones);
    ++sessions[preference.current()];
  }
  return sessions;
}

TEST_CASE("daemons of a zone share its control machines, however many") {
  for (const std::size_t daemons : {96U, 300U, 1000U}) {
    CAPTURE(daemons);
    const auto sessions = SessionsByMachine(daemons);
    CHECK(sessions.size() == 24);
    std::size_t most = 0;
    for (const auto& [machine, count] : sessions) {
      most = std::max(most, count);
    }
    // A machine's mean, doubled: 24 draws of four hardly ever give more.
    CHECK(most <= 2 * daemons / 24 + 4);
  }
}

TEST_CASE("without anything to lose a daemon goes to a nearest machine") {
  EndpointPreference preference = MakeAtFarOne(3);
  CHECK(preference.MoveToNearest());
  CHECK(preference.current() == kNear);
  CHECK_FALSE(preference.in_trial());
  CHECK_FALSE(preference.MoveToNearest());
}

TEST_CASE("while no place is known nothing is nearer") {
  EndpointPreference preference(kTiming, 3, 1);
  CHECK_FALSE(preference.IsTrialDue(kStart + seconds(1000)));
}

TEST_CASE("a session that is well moves to the machine of its zone and stays") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    EndpointPreference preference = MakeAtFarOne(seed);
    const MonotonicTime due = kStart + kTiming.first_pause;
    REQUIRE(preference.IsTrialDue(due));
    preference.BeginTrial();
    CHECK(preference.current() == kNear);
    CHECK(preference.in_trial());
    preference.OnGranted();
    CHECK_FALSE(preference.in_trial());
    CHECK_FALSE(preference.IsTrialDue(due + seconds(1000)));
  }
}

TEST_CASE("a trial that fails leads back and doubles the pause up to a limit") {
  EndpointPreference preference = MakeAtFarOne(3);
  const std::size_t had = preference.current();
  MonotonicTime now = kStart + kTiming.first_pause;
  Duration pause = kTiming.first_pause;
  for (int trial = 0; trial < 8; ++trial) {
    REQUIRE(preference.IsTrialDue(now));
    preference.BeginTrial();
    preference.OnFailed(now);
    CHECK(preference.current() == had);
    pause = std::min(pause * 2, kTiming.longest_pause);
    CHECK_FALSE(preference.IsTrialDue(now + pause / 2 - microseconds(1)));
    now += pause;
  }
}

TEST_CASE("a machine that has just failed is not tried again at once") {
  EndpointPreference preference = MakeAtFarOne(3);
  preference.BeginTrial();
  preference.OnGranted();
  preference.OnFailed(kStart);
  CHECK(preference.current() != kNear);
  CHECK_FALSE(preference.IsTrialDue(kStart + kTiming.first_pause / 2 -
                                    microseconds(1)));
  CHECK(preference.IsTrialDue(kStart + kTiming.first_pause));
}

TEST_CASE("of several that are nearer each is tried in turn") {
  EndpointPreference preference(kTiming, 4, 1);
  const std::size_t had = preference.current();
  const std::size_t in_zone = (had + 1) % 4;
  const std::size_t in_region = (had + 2) % 4;
  preference.SetLocality(in_region, Locality::kSameRegion, kStart);
  preference.SetLocality(in_zone, Locality::kSameZone, kStart);
  preference.BeginTrial();
  CHECK(preference.current() == in_zone);
  preference.OnFailed(kStart);
  preference.BeginTrial();
  CHECK(preference.current() == in_region);
  preference.OnGranted();
  // In its region now: only the one of its zone is nearer.
  CHECK(preference.IsTrialDue(kStart + kTiming.longest_pause));
  preference.BeginTrial();
  CHECK(preference.current() == in_zone);
}

TEST_CASE("a machine that becomes known later can be the nearest") {
  EndpointPreference preference(kTiming, 1, 1);
  preference.Add();
  preference.SetLocality(1, Locality::kSameZone, kStart);
  CHECK(preference.IsTrialDue(kStart + kTiming.settle));
}

}  // namespace
}  // namespace juniperway::session
