// Tests how a router handles requests that crash backends.
#include "common/forwarding/crash_guard.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace juniperway::forwarding {
namespace {

constexpr RequestFingerprint kRequest{7};
constexpr MonotonicTime kNow{seconds(100)};

TEST_CASE("the verdicts of the fleet view take precedence") {
  CrashGuard guard;
  session::FleetView view;
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
  view.crashing_requests[kRequest] = {.quarantined = false};
  guard.OnView(view);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kTrial);
  view.crashing_requests[kRequest].quarantined = true;
  guard.OnView(view);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kRefuse);
  CHECK(guard.quarantined() == 1);
  CHECK(guard.CautionFor({8}, kNow) == Caution::kNone);
  view.crashing_requests.erase(kRequest);
  guard.OnView(view);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
}

TEST_CASE("a router uses its own observations until it gets a verdict") {
  CrashGuard guard;
  guard.OnBackendsEnded(kRequest, {"a", "b"}, kNow);
  guard.OnBackendsEnded(kRequest, {"b"}, kNow);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
  guard.OnBackendsEnded(kRequest, {"c"}, kNow);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kTrial);
  CHECK(guard.CautionFor(kRequest, kNow + CrashGuard::kObservationTimeToLive) ==
        Caution::kNone);
  CHECK(guard.OnSurvived(kRequest));
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
  CHECK_FALSE(guard.OnSurvived(kRequest));
}

TEST_CASE("observations are bounded, and the oldest is evicted first") {
  CrashGuard guard;
  const std::vector<std::string> crashed = {"a", "b", "c"};
  for (std::uint64_t value = 0; value <= CrashGuard::kMaximumObservations;
       ++value) {
    guard.OnBackendsEnded({value}, crashed, kNow + milliseconds(value));
  }
  const MonotonicTime later = kNow + seconds(2);
  CHECK(guard.CautionFor({0}, later) == Caution::kNone);
  CHECK(guard.CautionFor({1}, later) == Caution::kTrial);
  CHECK(guard.CautionFor({CrashGuard::kMaximumObservations}, later) ==
        Caution::kTrial);
}

}  // namespace
}  // namespace juniperway::forwarding
