#include "common/owner/ejection.h"

#include <doctest/doctest.h>

namespace juniperway::owner {
namespace {

using Names = std::set<std::string>;

// Returns a view of one shard whose replicas are named r1, r2 and so on.
session::FleetView ViewOf(int replicas, double share) {
  session::FleetView view;
  view.services["logs"].maximum_ejected_share = share;
  for (int i = 1; i <= replicas; ++i) {
    resources::Backend backend;
    backend.service = "logs";
    backend.shards = {"north"};
    view.backends["r" + std::to_string(i)] = backend;
  }
  return view;
}

TEST_CASE("The only replica is never ejected") {
  const EjectionPolicy policy(ViewOf(1, 0.34), {"r1"});
  CHECK_FALSE(policy.MayEject("r1", {}));
}

TEST_CASE("The share bounds how many replicas are ejected at the same time") {
  const EjectionPolicy policy(ViewOf(6, 0.34), {"r1", "r2", "r3"});
  CHECK(policy.MayEject("r1", {}));
  CHECK(policy.MayEject("r2", {"r1"}));
  CHECK_FALSE(policy.MayEject("r3", {"r1", "r2"}));
  // As many open breakers as the share allows may stay open.
  CHECK(policy.MayEject("r1", {"r1", "r2"}));
  CHECK(policy.MayEject("r2", {"r1", "r2"}));
  CHECK_FALSE(policy.MayEject("r3", {"r1", "r2", "r3"}));
}

TEST_CASE("Backends of other shards or other owners do not count") {
  session::FleetView view = ViewOf(3, 0.34);
  view.backends["r2"].shards = {"south"};
  view.backends["r4"] = view.backends["r1"];
  view.backends["r5"] = view.backends["r1"];
  const EjectionPolicy policy(view, {"r1", "r2", "r3"});
  CHECK(policy.MayEject("r1", {"r2", "r4"}));
  CHECK_FALSE(policy.MayEject("r1", {"r3"}));
}

TEST_CASE("An unknown backend is not ejected") {
  const EjectionPolicy policy(ViewOf(3, 0.5), {"gone"});
  CHECK_FALSE(policy.MayEject("gone", {}));
}

}  // namespace
}  // namespace juniperway::owner
