// How carefully a router handles requests under which back ends ended.
#include "common/forwarding/crash_guard.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace juniperway::forwarding {
namespace {

constexpr RequestFingerprint kRequest{7};
constexpr MonotonicTime kNow{seconds(100)};

TEST_CASE("what the fleet says goes before what this router saw") {
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

TEST_CASE("a router acts on what it saw itself until it is told") {
  CrashGuard guard;
  guard.OnBackendsEnded(kRequest, {"a", "b"}, kNow);
  guard.OnBackendsEnded(kRequest, {"b"}, kNow);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
  guard.OnBackendsEnded(kRequest, {"c"}, kNow);
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kTrial);
  CHECK(guard.CautionFor(kRequest, kNow + CrashGuard::kMemory) ==
        Caution::kNone);
  CHECK(guard.OnSurvived(kRequest));
  CHECK(guard.CautionFor(kRequest, kNow) == Caution::kNone);
  CHECK_FALSE(guard.OnSurvived(kRequest));
}

TEST_CASE("what it remembers is bounded, and the oldest goes first") {
  CrashGuard guard;
  const std::vector<std::string> ended = {"a", "b", "c"};
  for (std::uint64_t value = 0; value <= CrashGuard::kMaximumRemembered;
       ++value) {
    guard.OnBackendsEnded({value}, ended, kNow + milliseconds(value));
  }
  const MonotonicTime later = kNow + seconds(2);
  CHECK(guard.CautionFor({0}, later) == Caution::kNone);
  CHECK(guard.CautionFor({1}, later) == Caution::kTrial);
  CHECK(guard.CautionFor({CrashGuard::kMaximumRemembered}, later) ==
        Caution::kTrial);
}

}  // namespace
}  // namespace juniperway::forwarding
