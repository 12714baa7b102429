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
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kNone);
  view.crashing_requests[kRequest] = {.quarantined = false};
  guard.OnView(view);
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kTrial);
  view.crashing_requests[kRequest].quarantined = true;
  guard.OnView(view);
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kRefuse);
  CHECK(guard.quarantined() == 1);
  CHECK(guard.HandlingOf({8}, kNow) == RequestHandling::kNone);
  view.crashing_requests.erase(kRequest);
  guard.OnView(view);
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kNone);
}

TEST_CASE("a router uses its own observations until it gets a verdict") {
  CrashGuard guard;
  guard.OnBackendsCrashed(kRequest, {"a", "b"}, kNow);
  guard.OnBackendsCrashed(kRequest, {"b"}, kNow);
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kNone);
  guard.OnBackendsCrashed(kRequest, {"c"}, kNow);
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kTrial);
  CHECK(guard.HandlingOf(kRequest, kNow + CrashGuard::kObservationTimeToLive) ==
        RequestHandling::kNone);
  CHECK(guard.OnSurvived(kRequest));
  CHECK(guard.HandlingOf(kRequest, kNow) == RequestHandling::kNone);
  CHECK_FALSE(guard.OnSurvived(kRequest));
}

TEST_CASE("observations are bounded, and the oldest is evicted first") {
  CrashGuard guard;
  const std::vector<std::string> crashed = {"a", "b", "c"};
  for (std::uint64_t value = 0; value <= CrashGuard::kMaximumObservations;
       ++value) {
    guard.OnBackendsCrashed({value}, crashed, kNow + milliseconds(value));
  }
  const MonotonicTime later = kNow + seconds(2);
  CHECK(guard.HandlingOf({0}, later) == RequestHandling::kNone);
  CHECK(guard.HandlingOf({1}, later) == RequestHandling::kTrial);
  CHECK(guard.HandlingOf({CrashGuard::kMaximumObservations}, later) ==
        RequestHandling::kTrial);
}

}  // namespace
}  // namespace juniperway::forwarding
