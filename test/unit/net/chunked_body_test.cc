#include "common/net/chunked_body.h"

#include <doctest/doctest.h>

namespace juniperway::net {
namespace {

TEST_CASE("chunks are decoded with extensions and trailers") {
  CHECK(DecodeChunked("0\r\n\r\n") == "");
  CHECK(DecodeChunked("3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n") ==
        "abc0123456789");
  CHECK(DecodeChunked("3;a=b\r\nabc\r\n0 ;c\r\nX-A: b\r\n\r\n") == "abc");
  CHECK(DecodeChunked("2\r\n\r\n\r\n0\r\n\r\nmore") == "\r\n");
}

TEST_CASE("malformed chunks have no body") {
  for (const char* coded :
       {"", "\r\n", "x\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nab\r\n0\r\n\r\n", "3HTTP/1.1 200 OK\r\nabc\r\n0\r\n\r\n",
        "ffffffffffffffff\r\nabc\r\n0\r\n\r\n",
        "10000000000000000\r\nabc\r\n0\r\n\r\n", "-1\r\na\r\n0\r\n\r\n",
        "0\r\nno field\r\n\r\n"}) {
    CAPTURE(coded);
    CHECK_FALSE(DecodeChunked(coded).has_value());
  }
}

TEST_CASE("chunks that are cut off anywhere have no body") {
  const std::string whole = "3\r\nabc\r\n2\r\nde\r\n0\r\nX-A: b\r\n\r\n";
  CHECK(DecodeChunked(whole) == "abcde");
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(DecodeChunked(whole.substr(0, size)).has_value());
  }
}

}  // namespace
}  // namespace juniperway::net
