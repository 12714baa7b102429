// Tests the tenant index and the tenants of a route table: which tenant a
// request belongs to, and which lists of tenants the parser refuses.
#include "common/routes/tenant_index.h"

#include <doctest/doctest.h>

#include <string>

namespace juniperway::routes {
namespace {

std::string TableWith(const std::string& tenants) {
  return R"({"version": 1, "routes": [], "services": [], "tenants": )" +
         tenants + "}";
}

constexpr const char* kTwoTenants = R"([
    {"name": "a", "api_keys": ["k1", "k2"], "priority": 3,
     "requests_per_second": 2.5, "burst": 4, "home_regions": ["r"]},
    {"name": "b", "api_keys": ["k3"]}])";

// @return the path of the invalid field; empty if the table is valid.
std::string FaultOf(const std::string& tenants) {
  const auto table = ParseRouteTable(TableWith(tenants));
  return table ? "" : table.error().field;
}

TEST_CASE("tenants are parsed with their limits") {
  const auto table = ParseRouteTable(TableWith(kTwoTenants));
  REQUIRE(table);
  REQUIRE(table->tenants);
  const Tenant& tenant = table->tenants->front();
  CHECK(tenant.name == "a");
  CHECK(tenant.priority == 3);
  CHECK(tenant.requests_per_second == 2.5);
  CHECK(tenant.burst == 4);
  CHECK(tenant.home_regions.Allows("r"));
  CHECK_FALSE(tenant.home_regions.Allows("s"));
  CHECK(table->tenants->back().requests_per_second == 0);
}

TEST_CASE(
    "a table without a list of tenants needs no keys, an empty list does") {
  const auto without =
      ParseRouteTable(R"({"version": 1, "routes": [], "services": []})");
  REQUIRE(without);
  CHECK_FALSE(TenantIndex(*without).RequiresKeys());
  const auto empty = ParseRouteTable(TableWith("[]"));
  REQUIRE(empty);
  CHECK(TenantIndex(*empty).RequiresKeys());
}

TEST_CASE("a key identifies its tenant") {
  const auto table = ParseRouteTable(TableWith(kTwoTenants));
  REQUIRE(table);
  const TenantIndex index(*table);
  CHECK(index.Find("k2")->name == "a");
  CHECK(index.Find("k3")->name == "b");
  CHECK(index.Find("k4") == nullptr);
  CHECK(index.Find("K1") == nullptr);
  CHECK(index.Find("") == nullptr);
}

TEST_CASE("tenants that share a name or a key are refused") {
  CHECK(FaultOf(R"([{"name": "a", "api_keys": ["k"]},
                    {"name": "b", "api_keys": ["k"]}])") ==
        "tenants[1].api_keys");
  CHECK(FaultOf(R"([{"name": "a", "api_keys": []},
                    {"name": "a", "api_keys": []}])") == "tenants[1].name");
  // The same tenant may name a key twice.
  CHECK(FaultOf(R"([{"name": "a", "api_keys": ["k", "k"]}])") == "");
}

TEST_CASE("invalid fields of a tenant are refused with their path") {
  CHECK(FaultOf("7") == "tenants");
  CHECK(FaultOf("[7]") == "tenants[0]");
  CHECK(FaultOf(R"([{"api_keys": []}])") == "tenants[0].name");
  CHECK(FaultOf(R"([{"name": "a"}])") == "tenants[0].api_keys");
  for (const char* keys : {R"([""])", "[7]", R"(["a b"])", R"(["a\n"])"}) {
    CHECK(FaultOf(R"([{"name": "a", "api_keys": )" + std::string(keys) +
                  "}]") == "tenants[0].api_keys");
  }
  for (const char* field : {"requests_per_second", "burst", "priority"}) {
    CHECK(FaultOf(R"([{"name": "a", "api_keys": [], ")" + std::string(field) +
                  R"(": -1}])") == "tenants[0]." + std::string(field));
  }
}

TEST_CASE("an error about a key does not contain the key") {
  const auto table = ParseRouteTable(TableWith(
      R"([{"name": "a", "api_keys": ["secret"]},
          {"name": "b", "api_keys": ["secret"]}])"));
  REQUIRE_FALSE(table);
  CHECK(FormatError(table.error()).find("secret") == std::string::npos);
}

TEST_CASE("credentials must be one header with the bearer scheme and one key") {
  const auto key = [](const std::string& value) {
    const HeaderFields fields = {{"Host", "h"}, {"AUTHORIZATION", value}};
    return std::string(ApiKeyOf(fields).value_or(""));
  };
  CHECK(key("Bearer k1") == "k1");
  CHECK(key("bEARER   k1  ") == "k1");
  for (const char* value : {"", "k1", "Bearer", "Bearer ", "Basic k1",
                            "Bearer k1 k2", "Bearerk1"}) {
    CAPTURE(value);
    CHECK(key(value) == "");
  }
  CHECK_FALSE(ApiKeyOf({{"Host", "h"}}));
  CHECK_FALSE(ApiKeyOf(
      {{"Authorization", "Bearer k1"}, {"authorization", "Bearer k1"}}));
  CHECK(key("Bearer " + std::string(100'000, 'x')).size() == 100'000);
}

TEST_CASE("the regions of a route and of its tenant both limit a request") {
  const HomeRegions any;
  const HomeRegions ab({"a", "b"});
  const HomeRegions bc({"b", "c"});
  const HomeRegions c({"c"});
  CHECK(HomeRegions::Intersection(any, ab) == ab);
  CHECK(HomeRegions::Intersection(ab, any) == ab);
  const HomeRegions both = HomeRegions::Intersection(ab, bc);
  CHECK(both.Allows("b"));
  CHECK_FALSE(both.Allows("a"));
  CHECK_FALSE(both.Allows("c"));
  // Sets without a common region allow no region, instead of every region.
  const HomeRegions none = HomeRegions::Intersection(ab, c);
  CHECK(none.IsLimited());
  for (const char* region : {"", "a", "b", "c"}) {
    CHECK_FALSE(none.Allows(region));
  }
}

}  // namespace
}  // namespace juniperway::routes
