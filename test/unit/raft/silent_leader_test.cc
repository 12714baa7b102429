// A node that does not vote must not believe in a leader for good: a change of
// the membership that it misses may have removed it, and nobody tells it.
#include <doctest/doctest.h>

#include "unit/raft/group.h"

namespace juniperway::raft {
namespace {

// Upper bound of the time at which a node notices that its leader is silent.
constexpr Duration kNoticed = 2 * Options().election_timeout + milliseconds(10);

// Voters 1 to 3 and the learner 4.
struct GroupWithLearner {
  GroupWithLearner() {
    leader = group.RunUntilLeader();
    group.Start(kLearner);
    REQUIRE(group[leader].AddLearner(MakeMember(kLearner), group.now));
    group.Run(seconds(1));
    REQUIRE(learner().leader == leader);
  }

  Status learner() { return group[kLearner].GetStatus(); }

  static constexpr NodeId kLearner = 4;
  Group group{{1, 2, 3}};
  NodeId leader = kNoNode;
};

TEST_CASE("A learner that misses its promotion and removal knows no leader") {
  GroupWithLearner nodes;
  Group& group = nodes.group;
  group.Isolate(GroupWithLearner::kLearner);
  REQUIRE(group[nodes.leader].PromoteLearner(GroupWithLearner::kLearner,
                                             group.now));
  group.Run(seconds(1));
  REQUIRE(
      group[nodes.leader].RemoveMember(GroupWithLearner::kLearner, group.now));
  group.Run(seconds(1));
  group.cut.clear();
  group.Run(kNoticed);
  CHECK(nodes.learner().leader == kNoNode);
  CHECK(group.Leader() == nodes.leader);
}

TEST_CASE("A learner knows no leader once the leader is silent") {
  GroupWithLearner nodes;
  nodes.group.Isolate(GroupWithLearner::kLearner);
  nodes.group.Run(kNoticed);
  CHECK(nodes.learner().leader == kNoNode);
  CHECK(nodes.learner().role == Role::kFollower);
  // It asks nobody for votes, and finds the leader again.
  CHECK(nodes.learner().term == nodes.group[nodes.leader].GetStatus().term);
  nodes.group.cut.clear();
  nodes.group.Run(seconds(1));
  CHECK(nodes.learner().leader == nodes.leader);
}

TEST_CASE("A learner that hears its leader keeps it") {
  GroupWithLearner nodes;
  for (int step = 0; step < 1000; ++step) {
    nodes.group.Run(milliseconds(10));
    REQUIRE(nodes.learner().leader == nodes.leader);
  }
}

TEST_CASE("A learner asks to be woken when its leader may have fallen silent") {
  GroupWithLearner nodes;
  const Fsm& learner = nodes.group[GroupWithLearner::kLearner];
  CHECK(learner.NextDeadline() <= nodes.group.now + kNoticed);
  nodes.group.Isolate(GroupWithLearner::kLearner);
  nodes.group.Run(kNoticed);
  CHECK(learner.NextDeadline() == MonotonicTime::max());
}

}  // namespace
}  // namespace juniperway::raft
