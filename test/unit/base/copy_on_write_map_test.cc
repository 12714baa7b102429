#include "common/base/copy_on_write_map.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway {
namespace {

TEST_CASE("a copy shares its content until one of the two is changed") {
  CopyOnWriteMap<std::string, int> original = {{"a", 1}, {"b", 2}};
  CopyOnWriteMap<std::string, int> copy = original;
  CHECK(copy.SharesWith(original));
  copy["a"] = 7;
  CHECK_FALSE(copy.SharesWith(original));
  CHECK(original.at("a") == 1);
  CHECK(copy.at("a") == 7);
}

TEST_CASE("erasing an unknown key keeps the content shared") {
  CopyOnWriteMap<std::string, int> original = {{"a", 1}};
  CopyOnWriteMap<std::string, int> copy = original;
  CHECK(copy.erase("z") == 0);
  CHECK(copy.SharesWith(original));
  CHECK(copy.erase("a") == 1);
  CHECK(original.contains("a"));
  CHECK(copy.empty());
}

}  // namespace
}  // namespace juniperway
