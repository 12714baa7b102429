// A voter that lost its disk forgot what it acknowledged and whom it elected.
// It must not help to elect anybody, and must say so instead of catching up.
#include <doctest/doctest.h>

#include "unit/raft/group.h"

namespace juniperway::raft {
namespace {

using Commands = std::vector<std::string>;

// Node 3 holds a command together with the leader, and loses its disk.
struct Loss {
  Loss() : leader(group.RunUntilLeader()) {
    lost = leader % 3 + 1;
    behind = 6 - leader - lost;
    group.Isolate(behind);
    REQUIRE(group[leader].Propose("kept", group.now));
    group.Settle();
    REQUIRE(group.nodes.at(leader).applied == Commands{"kept"});
    group.nodes.at(lost).disk = {};
    group.nodes.at(lost).disk.snapshot.configuration =
        MakeConfiguration({1, 2, 3});
    group.Start(lost);
    group.cut.clear();
  }

  Group group{{1, 2, 3}};
  NodeId leader;
  NodeId lost = kNoNode;
  NodeId behind = kNoNode;
};

TEST_CASE("A voter that lost its disk elects nobody who lacks what it had") {
  Loss loss;
  loss.group.down = {loss.leader};
  loss.group.Run(seconds(20));
  CHECK(loss.group.Leader() == kNoNode);
  // The one that still holds the command brings it back.
  loss.group.down.clear();
  loss.group.Start(loss.leader);
  CHECK(loss.group.RunUntilLeader() == loss.leader);
  CHECK(loss.group.nodes.at(loss.behind).applied == Commands{"kept"});
}

TEST_CASE("A voter that lost its disk reports it and takes nothing") {
  Loss loss;
  loss.group.Run(seconds(1));
  CHECK(loss.group[loss.lost].HasLostData());
  CHECK(loss.group[loss.lost].GetStatus().last == 0);
  // The others go on, and it is replaced under a new id.
  REQUIRE(loss.group.Leader() == loss.leader);
  Fsm& leader = loss.group[loss.leader];
  CHECK(leader.GetStatus().tolerated_losses == 0);
  REQUIRE(leader.RemoveMember(loss.lost, loss.group.now));
  loss.group.Settle();
  loss.group.Start(4);
  REQUIRE(leader.AddLearner(MakeMember(4), loss.group.now));
  loss.group.Run(seconds(1));
  REQUIRE(leader.PromoteLearner(4, loss.group.now));
  loss.group.Run(seconds(1));
  CHECK(leader.GetStatus().tolerated_losses == 1);
  CHECK_FALSE(loss.group[4].HasLostData());
}

TEST_CASE("A machine that was added later and lost its disk reports it too") {
  Group group({1});
  group.RunUntilLeader();
  group.Start(2);
  REQUIRE(group[1].AddLearner(MakeMember(2), group.now));
  group.Run(seconds(1));
  REQUIRE(group[1].PromoteLearner(2, group.now));
  group.Run(seconds(1));
  REQUIRE(group[1].Propose("kept", group.now));
  group.Settle();
  group.nodes.at(2).disk = {};
  group.Start(2);
  group.Run(seconds(1));
  CHECK(group[2].HasLostData());
  CHECK(group[2].GetStatus().last == 0);
}

TEST_CASE("The first election takes every founder, later ones a quorum") {
  Group group({1, 2, 3});
  group.down = {3};
  group.Run(seconds(20));
  CHECK(group.Leader() == kNoNode);
  group.down.clear();
  group.RunUntilLeader();
  group.down = {group.Leader()};
  group.RunUntilLeader();
  for (const auto& [id, node] : group.nodes) {
    CHECK_FALSE(node.fsm->HasLostData());
  }
}

TEST_CASE("A first leader that falls before its first append can come back") {
  Group group({1, 2, 3});
  NodeId first = kNoNode;
  // Its appends are lost, the votes for it were not.
  while (first == kNoNode) {
    group.now += milliseconds(10);
    for (NodeId id = 1; id <= 3 && first == kNoNode; ++id) {
      group[id].Tick(group.now);
      for (NodeId from = 1; from <= 3; ++from) {
        for (const Message& message : group.Drive(from)) {
          const bool append = message.kind == MessageKind::kAppend;
          append ? static_cast<void>(0) : group.Deliver(message);
        }
        first = group[from].GetStatus().role == Role::kLeader ? from : first;
      }
    }
  }
  group.Drive(first);
  group.down = {first};
  group.Run(seconds(5));
  CHECK(group.Leader() == kNoNode);
  group.down.clear();
  group.Start(first);
  group.RunUntilLeader();
}

}  // namespace
}  // namespace juniperway::raft
