#include "lab/dataset.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace juniperway::lab {
namespace {

constexpr KeyRange kEverything{0, kKeySpaceEnd};

TEST_CASE("rows of a range are those of the whole within the range") {
  const Dataset dataset("logs", 500);
  const std::vector<Row> all = dataset.Rows(3, kEverything, kMatchAll);
  std::vector<Row> joined;
  for (const resources::Partition& partition : EvenPartitions("s", 7)) {
    const std::vector<Row> part = dataset.Rows(3, partition.range, kMatchAll);
    joined.insert(joined.end(), part.begin(), part.end());
  }
  CHECK(all.size() > 400);
  CHECK(all.size() < 500);
  CHECK(joined == all);
}

TEST_CASE("each record matches exactly one term") {
  const Dataset dataset("logs", 500);
  std::size_t matched = 0;
  for (std::uint32_t term = 0; term < kTermCount; ++term) {
    matched += dataset.Rows(1, kEverything, TermName(term)).size();
  }
  CHECK(matched == dataset.Rows(1, kEverything, kMatchAll).size());
}

TEST_CASE("versions differ in their records and in every value") {
  const Dataset dataset("logs", 500);
  const std::vector<Row> first = dataset.Rows(1, kEverything, kMatchAll);
  std::size_t absent = 0;
  for (const Row& row : first) {
    CHECK(dataset.ValueAt(1, row.key) == row.value);
    const auto other = dataset.ValueAt(2, row.key);
    absent += other ? 0 : 1;
    CHECK(other != row.value);
  }
  CHECK(absent > 0);
  CHECK_FALSE(dataset.ValueAt(1, first.front().key + 1).has_value());
}

}  // namespace
}  // namespace juniperway::lab
