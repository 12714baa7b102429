// Tests what one router reports about backends, and how often.
#include "common/observation/observation_log.h"

#include <doctest/doctest.h>

namespace juniperway::observation {
namespace {

constexpr MonotonicTime kStart{seconds(100)};
constexpr std::size_t kAll = 100;

TEST_CASE("a router reports a backend once for any number of attempts") {
  ObservationLog log;
  for (int attempt = 0; attempt < 50; ++attempt) {
    log.OnFailed(7, kStart + attempt * milliseconds(100));
    log.OnAnswered(7, kStart + attempt * milliseconds(100));
  }
  const BackendObservations reported = log.Take(kAll, kStart);
  REQUIRE(reported.size() == 2);
  CHECK(reported[0] == BackendObservation{.backend = 7, .failed = 1});
  CHECK(reported[1] == BackendObservation{.backend = 7, .answered = 1});
  CHECK_FALSE(log.has_pending());
}

TEST_CASE("a backend that keeps failing is reported again after 8 s") {
  ObservationLog log;
  log.OnFailed(7, kStart);
  log.OnFailed(7, kStart + kObservationDecayTime - microseconds(1));
  CHECK(log.Take(kAll, kStart).size() == 1);
  log.OnFailed(7, kStart + kObservationDecayTime);
  CHECK(log.Take(kAll, kStart + kObservationDecayTime).size() == 1);
}

TEST_CASE("observations beyond the maximum come with the next report") {
  ObservationLog log;
  for (BackendHash backend = 0; backend < 5; ++backend) {
    log.OnFailed(backend, kStart);
  }
  CHECK(log.Take(3, kStart).size() == 3);
  const BackendObservations rest = log.Take(3, kStart);
  REQUIRE(rest.size() == 2);
  CHECK(rest[0].backend == 3);
  CHECK(rest[1].backend == 4);
}

}  // namespace
}  // namespace juniperway::observation
