// Tests which requests have the same fingerprint.
#include "common/forwarding/fingerprint_request.h"

#include <doctest/doctest.h>

#include <functional>

namespace juniperway::forwarding {
namespace {

net::HttpRequest Request() {
  net::HttpRequest request;
  request.method = "GET";
  request.target = "/a/b";
  request.headers = {{"host", "h.example"}, {"x-request-id", "id-1"}};
  request.body = "c";
  request.remote = {asio::ip::make_address("10.0.0.1"), 4001};
  return request;
}

TEST_CASE("a request that is sent again has the same fingerprint") {
  net::HttpRequest again = Request();
  again.headers["x-request-id"] = "id-2";
  again.headers["x-deadline-ms"] = "70";
  again.headers["host"] = "H.example";
  again.remote = {asio::ip::make_address("10.0.0.2"), 4002};
  CHECK(FingerprintOf(again) == FingerprintOf(Request()));
}

TEST_CASE("a different request has a different fingerprint") {
  const std::vector<std::function<void(net::HttpRequest&)>> changes = {
      [](auto& request) { request.method = "POST"; },
      [](auto& request) { request.target = "/a/c"; },
      [](auto& request) { request.headers["host"] = "i.example"; },
      [](auto& request) { request.body = "d"; },
      [](auto& request) { request.headers["authorization"] = "Basic eA=="; },
      // This request has the same bytes, divided differently between target and
      // body.
      [](auto& request) {
        request.target = "/a/bc";
        request.body = "";
      },
  };
  for (const auto& change : changes) {
    net::HttpRequest other = Request();
    change(other);
    CHECK(FingerprintOf(other) != FingerprintOf(Request()));
  }
}

}  // namespace
}  // namespace juniperway::forwarding
