// How many connections a router uses at one back end.
#include "common/forwarding/connection_allowance.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr std::size_t kCeiling = 8;

TEST_CASE("it starts with one connection and grows to the ceiling") {
  ConnectionAllowance allowance;
  CHECK(allowance.Get(kCeiling) == 1);
  std::size_t before = 1;
  for (int i = 0; i < 1000; ++i) {
    allowance.OnAnswered(kCeiling);
    CHECK(allowance.Get(kCeiling) >= before);
    before = allowance.Get(kCeiling);
  }
  CHECK(before == kCeiling);
}

TEST_CASE("each step takes answers on every connection that is open") {
  ConnectionAllowance allowance;
  int answers = 0;
  while (allowance.Get(kCeiling) < 2) {
    allowance.OnAnswered(kCeiling);
    ++answers;
  }
  int more = 0;
  while (allowance.Get(kCeiling) < 3) {
    allowance.OnAnswered(kCeiling);
    ++more;
  }
  CHECK(more > answers);
}

TEST_CASE("a refused connection halves it, one is always left") {
  ConnectionAllowance allowance;
  for (int i = 0; i < 1000; ++i) {
    allowance.OnAnswered(kCeiling);
  }
  allowance.OnRefused();
  CHECK(allowance.Get(kCeiling) == kCeiling / 2);
  for (int i = 0; i < 10; ++i) {
    allowance.OnRefused();
  }
  CHECK(allowance.Get(kCeiling) == 1);
}

TEST_CASE("the ceiling bounds it, also when it falls, and one is left") {
  ConnectionAllowance allowance;
  for (int i = 0; i < 1000; ++i) {
    allowance.OnAnswered(kCeiling);
  }
  CHECK(allowance.Get(3) == 3);
  CHECK(allowance.Get(0) == 1);
}

}  // namespace
}  // namespace juniperway::forwarding
