#include "sim/control/control_checker.h"

#include <doctest/doctest.h>

namespace juniperway::sim {
namespace {

const resources::ResourceId kBackend{resources::Kind::kBackend, "b"};

ControlPromise Broken(const ControlChecker& checker) {
  REQUIRE(checker.violation().has_value());
  return checker.violation()->promise;
}

TEST_CASE("Two states at one index are found") {
  ControlChecker checker;
  checker.ObserveApplied(3, 10);
  checker.ObserveApplied(3, 10);
  CHECK(!checker.violation());
  SUBCASE("applied") { checker.ObserveApplied(3, 11); }
  SUBCASE("in a snapshot") {
    checker.ObserveSnapshot(3, 10);
    checker.ObserveSnapshot(3, 11);
  }
  CHECK(Broken(checker) == ControlPromise::kSameState);
}

TEST_CASE("Faults with changes are found") {
  ControlChecker checker;
  checker.ObserveAccepted({"c1", kBackend, 4, 7});
  checker.ObserveAccepted({"c1", kBackend, 4, 7});  // a resend
  checker.ObserveFinal(kBackend, 7);
  CHECK(!checker.violation());
  SUBCASE("a second effect") {
    checker.ObserveAccepted({"c1", kBackend, 4, 8});
    CHECK(Broken(checker) == ControlPromise::kOneEffect);
  }
  SUBCASE("a second winner") {
    checker.ObserveAccepted({"c2", kBackend, 4, 8});
    CHECK(Broken(checker) == ControlPromise::kOneWinner);
  }
  SUBCASE("a lost change") {
    checker.ObserveFinal(kBackend, 6);
    CHECK(Broken(checker) == ControlPromise::kAcceptedKept);
  }
}

TEST_CASE("Faults with views and watermarks are found") {
  ControlChecker checker;
  checker.ObserveTaken("d1", 5, 50);
  checker.ObserveTaken("d2", 5, 50);
  checker.ObserveInForce(5);
  checker.ObserveReleased("z", 4);
  checker.ObserveLeased({"d1", "z", true, 5, 4});
  CHECK(!checker.violation());
  SUBCASE("a revision that falls") {
    checker.ObserveTaken("d1", 4, 40);
    CHECK(Broken(checker) == ControlPromise::kNeverReverts);
  }
  SUBCASE("another content") {
    checker.ObserveTaken("d3", 5, 51);
    CHECK(Broken(checker) == ControlPromise::kSameView);
  }
  SUBCASE("a daemon behind what is in force") {
    checker.ObserveLeased({"d2", "z", true, 4, 4});
    CHECK(Broken(checker) == ControlPromise::kInForceTrue);
  }
  SUBCASE("a gateway behind what is released") {
    checker.ObserveLeased({"d2", "z", true, 5, 3});
    CHECK(Broken(checker) == ControlPromise::kReleasedTrue);
  }
}

TEST_CASE("Two owners and a claim granted twice are found") {
  ControlChecker checker;
  checker.ObserveUse("b", "d1", {});
  checker.ObserveGranted("r", "a1");
  CHECK(!checker.violation());
  SUBCASE("owners") {
    checker.ObserveUse("b", "d2", {"d1"});
    CHECK(Broken(checker) == ControlPromise::kOneOwner);
  }
  SUBCASE("grants") {
    checker.ObserveGranted("r", "a2");
    CHECK(Broken(checker) == ControlPromise::kClaimOnce);
  }
}

}  // namespace
}  // namespace juniperway::sim
