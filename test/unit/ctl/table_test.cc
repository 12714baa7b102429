#include "ctl/table.h"

#include <doctest/doctest.h>

#include <sstream>

#include "ctl/resource_output.h"

namespace juniperway::ctl {

TEST_CASE("columns line up, also past short rows and wide characters") {
  Table table({"NAME", "ZONE", "X"});
  table.AddRow({"wallet-1", "a", "1"});
  table.AddRow({"臺北", "tpe-a"});
  std::ostringstream out;
  table.Print(out);
  CHECK(out.str() ==
        "NAME      ZONE   X\n"
        "wallet-1  a      1\n"
        "臺北        tpe-a\n");
}

TEST_CASE("cells are short and never empty") {
  using nlohmann::json;
  CHECK(FormatCell(json()) == "-");
  CHECK(FormatCell("") == "-");
  CHECK(FormatCell(true) == "yes");
  CHECK(FormatCell(0.5) == "0.5");
  CHECK(FormatCell(json::array()) == "-");
  CHECK(FormatCell({"a", "b", "c"}) == "a,b,c");
  CHECK(FormatCell({1, 2, 3, 4, 5}) == "1,2,3,+2");
  CHECK(FormatCell(json::array({{{"begin", 0}}, {{"begin", 1}}})) == "2");
}

TEST_CASE("kinds are known in the forms that people write") {
  using resources::Kind;
  CHECK(ParseKindWord("Backend") == Kind::kBackend);
  CHECK(ParseKindWord("backends") == Kind::kBackend);
  CHECK(ParseKindWord("INDEXSNAPSHOTS") == Kind::kIndexSnapshot);
  CHECK(ParseKindWord("snapshot") == Kind::kIndexSnapshot);
  CHECK_FALSE(ParseKindWord("backendss").has_value());
  CHECK_FALSE(ParseKindWord("").has_value());
}

TEST_CASE("describe shows each value with its path") {
  std::ostringstream out;
  PrintFields({{"name", "a"},
               {"spec",
                {{"shards", {"s0", "s1"}},
                 {"partitions", {{{"begin", 0}}, {{"begin", 7}}}},
                 {"none", nlohmann::json::array()}}}},
              "", out);
  CHECK(out.str() ==
        "name: a\n"
        "spec.none: -\n"
        "spec.partitions[0].begin: 0\n"
        "spec.partitions[1].begin: 7\n"
        "spec.shards: s0 s1\n");
}

}  // namespace juniperway::ctl
