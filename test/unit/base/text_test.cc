#include "common/base/text.h"

#include <doctest/doctest.h>

namespace juniperway {
namespace {

TEST_CASE("only ASCII letters change their case") {
  CHECK(ToLower("X-Request-ID[@`{\xc4") == "x-request-id[@`{\xc4");
}

TEST_CASE("texts are compared without regard to the case of letters") {
  CHECK(EqualsIgnoringCase("Content-Type", "content-TYPE"));
  CHECK(EqualsIgnoringCase("", ""));
  CHECK_FALSE(EqualsIgnoringCase("expect", "expects"));
  // They differ by the bit that tells the case of letters.
  CHECK_FALSE(EqualsIgnoringCase("@[", "`{"));
}

}  // namespace
}  // namespace juniperway
