// Tests the numbers of operators' orders.
#include "common/control/order_table.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::control {
namespace {

TEST_CASE("an order is later only if it came after the number on its subject") {
  OrderTable table;
  table.Record("a", "c1", 0);
  CHECK(table.latest() == 1);
  CHECK_FALSE(table.FindLater("a", 1));
  table.Record("b", "c2", 1);
  CHECK_FALSE(table.FindLater("a", 1));
  table.Record("a", "c3", 2);
  const auto later = table.FindLater("a", 2);
  REQUIRE(later);
  CHECK(later->number == 3);
  CHECK(later->change_id == "c3");
}

TEST_CASE("a dropped order counts as a later one on every subject") {
  OrderTable table;
  for (std::size_t i = 0; i < kMaximumOrderSubjects + 2; ++i) {
    table.Record("subject-" + std::to_string(i), "c", 0);
  }
  CHECK(table.size() == kMaximumOrderSubjects);
  CHECK(table.FindLater("subject-0", 1));
  CHECK_FALSE(table.FindLater("subject-0", 2));
}

TEST_CASE("numbers stay above those that another node's table has given") {
  OrderTable table;
  table.Record("a", "c1", 12);
  CHECK(table.latest() == 13);
}

TEST_CASE("a restored table refuses orders from before the backup") {
  OrderTable table;
  table.Record("a", "c1", 0);
  table.Skip(100);
  CHECK(table.latest() == 101);
  CHECK(table.FindLater("a", 1));
  CHECK(table.FindLater("b", 100));
  CHECK_FALSE(table.FindLater("a", 101));
}

TEST_CASE("an encoded table tells the same") {
  OrderTable table;
  table.Record("a", "c1", 0);
  table.Record("b", "c2", 0);
  const OrderTable decoded = OrderTable::Decode(table.Encode());
  CHECK(decoded.latest() == 2);
  CHECK(decoded.FindLater("b", 1)->change_id == "c2");
  CHECK_FALSE(decoded.FindLater("a", 1));
}

}  // namespace
}  // namespace juniperway::control
