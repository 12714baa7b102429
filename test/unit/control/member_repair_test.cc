// Tests which control node is promoted or removed next.
#include "common/control/member_repair.h"

#include <doctest/doctest.h>

namespace juniperway::control {
namespace {

// A group that node 1 leads. Tests change the progress of the other nodes.
struct Group {
  raft::Progress& Add(raft::NodeId id, bool voter, const std::string& address) {
    raft::Progress progress;
    progress.member = {id, address};
    progress.voter = voter;
    progress.active = true;
    progress.caught_up = true;
    status.progress.push_back(progress);
    auto& members =
        voter ? status.configuration.voters : status.configuration.learners;
    members.push_back(progress.member);
    return status.progress.back();
  }

  Group() {
    status.id = 1;
    status.role = raft::Role::kLeader;
    status.configuration.voters.push_back({1, "10.0.0.1:1"});
    status.progress.reserve(8);
    two = &Add(2, true, "10.0.0.2:1");
    three = &Add(3, true, "10.0.0.3:1");
  }

  std::string Next(Duration passed = Duration(0)) {
    now += passed;
    const auto step = repair.Next(status, now);
    if (!step) {
      return "";
    }
    if (const auto* promote = std::get_if<PromoteStep>(&*step)) {
      return "promote " + std::to_string(promote->id);
    }
    return "remove " + std::to_string(std::get<RemoveStep>(*step).id);
  }

  raft::Status status;
  raft::Progress* two = nullptr;
  raft::Progress* three = nullptr;
  MemberRepair repair{{.wanted_voters = 3}};
  MonotonicTime now{seconds(100)};
};

TEST_CASE("nothing changes while no voter is lost or no learner is ready") {
  Group group;
  CHECK(group.Next() == "");
  group.two->active = false;
  CHECK(group.Next() == "");
  CHECK(group.Next(seconds(60)) == "");
}

// A node that leads again has heard nobody yet. What it saw in an earlier term
// must not make it replace or remove members that are about to answer.
TEST_CASE("inactivity in an earlier term does not count") {
  Group group;
  group.status.term = 1;
  raft::Progress& learner = group.Add(4, false, "10.0.0.4:1");
  group.Add(5, false, "10.0.0.5:1");
  group.two->active = false;
  learner.active = false;
  REQUIRE(group.Next() == "");
  group.status.term = 3;
  CHECK(group.Next(seconds(60)) == "");
  group.two->active = true;
  learner.active = true;
  CHECK(group.Next(seconds(60)) == "");
  group.two->active = false;
  CHECK(group.Next() == "");
  CHECK(group.Next(seconds(2)) == "promote 5");
}

TEST_CASE("a learner stays one until a voter is lost, then replaces it") {
  Group group;
  group.Add(4, false, "10.0.0.4:1");
  CHECK(group.Next(seconds(5)) == "");
  group.two->active = false;
  CHECK(group.Next() == "");  // The voter may become active again soon.
  CHECK(group.Next(seconds(2)) == "promote 4");
  // The promotion is applied: there are four voters, one of them lost.
  group.status.progress[2].voter = true;
  group.status.configuration.voters.push_back({4, "10.0.0.4:1"});
  group.status.configuration.learners.clear();
  CHECK(group.Next() == "remove 2");
}

TEST_CASE(
    "a node that restarted without its data replaces its old member at once") {
  Group group;
  group.two->active = false;
  CHECK(group.Next() == "");
  group.Add(9, false, "10.0.0.2:1");
  CHECK(group.Next() == "promote 9");
}

TEST_CASE("a learner that has not caught up is not promoted") {
  Group group;
  group.two->active = false;
  group.Add(4, false, "10.0.0.4:1").caught_up = false;
  CHECK(group.Next() == "");
  CHECK(group.Next(seconds(5)) == "");
}

TEST_CASE("a group with too few voters promotes a learner") {
  Group group;
  group.repair = MemberRepair({.wanted_voters = 5});
  group.Add(4, false, "10.0.0.4:1");
  CHECK(group.Next() == "promote 4");
}

TEST_CASE("a learner that stays inactive is removed") {
  Group group;
  group.Add(4, false, "10.0.0.4:1").active = false;
  CHECK(group.Next() == "");
  CHECK(group.Next(seconds(5)) == "");
  CHECK(group.Next(seconds(20)) == "remove 4");
}

}  // namespace
}  // namespace juniperway::control
