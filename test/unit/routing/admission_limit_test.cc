// Tests when and by how much AdmissionLimit decreases the limit, and how the
// limit grows again.
#include "common/routing/admission_limit.h"

#include <doctest/doctest.h>

namespace juniperway::routing {
namespace {

using LoadEvidence = AdmissionLimit::LoadEvidence;

MonotonicTime At(int ms) { return MonotonicTime(milliseconds(ms)); }

void Begin(AdmissionLimit& limit, int count) {
  for (int i = 0; i < count; ++i) {
    limit.OnQueryStarted();
  }
}

void EndAll(AdmissionLimit& limit, int count, LoadEvidence end,
            MonotonicTime began, MonotonicTime now) {
  for (int i = 0; i < count; ++i) {
    limit.OnQueryEnded(end, began, now);
  }
}

}  // namespace

TEST_CASE(
    "one overload lowers the limit once, to a share of the running queries") {
  AdmissionLimit limit;
  Begin(limit, 102);
  CHECK(limit.CanStartQuery());
  EndAll(limit, 52, LoadEvidence::kOverloaded, At(0), At(10));
  // 100 queries ran when the third overloaded one ended.
  CHECK(limit.limit() == 80);
  // Queries begun after the decrease were overloaded, too: the limit decreases
  // again.
  Begin(limit, 32);
  CHECK(!limit.CanStartQuery());
  EndAll(limit, 3, LoadEvidence::kOverloaded, At(10), At(20));
  CHECK(limit.limit() == 64);
}

TEST_CASE("occasional sheds do not lower the limit") {
  AdmissionLimit limit;
  Begin(limit, 10);
  for (int i = 0; i < 10'000; ++i) {
    const bool shed = i % 30 == 0;
    limit.OnQueryEnded(shed ? LoadEvidence::kOverloaded : LoadEvidence::kServed,
                       At(i), At(i + 1));
    Begin(limit, 1);
  }
  CHECK(limit.limit() == AdmissionLimit::kMaximumLimit);
}

TEST_CASE("the limit has a minimum, and grows only while it is in use") {
  AdmissionLimit limit;
  for (int ms = 0; ms < 100; ++ms) {
    Begin(limit, 1);
    limit.OnQueryEnded(LoadEvidence::kOverloaded, At(ms), At(ms));
  }
  CHECK(limit.limit() == AdmissionLimit::kMinimumLimit);
  CHECK(limit.CanStartQuery());
  // One running query uses too little of the limit for it to grow.
  Begin(limit, 1);
  limit.OnQueryEnded(LoadEvidence::kServed, At(200), At(201));
  CHECK(limit.limit() == AdmissionLimit::kMinimumLimit);
  Begin(limit, 4);
  CHECK(!limit.CanStartQuery());
  for (int i = 0; i < 1000; ++i) {
    limit.OnQueryEnded(LoadEvidence::kServed, At(300), At(301));
    Begin(limit, 1);
  }
  CHECK(limit.limit() > 2 * AdmissionLimit::kMinimumLimit - 1);
  CHECK(limit.running() == 4);
}

TEST_CASE(
    "queries that end without evidence about load do not change the limit") {
  AdmissionLimit limit;
  Begin(limit, 10);
  EndAll(limit, 10, LoadEvidence::kOther, At(0), At(1));
  CHECK(limit.limit() == AdmissionLimit::kMaximumLimit);
  CHECK(limit.running() == 0);
}

}  // namespace juniperway::routing
