// The number that a control machine keeps.
#include "daemon/node_identity.h"

#include <doctest/doctest.h>

#include <fstream>

#include "common/net/address.h"
#include "common/storage/log_store.h"
#include "support/temporary_folder.h"

namespace juniperway::daemon {
namespace {

TEST_CASE("a founder's number is the same everywhere and kept") {
  const test::TemporaryFolder folder;
  const auto endpoint = net::ParseEndpoint("10.0.0.1:7100", "");
  REQUIRE(endpoint);
  const raft::NodeId id = FounderId(*endpoint);
  const auto members = Founders({"10.0.0.1:7100", "10.0.0.2:7100"});
  REQUIRE(members.size() == 2);
  CHECK(members[0].id == id);
  CHECK(members[1].id != id);
  const auto first = FindNodeIdentity(folder.path() / "c", {id, {}});
  REQUIRE(first);
  CHECK(first->id == id);
  CHECK(first->is_new);
  REQUIRE(storage::OpenSqliteLogStore({.folder = folder.path() / "c",
                                       .cluster = "c",
                                       .node = id,
                                       .create = true}));
  REQUIRE(ConfirmNodeIdentity(folder.path() / "c", *first));
  const auto again = FindNodeIdentity(folder.path() / "c", {});
  REQUIRE(again);
  CHECK(again->id == id);
  CHECK_FALSE(again->is_new);
}

TEST_CASE("a machine without its data is another one") {
  const test::TemporaryFolder folder;
  const auto one = FindNodeIdentity(folder.path() / "one", {});
  const auto two = FindNodeIdentity(folder.path() / "two", {});
  REQUIRE(one);
  REQUIRE(two);
  CHECK(one->is_new);
  CHECK(one->id != two->id);
}

TEST_CASE("a damaged number is an error, never a new one") {
  const test::TemporaryFolder folder;
  std::ofstream(folder.path() / "node_id") << "x";
  const auto identity = FindNodeIdentity(folder.path(), {});
  REQUIRE_FALSE(identity);
  CHECK(identity.error().code == ErrorCode::kCorrupt);
}

TEST_CASE("A founder without a store is at its first start still") {
  const test::TemporaryFolder folder;
  constexpr raft::NodeId kFounder = 5;
  const std::vector<raft::Member> voters{{kFounder, "10.0.0.1:7100"},
                                         {6, "10.0.0.2:7100"}};
  const auto first = FindNodeIdentity(folder.path(), {kFounder, voters});
  REQUIRE(first);
  CHECK(first->id == kFounder);
  CHECK(first->is_new);
  CHECK(first->first_voters == voters);
  // Killed, and started again without `bootstrap`.
  const auto second = FindNodeIdentity(folder.path(), {});
  REQUIRE(second);
  CHECK(second->id == kFounder);
  CHECK(second->is_new);
  CHECK(second->first_voters == voters);
}

TEST_CASE("A number whose store is lost is replaced, also a founder's") {
  const test::TemporaryFolder folder;
  constexpr raft::NodeId kFounder = 5;
  const auto first = FindNodeIdentity(folder.path(), {kFounder, {}});
  REQUIRE(first);
  REQUIRE(ConfirmNodeIdentity(folder.path(), *first));
  const auto second = FindNodeIdentity(folder.path(), {kFounder, {}});
  REQUIRE(second);
  CHECK(second->is_new);
  CHECK(second->id != kFounder);
  CHECK(second->first_voters.empty());
  const auto kept = FindNodeIdentity(folder.path(), {kFounder, {}});
  REQUIRE(kept);
  CHECK(kept->id == second->id);
}

TEST_CASE("A store that was made before the kill is not made again") {
  const test::TemporaryFolder folder;
  const auto first = FindNodeIdentity(folder.path(), {});
  REQUIRE(first);
  REQUIRE(storage::OpenSqliteLogStore({.folder = folder.path(),
                                       .cluster = "c",
                                       .node = first->id,
                                       .create = true}));
  const auto second = FindNodeIdentity(folder.path(), {});
  REQUIRE(second);
  CHECK(second->id == first->id);
  CHECK_FALSE(second->is_new);
  REQUIRE(second->is_marked);
  REQUIRE(ConfirmNodeIdentity(folder.path(), *second));
  const auto third = FindNodeIdentity(folder.path(), {});
  REQUIRE(third);
  CHECK_FALSE(third->is_marked);
}

TEST_CASE("a number with anything unknown behind it is damaged") {
  const test::TemporaryFolder folder;
  for (const char* content : {"5\nother\n", "5\nfirst_start\nx y\n"}) {
    CAPTURE(content);
    std::ofstream(folder.path() / "node_id") << content;
    const auto identity = FindNodeIdentity(folder.path(), {});
    REQUIRE_FALSE(identity);
    CHECK(identity.error().code == ErrorCode::kCorrupt);
  }
}

TEST_CASE("A store without a number is an error, and nothing is written") {
  const test::TemporaryFolder folder;
  REQUIRE(storage::OpenSqliteLogStore(
      {.folder = folder.path(), .cluster = "c", .node = 7, .create = true}));
  const auto identity = FindNodeIdentity(folder.path(), {});
  REQUIRE_FALSE(identity);
  CHECK(identity.error().code == ErrorCode::kCorrupt);
  CHECK_FALSE(std::filesystem::exists(folder.path() / "node_id"));
}

}  // namespace
}  // namespace juniperway::daemon
