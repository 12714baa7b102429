// Tests the first start of a group. Guards against a group that never forms
// because one of its first voters was killed before it had a store and came
// back under another id.
#include <doctest/doctest.h>

#include "unit/raft/group.h"

namespace juniperway::raft {
namespace {

using Commands = std::vector<std::string>;

constexpr NodeId kMissing = 3;

Group StartWithoutOne(bool ids_outlive_disks) {
  Options options;
  options.ids_outlive_disks = ids_outlive_disks;
  Group group({1, 2, kMissing}, options);
  group.down = {kMissing};
  return group;
}

TEST_CASE("Without a founder a group forms, and another node replaces it") {
  Group group = StartWithoutOne(/*ids_outlive_disks=*/false);
  const NodeId leader = group.RunUntilLeader();
  REQUIRE(leader != kNoNode);
  REQUIRE(group[leader].Propose("first", group.now));
  group.Settle();
  CHECK(group.nodes.at(3 - leader).applied == Commands{"first"});
  group.Start(4);
  REQUIRE(group[leader].AddLearner(MakeMember(4), group.now));
  group.Run(seconds(1));
  REQUIRE(group[leader].PromoteLearner(4, group.now));
  group.Settle();
  REQUIRE(group[leader].RemoveMember(kMissing, group.now));
  group.Run(seconds(1));
  CHECK(group[leader].GetStatus().tolerated_losses == 1);
  CHECK(group.nodes.at(4).applied == Commands{"first"});
}

TEST_CASE("A founder that is late follows the leader that it did not elect") {
  Group group = StartWithoutOne(/*ids_outlive_disks=*/false);
  const NodeId leader = group.RunUntilLeader();
  REQUIRE(group[leader].Propose("first", group.now));
  group.Settle();
  group.down.clear();
  group.Start(kMissing);
  group.Run(seconds(1));
  CHECK_FALSE(group[kMissing].HasLostData());
  CHECK(group.nodes.at(kMissing).applied == Commands{"first"});
}

TEST_CASE("Where ids outlive disks, the first election needs all founders") {
  Group group = StartWithoutOne(/*ids_outlive_disks=*/true);
  group.Run(seconds(20));
  CHECK(group.Leader() == kNoNode);
  group.down.clear();
  group.Start(kMissing);
  CHECK(group.RunUntilLeader() != kNoNode);
}

}  // namespace
}  // namespace juniperway::raft
