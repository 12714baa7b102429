// Tests how many connections ConnectionAllowance allows at one backend.
#include "common/forwarding/connection_allowance.h"

#include <doctest/doctest.h>

namespace juniperway::forwarding {
namespace {

constexpr std::size_t kCeiling = 8;

TEST_CASE("the allowance starts with one connection and grows to the ceiling") {
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

TEST_CASE(
    "the answers needed for one more connection grow with the allowance") {
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

TEST_CASE("a refused connection halves the allowance, down to one") {
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

TEST_CASE("a lower ceiling bounds the allowance, down to one") {
  ConnectionAllowance allowance;
  for (int i = 0; i < 1000; ++i) {
    allowance.OnAnswered(kCeiling);
  }
  CHECK(allowance.Get(3) == 3);
  CHECK(allowance.Get(0) == 1);
}

}  // namespace
}  // namespace juniperway::forwarding
