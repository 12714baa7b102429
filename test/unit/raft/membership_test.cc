// A machine is replaced while the group works, and another one is lost at the
// worst moment; a leader that stood still does not answer from old state.
#include <doctest/doctest.h>

#include "unit/raft/group.h"

namespace juniperway::raft {
namespace {

using Commands = std::vector<std::string>;

// Steps until the leader says that `losses` voters may be lost.
void RunUntilTolerates(Group& group, NodeId leader, int losses) {
  for (int step = 0; step < 1000; ++step) {
    if (group[leader].GetStatus().tolerated_losses == losses) {
      return;
    }
    group.Run(milliseconds(10));
  }
  FAIL("the group was not repaired");
}

// A third machine is lost for good and replaced by node 4.
// @return the leader, the moment it reports the group as repaired.
NodeId ReplaceOne(Group& group) {
  const NodeId leader = group.RunUntilLeader();
  const NodeId dead = leader % 3 + 1;
  group.down = {dead};
  for (int i = 0; i < 300; ++i) {
    REQUIRE(group[leader].Propose("old", group.now));
  }
  group.Run(seconds(2));
  CHECK(group[leader].GetStatus().tolerated_losses == 0);
  REQUIRE(group[leader].RemoveMember(dead, group.now));
  group.Settle();
  group.Start(4);
  REQUIRE(group[leader].AddLearner(MakeMember(4), group.now));
  while (!group[leader].PromoteLearner(4, group.now)) {
    group.Run(milliseconds(10));
  }
  RunUntilTolerates(group, leader, 1);
  return leader;
}

TEST_CASE("The second machine may go the moment the group is repaired") {
  for (const bool lose_leader : {false, true}) {
    CAPTURE(lose_leader);
    Group group({1, 2, 3});
    const NodeId leader = ReplaceOne(group);
    const NodeId dead = *group.down.begin();
    const NodeId other = 6 - leader - dead;
    group.down.insert(lose_leader ? leader : other);
    const NodeId next = group.RunUntilLeader();
    REQUIRE(group[next].Propose("new", group.now));
    group.Settle();
    Commands expected(300, "old");
    expected.push_back("new");
    CHECK(group.nodes.at(next).applied == expected);
    CHECK(group.nodes.at(4).applied == expected);
  }
}

TEST_CASE("A learner is promoted only once it has caught up") {
  Group group({1, 2, 3});
  const NodeId leader = group.RunUntilLeader();
  // It hears the leader, but entries don't get through.
  group.drop = [](const Message& message) {
    return message.to == 4 && !message.entries.empty();
  };
  group.Start(4);
  REQUIRE(group[leader].AddLearner(MakeMember(4), group.now));
  REQUIRE(group[leader].Propose("a", group.now));
  group.Run(seconds(2));
  const auto refused = group[leader].PromoteLearner(4, group.now);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == ErrorCode::kUnavailable);
  CHECK(group[leader].GetStatus().configuration.voters.size() == 3);
  group.drop = nullptr;
  group.Run(seconds(1));
  CHECK(group[leader].PromoteLearner(4, group.now));
}

TEST_CASE("A snapshot gets through although most of its messages are lost") {
  Options options;
  options.kept_entries = 0;
  Group group({1, 2, 3}, options);
  const NodeId leader = group.RunUntilLeader();
  const NodeId slow = leader % 3 + 1;
  group.Isolate(slow);
  REQUIRE(group[leader].Propose("x", group.now));
  group.Settle();
  const Index applied = group[leader].GetStatus().applied;
  group[leader].Compacted(group[leader].MakeSnapshot(applied, "state").value());
  REQUIRE(group[leader].Propose("after", group.now));
  group.cut.clear();
  int transfers = 0;
  int answers = 0;
  group.drop = [&](const Message& message) {
    const bool transfer = message.kind == MessageKind::kInstallSnapshot;
    const bool answer = message.kind == MessageKind::kInstallSnapshotReply;
    return (transfer && ++transfers <= 3) || (answer && ++answers <= 2);
  };
  group.Run(seconds(20));
  CHECK(transfers >= 4);
  CHECK(group.nodes.at(slow).applied == Commands{"state", "after"});
  CHECK(group[leader].GetStatus().tolerated_losses == 1);
}

TEST_CASE("A leader that stood still does not serve reads when it wakes") {
  Group group({1, 2, 3});
  const NodeId frozen = group.RunUntilLeader();
  group.down = {frozen};
  const NodeId next = group.RunUntilLeader();
  REQUIRE(group[next].Propose("new", group.now));
  group.Settle();
  REQUIRE(group.nodes.at(next).applied == Commands{"new"});
  // It wakes, has heard nothing, and still takes itself for the leader.
  group.down.clear();
  REQUIRE(group[frozen].GetStatus().role == Role::kLeader);
  REQUIRE(group.nodes.at(frozen).applied.empty());
  CHECK_FALSE(group[frozen].HasLeaderLease(group.now));
  group.Run(seconds(1));
  CHECK(group.Leader() == next);
}

}  // namespace
}  // namespace juniperway::raft
