#include "common/net/address.h"

#include <doctest/doctest.h>

namespace juniperway::net {

TEST_CASE("endpoints survive a round trip through text") {
  for (const char* text : {"127.0.0.1:80", "[::1]:7100", "0.0.0.0:0"}) {
    const auto endpoint = ParseEndpoint(text, "address");
    REQUIRE(endpoint.has_value());
    CHECK(FormatEndpoint(*endpoint) == text);
  }
}

TEST_CASE("what is not an ip:port is refused and the field is named") {
  for (const char* text :
       {"", "127.0.0.1", ":80", "localhost:80", "127.0.0.1:", "127.0.0.1:65536",
        "127.0.0.1:8x", "::1:80", "[127.0.0.1]:80", "127.0.0.1:-1"}) {
    CAPTURE(text);
    const auto endpoint = ParseEndpoint(text, "gateway.http_listen");
    REQUIRE_FALSE(endpoint.has_value());
    CHECK(endpoint.error().code == ErrorCode::kInvalidArgument);
    CHECK(endpoint.error().field == "gateway.http_listen");
  }
}

TEST_CASE("an endpoint to dial is one machine's, in one spelling") {
  for (const char* text : {"127.0.0.1:80", "[::1]:7100"}) {
    CHECK(FormatEndpoint(ParseRemoteEndpoint(text, "a").value()) == text);
  }
  for (const char* text :
       {"127.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80", "[ff02::1]:80",
        "[::ffff:10.0.0.1]:80", "here:80"}) {
    CAPTURE(text);
    const auto endpoint = ParseRemoteEndpoint(text, "spec.address");
    REQUIRE_FALSE(endpoint.has_value());
    CHECK(endpoint.error().field == "spec.address");
  }
}

}  // namespace juniperway::net
