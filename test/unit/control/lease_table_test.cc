// Tests which shares of the daemons with a lease have reached a revision.
#include "common/control/lease_table.h"

#include <doctest/doctest.h>

namespace juniperway::control {
namespace {

constexpr std::uint64_t kTerm = 3;

session::Member MakeMember(const std::string& name, std::uint64_t incarnation) {
  session::Member member;
  member.daemon_id = name;
  member.incarnation = incarnation;
  member.router = true;
  return member;
}

HeartbeatFacts Heartbeat(const std::string& name, std::uint64_t incarnation,
                         resources::Revision confirmed) {
  HeartbeatFacts facts;
  facts.daemon = {name, incarnation};
  facts.confirmed = confirmed;
  facts.released = confirmed;
  facts.term = kTerm;
  facts.holds_lease = true;
  return facts;
}

struct Table {
  Table() {
    for (const std::string name : {"a", "b", "c", "d"}) {
      members[name] = MakeMember(name, 1);
    }
    leases.Start(kTerm, 10, members, now);
    leases.Advance(11, now);
  }

  std::map<std::string, session::Member> members;
  LeaseTable leases{LeaseTable::Options()};
  MonotonicTime now{seconds(100)};
};

TEST_CASE("a new leader assumes that no daemon has confirmed a revision") {
  Table table;
  CHECK(table.leases.SharesOf(10).confirmed == 0);
  CHECK(table.leases.SharesOf(10).released == 0);
}

TEST_CASE("the shares count the daemons with a lease") {
  Table table;
  table.leases.OnHeartbeat(Heartbeat("a", 1, 11), table.now);
  table.leases.OnHeartbeat(Heartbeat("b", 1, 11), table.now);
  table.leases.OnHeartbeat(Heartbeat("c", 1, 10), table.now);
  CHECK(table.leases.SharesOf(10).confirmed == 0.75);
  CHECK(table.leases.SharesOf(11).confirmed == 0.5);
  CHECK(table.leases.SharesOf(11).released == 0.5);
  table.leases.OnGoodbye({"c", 1});
  table.leases.OnGoodbye({"d", 1});
  CHECK(table.leases.SharesOf(11).confirmed == 1);
}

// Guards against rollouts that wait until the lease of an ended process
// expires.
TEST_CASE("the replaced incarnation of a restarted daemon does not count") {
  Table table;
  for (const std::string name : {"a", "b", "c"}) {
    table.leases.OnHeartbeat(Heartbeat(name, 1, 11), table.now);
  }
  CHECK(table.leases.SharesOf(11).confirmed < 1);
  const session::Member restarted = MakeMember("d", 2);
  table.leases.SetMember("d", &restarted, table.now);
  CHECK(table.leases.SharesOf(11).confirmed == 1);
}

}  // namespace
}  // namespace juniperway::control
