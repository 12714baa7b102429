// Each invariant's checker accepts a right history and rejects one planted
// defect in it.
#include "sim/raft_checker.h"

#include <doctest/doctest.h>

namespace juniperway::sim {
namespace {

raft::Entry MakeEntry(raft::Index index, raft::Term term,
                      const std::string& data) {
  return raft::Entry{term, index, raft::EntryKind::kCommand, data};
}

raft::InitialState MakeLog(std::vector<raft::Entry> entries) {
  raft::InitialState log;
  log.entries = std::move(entries);
  return log;
}

// Two committed entries, the second one accepted.
RaftChecker MakeHistory() {
  RaftChecker checker;
  checker.ObserveLeader(1, 1, MakeLog({}));
  for (const raft::Entry& entry :
       {MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b")}) {
    checker.ObserveAppend(entry, entry.index - 1);
    checker.ObserveApplied(1, 1, entry);
    checker.ObserveApplied(2, 1, entry);
  }
  checker.ObserveAccepted(2);
  checker.ObserveLeases({{1, 2}});
  checker.ObserveLeader(2, 2,
                        MakeLog({MakeEntry(1, 1, "a"), MakeEntry(2, 1, "b")}));
  checker.ObserveFinal(1, 2);
  return checker;
}

TEST_CASE("A right history passes and every invariant was checked") {
  const RaftChecker checker = MakeHistory();
  CHECK_FALSE(checker.violation());
  CHECK(checker.checks().size() == 7);
}

TEST_CASE("Each planted defect is found") {
  RaftChecker checker = MakeHistory();
  RaftInvariant expected = RaftInvariant::kElectionSafety;
  SUBCASE("two leaders in a term") { checker.ObserveLeader(3, 2, MakeLog({})); }
  SUBCASE("different entries at one position") {
    expected = RaftInvariant::kLogMatching;
    checker.ObserveAppend(MakeEntry(2, 1, "other"), 1);
  }
  SUBCASE("one entry behind different terms") {
    expected = RaftInvariant::kLogMatching;
    checker.ObserveAppend(MakeEntry(2, 1, "b"), 0);
  }
  SUBCASE("a leader without a committed entry") {
    expected = RaftInvariant::kLeaderCompleteness;
    checker.ObserveLeader(3, 3, MakeLog({MakeEntry(1, 1, "a")}));
  }
  SUBCASE("another entry applied") {
    expected = RaftInvariant::kStateMachineSafety;
    checker.ObserveApplied(3, 2, MakeEntry(2, 2, "c"));
  }
  SUBCASE("an entry skipped") {
    expected = RaftInvariant::kStateMachineSafety;
    checker.ObserveApplied(3, 2, MakeEntry(4, 2, "c"));
  }
  SUBCASE("another state restored") {
    expected = RaftInvariant::kStateMachineSafety;
    checker.ObserveRestored(3, 2, 12345);
  }
  SUBCASE("two leases") {
    expected = RaftInvariant::kLeaseSafety;
    checker.ObserveLeases({{1, 2}, {2, 2}});
  }
  SUBCASE("a lease holder that would read old state") {
    expected = RaftInvariant::kLeaseReads;
    checker.ObserveLeases({{2, 1}});
  }
  SUBCASE("an accepted command lost at the end") {
    expected = RaftInvariant::kAcceptedKept;
    checker.ObserveFinal(3, 1);
  }
  REQUIRE(checker.violation());
  CHECK(checker.violation()->invariant == expected);
}

}  // namespace
}  // namespace juniperway::sim
