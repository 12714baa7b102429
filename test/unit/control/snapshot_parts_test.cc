// Guards against a snapshot assembled from parts of different transfers, which
// would install a state that never existed.
#include "common/control/snapshot_parts.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace juniperway::control {
namespace {

raft::Message MakeMessage(raft::Index index, const std::string& data) {
  raft::Message message;
  message.kind = raft::MessageKind::kInstallSnapshot;
  message.from = 1;
  message.to = 2;
  message.term = 3;
  message.snapshot = raft::Snapshot{
      index, 3, {.voters = {{1, "127.0.0.1:1"}}, .learners = {}}, data};
  return message;
}

std::vector<protocol::SnapshotPartT> Split(const raft::Message& message) {
  std::vector<protocol::SnapshotPartT> parts;
  ForEachSnapshotPart(message, 4, [&parts](protocol::SnapshotPartT part) {
    parts.push_back(std::move(part));
  });
  return parts;
}

TEST_CASE("A snapshot in parts is assembled completely") {
  for (const std::string& data :
       {std::string(), std::string("abc"), std::string("abcd"),
        std::string("abcdefghij")}) {
    CAPTURE(data);
    SnapshotAssembler assembler;
    std::optional<raft::Message> complete;
    for (const auto& part : Split(MakeMessage(9, data))) {
      CHECK_FALSE(complete.has_value());
      complete = assembler.Add(1, part);
    }
    REQUIRE(complete.has_value());
    CHECK(complete->snapshot->data == data);
    CHECK(complete->snapshot->index == 9);
    CHECK(complete->snapshot->configuration.voters.size() == 1);
    CHECK(complete->term == 3);
  }
}

TEST_CASE("Parts of an interrupted transfer are not mixed with another") {
  const auto old_parts = Split(MakeMessage(9, "abcdefghij"));
  const auto parts = Split(MakeMessage(10, "ABCDEFGHIJ"));
  SnapshotAssembler assembler;
  SUBCASE("a part in the middle is missing") {
    assembler.Add(1, parts[0]);
    CHECK_FALSE(assembler.Add(1, parts[2]).has_value());
  }
  SUBCASE("the next part belongs to another snapshot") {
    assembler.Add(1, old_parts[0]);
    assembler.Add(1, parts[1]);
    CHECK_FALSE(assembler.Add(1, parts[2]).has_value());
  }
  SUBCASE("two senders send at the same time") {
    assembler.Add(1, parts[0]);
    assembler.Add(2, parts[0]);
    assembler.Add(1, parts[1]);
    CHECK_FALSE(assembler.Add(2, parts[2]).has_value());
    CHECK(assembler.Add(1, parts[2]).has_value());
  }
  // In each case a transfer that starts again succeeds.
  assembler.Add(1, parts[0]);
  assembler.Add(1, parts[1]);
  const auto complete = assembler.Add(1, parts[2]);
  REQUIRE(complete.has_value());
  CHECK(complete->snapshot->data == "ABCDEFGHIJ");
}

}  // namespace
}  // namespace juniperway::control
