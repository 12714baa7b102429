// The discovery list's pages.
#include "common/control/discovery_poller.h"

#include <doctest/doctest.h>

namespace juniperway::control {
namespace {

TEST_CASE("a page gives back ends and the next page") {
  const auto page = ParseDiscoveryPage(R"({"backends": [
      {"id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z",
       "slots": 5, "state": "live", "version": "v1"},
      {"id": "i-2", "service": "s", "address": "10.0.0.2:80", "zone": "z",
       "state": "leaving"}], "next_page": "p-2"})");
  REQUIRE(page);
  CHECK(page->next_page == "p-2");
  CHECK(page->backends.at("i-1").slots == 5);
  CHECK_FALSE(page->backends.at("i-1").draining);
  CHECK(page->backends.at("i-2").draining);
}

TEST_CASE("a back end that is still warming up is cold") {
  const auto page = ParseDiscoveryPage(R"({"backends": [
      {"id": "i-1", "service": "s", "address": "10.0.0.1:80", "zone": "z",
       "slots": 5, "state": "live", "warmup_left_ms": 1200},
      {"id": "i-2", "service": "s", "address": "10.0.0.2:80", "zone": "z",
       "slots": 5, "state": "live", "warmup_left_ms": 0},
      {"id": "i-3", "service": "s", "address": "10.0.0.3:80", "zone": "z",
       "slots": 5, "state": "live"}],
      "next_page": null})");
  REQUIRE(page);
  REQUIRE(page->backends.size() == 3);
  CHECK(page->backends.at("i-1").cold);
  CHECK_FALSE(page->backends.at("i-2").cold);
  CHECK_FALSE(page->backends.at("i-3").cold);
}

TEST_CASE("the last page names none") {
  const auto page =
      ParseDiscoveryPage(R"({"backends": [], "next_page": null})");
  REQUIRE(page);
  CHECK(page->next_page.empty());
}

TEST_CASE("a faulty page is refused") {
  CHECK_FALSE(ParseDiscoveryPage("{"));
  CHECK_FALSE(ParseDiscoveryPage(R"({"next_page": null})"));
  CHECK_FALSE(ParseDiscoveryPage(R"({"backends": [{"id": "i-1"}]})"));
}

}  // namespace
}  // namespace juniperway::control
