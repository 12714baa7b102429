// Tests when a router suspects a backend because of other routers' reports.
#include "common/observation/shared_failures.h"

#include <doctest/doctest.h>

#include <vector>

#include "common/observation/observation_log.h"

namespace juniperway::observation {
namespace {

constexpr MonotonicTime kStart{seconds(100)};
constexpr BackendHash kBackend = 7;

TEST_CASE("one router's report weighs less and expires sooner") {
  SharedFailures failures(1);
  failures.Add({.backend = kBackend, .failed = 1}, kStart);
  CHECK(failures.SuspicionOf(kBackend, kStart) == 0.5);
  CHECK(failures.SuspicionOf(kBackend, kStart + seconds(1)) > 0);
  CHECK(failures.SuspicionOf(kBackend, kStart + seconds(9)) == 0);
  failures.Add({.backend = kBackend + 1, .failed = 2}, kStart);
  CHECK(failures.SuspicionOf(kBackend + 1, kStart) == doctest::Approx(2.0 / 3));
  CHECK(failures.SuspicionOf(kBackend + 1, kStart + seconds(7)) > 0);
  CHECK(failures.SuspicionOf(kBackend + 1, kStart + seconds(15)) == 0);
}

TEST_CASE("routers do not clear a suspicion all at once") {
  std::vector<int> suspecting(10);
  for (std::uint64_t router = 0; router < 1000; ++router) {
    SharedFailures failures(router);
    failures.Add({.backend = kBackend, .failed = 1}, kStart);
    for (std::size_t second = 0; second < suspecting.size(); ++second) {
      const MonotonicTime now = kStart + static_cast<int>(second) * seconds(1);
      suspecting[second] += failures.SuspicionOf(kBackend, now) > 0 ? 1 : 0;
    }
  }
  CHECK(suspecting.front() == 1000);
  CHECK(suspecting.back() == 0);
  for (std::size_t second = 1; second < suspecting.size(); ++second) {
    // If the number of suspecting routers decreased evenly, a tenth of them
    // would clear the suspicion each second.
    CHECK(suspecting[second - 1] - suspecting[second] <= 250);
  }
}

TEST_CASE("answers clear the suspicion of a backend") {
  SharedFailures failures(1);
  failures.Add({.backend = kBackend, .failed = 4}, kStart);
  failures.Add({.backend = kBackend, .answered = 4}, kStart);
  CHECK(failures.SuspicionOf(kBackend, kStart) == doctest::Approx(4.0 / 9));
  failures.Add({.backend = kBackend, .answered = 12}, kStart);
  CHECK(failures.SuspicionOf(kBackend, kStart) == 0);
}

TEST_CASE("backends without failures are not stored") {
  SharedFailures failures(1);
  failures.Add({.backend = kBackend, .answered = 9}, kStart);
  CHECK(failures.size() == 0);
  CHECK_FALSE(failures.HasFailures(kBackend));
  failures.Add({.backend = kBackend, .failed = 9}, kStart);
  CHECK(failures.HasFailures(kBackend));
  failures.Add({.backend = kBackend + 1, .failed = 1},
               kStart + 10 * kObservationDecayTime);
  CHECK_FALSE(failures.HasFailures(kBackend));
}

TEST_CASE("observations of other backends cause no suspicion") {
  SharedFailures failures(1);
  for (BackendHash backend = 0; backend < 1000; ++backend) {
    failures.Add({.backend = backend, .failed = 255}, kStart);
  }
  CHECK(failures.SuspicionOf(1000, kStart) == 0);
}

}  // namespace
}  // namespace juniperway::observation
