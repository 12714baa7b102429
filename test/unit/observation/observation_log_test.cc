// What one router tells of back ends, and how often.
#include "common/observation/observation_log.h"

#include <doctest/doctest.h>

namespace juniperway::observation {
namespace {

constexpr MonotonicTime kStart{seconds(100)};
constexpr std::size_t kAll = 100;

TEST_CASE("a router is one witness of a back end, however often it asks") {
  ObservationLog log;
  for (int attempt = 0; attempt < 50; ++attempt) {
    log.OnFailed(7, kStart + attempt * milliseconds(100));
    log.OnAnswered(7, kStart + attempt * milliseconds(100));
  }
  const BackendObservations told = log.Take(kAll, kStart);
  REQUIRE(told.size() == 2);
  CHECK(told[0] == BackendObservation{.backend = 7, .failed = 1});
  CHECK(told[1] == BackendObservation{.backend = 7, .answered = 1});
  CHECK_FALSE(log.has_news());
}

TEST_CASE("what goes on failing is told again once it fades") {
  ObservationLog log;
  log.OnFailed(7, kStart);
  log.OnFailed(7, kStart + kMemory - microseconds(1));
  CHECK(log.Take(kAll, kStart).size() == 1);
  log.OnFailed(7, kStart + kMemory);
  CHECK(log.Take(kAll, kStart + kMemory).size() == 1);
}

TEST_CASE("what does not fit into one report comes with the next") {
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
