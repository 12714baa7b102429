// What control machines pass on of their daemons' observations, counted.
#include "common/observation/observation_relay.h"

#include <doctest/doctest.h>

#include <vector>

namespace juniperway::observation {
namespace {

TEST_CASE("what is told grows with back ends that fail, not with routers") {
  constexpr std::size_t kMachines = 24;
  constexpr BackendHash kFailing = 150;
  for (const std::size_t routers : {100U, 300U, 1000U}) {
    CAPTURE(routers);
    std::vector<ObservationRelay> machines(kMachines);
    for (std::size_t router = 0; router < routers; ++router) {
      BackendObservations report;
      for (BackendHash backend = 0; backend < kFailing; ++backend) {
        report.push_back({.backend = backend, .failed = 1});
      }
      machines[router % kMachines].OnReport(report);
    }
    std::vector<BackendObservations> digests;
    digests.reserve(kMachines);
    for (ObservationRelay& machine : machines) {
      digests.push_back(machine.TakeForMachines());
      CHECK(digests.back().size() == kFailing);
    }
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      for (std::size_t other = 0; other < kMachines; ++other) {
        if (other != machine) {
          machines[machine].OnDigest(digests[other]);
        }
      }
      CHECK(machines[machine].TakeForDaemons().size() == kFailing);
      // A digest is not passed on to other machines again.
      CHECK_FALSE(machines[machine].has_news());
    }
  }
}

TEST_CASE("a digest is bounded, and what does not fit is not lost") {
  ObservationRelay relay;
  BackendObservations report;
  for (BackendHash backend = 0; backend < 3 * kMostEntries; ++backend) {
    report.push_back({.backend = backend, .failed = 1});
  }
  relay.OnReport(report);
  relay.TakeForMachines();
  CHECK(relay.TakeForDaemons().front().backend == 0);
  CHECK(relay.TakeForDaemons().front().backend == kMostEntries);
  CHECK(relay.TakeForDaemons().size() == kMostEntries);
  CHECK(relay.TakeForDaemons().empty());
}

TEST_CASE("counts of one back end add up and end at the most") {
  ObservationQueue queue;
  for (int router = 0; router < 300; ++router) {
    queue.Add({.backend = 7, .failed = 1, .answered = 0});
  }
  queue.Add({.backend = 7, .failed = 0, .answered = 2});
  const BackendObservations taken = queue.Take(10);
  REQUIRE(taken.size() == 1);
  CHECK(taken.front() ==
        BackendObservation{.backend = 7, .failed = 255, .answered = 2});
}

}  // namespace
}  // namespace juniperway::observation
