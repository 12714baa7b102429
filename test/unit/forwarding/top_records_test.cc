// Tests how the shards' records are merged.
#include "common/forwarding/top_records.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

std::string Record(char first) {
  return std::string(1, first) + "23456789abcdef0";
}

TEST_CASE("the greatest records of all parts come first") {
  const std::string one = Record('a') + Record('z') + Record('\xff');
  const std::string two = Record('m') + Record('z');
  CHECK(MergeTopRecords({one, two}, 4) ==
        Record('\xff') + Record('z') + Record('z') + Record('m'));
}

TEST_CASE("an incomplete record is ignored, and all records are kept if few") {
  const std::string part = Record('a') + "rest";
  CHECK(MergeTopRecords({part, "", "short"}, 5) == Record('a'));
}

}  // namespace
}  // namespace juniperway::forwarding
