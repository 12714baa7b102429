// Tests the parser of route tables: which fields it reads, and that it refuses
// each fault with the path of the field.
#include "common/routes/route_table.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::routes {
namespace {

const std::string kTable = R"({
  "version": 7,
  "routes": [
    {"name": "sweep", "host": "Search.Example", "path_prefix": "/a/b/",
     "execution": "repeatable", "timeout_ms": 4000, "target_ms": 250,
     "priority": 1, "scatter": ["one", "two"], "maximum_attempts": 2,
     "top_k": 20, "minimum_coverage": 0.89},
    {"name": "pay", "host": "pay.example", "path_prefix": "/",
     "execution": "at_most_once", "timeout_ms": 1500,
     "split": [{"service": "one", "weight": 3}, {"service": "two", "weight": 1}]},
    {"name": "plain", "host": "pay.example", "path_prefix": "/x/",
     "execution": "repeatable", "timeout_ms": 1500, "service": "two"}],
  "services": [
    {"name": "one", "health_path": "/health", "maximum_connections": 40,
     "protocol": "h1", "tls": false},
    {"name": "two", "maximum_connections": 5}],
  "limits": {"maximum_header_bytes": 16384, "maximum_body_bytes": 262144,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kTable;
  const std::size_t position = text.find(from);
  REQUIRE(position != std::string::npos);
  return text.replace(position, from.size(), to);
}

std::string FaultOf(const std::string& text) {
  const auto table = ParseRouteTable(text);
  return table ? "" : table.error().field;
}

TEST_CASE("all fields of a table are parsed") {
  const auto table = ParseRouteTable(kTable);
  REQUIRE(table);
  CHECK(table->version == 7);
  REQUIRE(table->routes.size() == 3);
  const Route& sweep = table->routes[0];
  CHECK(sweep.host == "search.example");
  CHECK(sweep.repeatable);
  CHECK(sweep.timeout == seconds(4));
  CHECK(sweep.target == milliseconds(250));
  CHECK(sweep.maximum_attempts == 2);
  const auto* scatter = std::get_if<ScatterTarget>(&sweep.destination);
  REQUIRE(scatter != nullptr);
  CHECK(scatter->shards == std::vector<std::string>{"one", "two"});
  CHECK(scatter->top_k == 20);
  CHECK(scatter->minimum_coverage == doctest::Approx(0.89));
  const Route& pay = table->routes[1];
  CHECK_FALSE(pay.repeatable);
  CHECK(pay.target == pay.timeout);
  CHECK(std::get<SplitTarget>(pay.destination).weighted_services.size() == 2);
  const auto& plain = std::get<SplitTarget>(table->routes[2].destination);
  REQUIRE(plain.weighted_services.size() == 1);
  CHECK(plain.weighted_services[0].service == "two");
  CHECK(table->services.at("one").maximum_connections == 40);
  CHECK(table->limits.maximum_body_bytes == 262144);
  CHECK(table->limits.idle_timeout == seconds(15));
}

TEST_CASE("an invalid table is refused with the path of the invalid field") {
  CHECK(FaultOf(kTable.substr(0, kTable.size() / 2)) == "body");
  CHECK(FaultOf(With("\"version\": 7,", "")) == "version");
  CHECK(FaultOf(With("\"version\": 7", "\"version\": 0")) == "version");
  CHECK(FaultOf(With("\"timeout_ms\": 4000", "\"timeout_ms\": 0")) ==
        "routes[0].timeout_ms");
  CHECK(FaultOf(With("\"/a/b/\"", "\"/a/b\"")) == "routes[0].path_prefix");
  CHECK(FaultOf(With("[\"one\", \"two\"]", "[\"one\", \"three\"]")) ==
        "routes[0]");
  CHECK(FaultOf(With("[\"one\", \"two\"]", "[]")) == "routes[0].scatter");
  CHECK(FaultOf(With("\"service\": \"two\"}]", "\"service\": \"none\"}]")) ==
        "routes[2]");
  CHECK(FaultOf(With("\"/x/\"", "\"/\"")) == "routes[2]");
  CHECK(FaultOf(With("\"weight\": 3}, {\"service\": \"two\", \"weight\": 1",
                     "\"weight\": 0}, {\"service\": \"two\", \"weight\": 0")) ==
        "routes[1].split");
  CHECK(FaultOf(With("\"execution\": \"at_most_once\"",
                     "\"execution\": \"sometimes\"")) == "routes[1].execution");
  CHECK(FaultOf(With("\"maximum_connections\": 5",
                     "\"maximum_connections\": -5")) ==
        "services[1].maximum_connections");
  CHECK(FaultOf(With("\"routes\": [", "\"paths\": [")) == "routes");
}

TEST_CASE("the home regions of a route are parsed and validated") {
  const auto regions_of = [](const std::string& field) {
    const auto table = ParseRouteTable(
        With("\"timeout_ms\": 4000", field + "\"timeout_ms\": 4000"));
    REQUIRE(table);
    return table->routes[0].home_regions;
  };
  CHECK_FALSE(regions_of("").IsLimited());
  CHECK_FALSE(regions_of("\"home_regions\": [], ").IsLimited());
  CHECK_FALSE(regions_of("\"home_regions\": null, ").IsLimited());
  const HomeRegions homes =
      regions_of("\"home_regions\": [\"a\", \"b\", \"a\"], ");
  CHECK(homes == HomeRegions({"a", "b"}));
  CHECK(homes.Allows("a"));
  CHECK_FALSE(homes.Allows("c"));
  CHECK_FALSE(homes.Allows(""));
  for (const std::string wrong :
       {"\"a\"", "[3]", "[\"\"]", "{}", "[\"a\", null]"}) {
    CAPTURE(wrong);
    CHECK(FaultOf(With("\"timeout_ms\": 4000", "\"home_regions\": " + wrong +
                                                   ", \"timeout_ms\": 4000")) ==
          "routes[0].home_regions");
  }
}

TEST_CASE("the limits of cold backends are parsed with their service") {
  const auto table =
      ParseRouteTable(With("\"maximum_connections\": 5",
                           "\"maximum_connections\": 5, \"warmup_s\": 2.5, "
                           "\"cold_requests_per_second\": 6"));
  REQUIRE(table);
  CHECK(table->services.at("two").warmup == milliseconds(2500));
  CHECK(table->services.at("two").cold_requests_per_second == 6);
  CHECK(table->services.at("one").cold_requests_per_second == 0);
  CHECK(FaultOf(With("\"maximum_connections\": 5",
                     "\"maximum_connections\": 5, \"warmup_s\": -1")) ==
        "services[1].warmup_s");
}

TEST_CASE("unknown fields are ignored") {
  CHECK(ParseRouteTable(With("\"version\": 7", "\"version\": 7, \"new\": {}")));
}

}  // namespace
}  // namespace juniperway::routes
