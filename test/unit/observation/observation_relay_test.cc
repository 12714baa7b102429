// Tests how many observations control nodes forward from their daemons.
#include "common/observation/observation_relay.h"

#include <doctest/doctest.h>

#include <vector>

namespace juniperway::observation {
namespace {

TEST_CASE("digests grow with the failing backends, not with routers") {
  constexpr std::size_t kControlNodes = 24;
  constexpr BackendHash kFailing = 150;
  for (const std::size_t routers : {100U, 300U, 1000U}) {
    CAPTURE(routers);
    std::vector<ObservationRelay> relays(kControlNodes);
    for (std::size_t router = 0; router < routers; ++router) {
      BackendObservations report;
      for (BackendHash backend = 0; backend < kFailing; ++backend) {
        report.push_back({.backend = backend, .failed = 1});
      }
      relays[router % kControlNodes].OnReport(report);
    }
    std::vector<BackendObservations> digests;
    digests.reserve(kControlNodes);
    for (ObservationRelay& control_node : relays) {
      digests.push_back(control_node.TakeForControlNodes());
      CHECK(digests.back().size() == kFailing);
    }
    for (std::size_t receiver = 0; receiver < kControlNodes; ++receiver) {
      for (std::size_t sender = 0; sender < kControlNodes; ++sender) {
        if (sender != receiver) {
          relays[receiver].OnDigest(digests[sender]);
        }
      }
      CHECK(relays[receiver].TakeForDaemons().size() == kFailing);
      // A control node does not forward a digest to other control nodes.
      CHECK_FALSE(relays[receiver].has_queued());
    }
  }
}

TEST_CASE("a digest is bounded, and the next ones hold the rest") {
  ObservationRelay relay;
  BackendObservations report;
  for (BackendHash backend = 0; backend < 3 * kMaximumDigestEntries;
       ++backend) {
    report.push_back({.backend = backend, .failed = 1});
  }
  relay.OnReport(report);
  relay.TakeForControlNodes();
  CHECK(relay.TakeForDaemons().front().backend == 0);
  CHECK(relay.TakeForDaemons().front().backend == kMaximumDigestEntries);
  CHECK(relay.TakeForDaemons().size() == kMaximumDigestEntries);
  CHECK(relay.TakeForDaemons().empty());
}

TEST_CASE("counts of one backend add up and saturate") {
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
