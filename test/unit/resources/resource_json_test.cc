#include "common/resources/resource_json.h"

#include <doctest/doctest.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace juniperway::resources {
namespace {

using nlohmann::json;

const json kService = {
    {"kind", "Service"},
    {"name", "wallet-search"},
    {"version", 12},
    {"spec",
     {{"minimum_deadline_ms", 20},
      {"maximum_deadline_ms", 2000},
      {"default_deadline_ms", 800},
      {"soft_deadline_ms", 150},
      {"maximum_expiry_ms", 90000},
      {"request_classes",
       {{{"name", "search"}, {"repeatable", true}, {"weight", 3}},
        {{"name", "settle"}, {"repeatable", false}, {"weight", 1}}}},
      {"answer_policy", "latency"},
      {"minimum_coverage", 0.98},
      {"hedging", false},
      {"hedge_quantile", 0.9},
      {"retry_budget", 0.02},
      {"maximum_ejected_share", 0.5},
      {"required_holders", 2},
      {"serve_unconfirmed", true},
      {"queue_limit", 7},
      {"maximum_rows", 500}}}};

const json kBackend = {{"kind", "Backend"},
                       {"name", "wallet-1.tng-a"},
                       {"version", 0},
                       {"spec",
                        {{"service", "wallet-search"},
                         {"address", "10.0.0.1:9000"},
                         {"zone", "tng-a"},
                         {"slots", 5},
                         {"maximum_connections", 65},
                         {"shards", {"s0", "s1"}},
                         {"drain", true},
                         {"slow_start_ms", 30000}}}};

const json kSnapshot = {
    {"kind", "IndexSnapshot"},
    {"name", "wallet-7"},
    {"version", 0},
    {"spec",
     {{"service", "wallet-search"},
      {"index_version", 7},
      {"partitions",
       {{{"begin", 0}, {"end", 10}, {"shard", "s0"}},
        {{"begin", 10}, {"end", kKeySpaceEnd}, {"shard", "s1"}}}}}}};

const json kMachine = {{"kind", "Machine"},
                       {"name", "tng-gateway-1"},
                       {"version", 3},
                       {"spec",
                        {{"zone", "tng-a"},
                         {"region", "tangier"},
                         {"address", "10.0.0.2:7200"},
                         {"leaving", true}}}};

// A copy of `resource` with one field changed; null removes it.
json With(json resource, const char* pointer, const json& value) {
  const json::json_pointer path(pointer);
  if (value.is_null()) {
    resource[path.parent_pointer()].erase(path.back());
  } else {
    resource[path] = value;
  }
  return resource;
}

}  // namespace

TEST_CASE("every field of every kind survives a round trip") {
  for (const json& resource : {kService, kBackend, kSnapshot, kMachine}) {
    const auto parsed = ParseResource(resource);
    REQUIRE(parsed.has_value());
    CHECK(ResourceToJson(*parsed) == resource);
  }
}

TEST_CASE("absent optional fields take the documented defaults") {
  const auto parsed = ParseResource(
      {{"kind", "Service"}, {"name", "a"}, {"spec", json::object()}});
  REQUIRE(parsed.has_value());
  Resource defaults;
  defaults.id.name = "a";
  CHECK(ResourceToJson(*parsed) == ResourceToJson(defaults));
}

TEST_CASE("a fault names the field's path") {
  struct Case {
    json resource;
    const char* field;
  };
  const json extra_class = {{"name", "x"}, {"repeat", true}};
  const Case cases[] = {
      {json::array(), ""},
      {With(kService, "/kind", "Pod"), "kind"},
      {With(kService, "/name", "Wallet"), "name"},
      {With(kService, "/name", "-a"), "name"},
      {With(kService, "/name", std::string(254, 'a')), "name"},
      {With(kService, "/version", -1), "version"},
      {With(kService, "/spec", nullptr), "spec"},
      {With(kService, "/status", json::object()), "status"},
      {With(kService, "/spec/slots", 1), "spec.slots"},
      {With(kService, "/spec/maximum_deadline_ms", 10),
       "spec.maximum_deadline_ms"},
      {With(kService, "/spec/default_deadline_ms", 3000),
       "spec.default_deadline_ms"},
      {With(kService, "/spec/soft_deadline_ms", 2001), "spec.soft_deadline_ms"},
      {With(kService, "/spec/minimum_deadline_ms", 0),
       "spec.minimum_deadline_ms"},
      {With(kService, "/spec/minimum_deadline_ms", 1.5),
       "spec.minimum_deadline_ms"},
      {With(kService, "/spec/minimum_deadline_ms", "1"),
       "spec.minimum_deadline_ms"},
      {With(kService, "/spec/minimum_coverage", 1.01), "spec.minimum_coverage"},
      {With(kService, "/spec/hedge_quantile", 1), "spec.hedge_quantile"},
      {With(kService, "/spec/hedging", "yes"), "spec.hedging"},
      {With(kService, "/spec/answer_policy", "fast"), "spec.answer_policy"},
      {With(kService, "/spec/answer_policy", ""), "spec.answer_policy"},
      {With(kService, "/spec/request_classes", json::array()),
       "spec.request_classes"},
      {With(kService, "/spec/request_classes/1", extra_class),
       "spec.request_classes[1].repeat"},
      {With(kService, "/spec/request_classes/1/name", "search"),
       "spec.request_classes[1].name"},
      {With(kBackend, "/spec/address", nullptr), "spec.address"},
      {With(kBackend, "/spec/address", "host:80"), "spec.address"},
      {With(kBackend, "/spec/address", "10.0.0.1:0"), "spec.address"},
      {With(kBackend, "/spec/address", "0.0.0.0:80"), "spec.address"},
      {With(kBackend, "/spec/address", "[::]:80"), "spec.address"},
      {With(kBackend, "/spec/address", "224.0.0.1:80"), "spec.address"},
      {With(kMachine, "/spec/address", "[::ffff:10.0.0.1]:80"), "spec.address"},
      {With(kBackend, "/spec/slots", 0), "spec.slots"},
      {With(kBackend, "/spec/slots", 1025), "spec.slots"},
      {With(kBackend, "/spec/slots", nullptr), "spec.slots"},
      {With(kBackend, "/spec/maximum_connections", 65536),
       "spec.maximum_connections"},
      {With(kBackend, "/spec/shards", "s0"), "spec.shards"},
      {With(kBackend, "/spec/shards/1", "s0"), "spec.shards[1]"},
      {With(kBackend, "/spec/shards/1", 5), "spec.shards[1]"},
      {With(kSnapshot, "/spec/index_version", 0), "spec.index_version"},
      {With(kSnapshot, "/spec/partitions/1/begin", 11),
       "spec.partitions[1].begin"},
      {With(kSnapshot, "/spec/partitions/0/end", 0), "spec.partitions[0].end"},
      {With(kSnapshot, "/spec/partitions/1/end", 20), "spec.partitions"},
      {With(kSnapshot, "/spec/partitions/1/end", kKeySpaceEnd + 1),
       "spec.partitions[1].end"},
      {With(kMachine, "/spec/zone", nullptr), "spec.zone"},
      {With(kMachine, "/spec/leaving", 1), "spec.leaving"},
  };
  for (const Case& test_case : cases) {
    CAPTURE(test_case.resource.dump());
    const auto parsed = ParseResource(test_case.resource);
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().code == ErrorCode::kInvalidArgument);
    CHECK(parsed.error().field == test_case.field);
    CHECK_FALSE(parsed.error().message.empty());
  }
}

TEST_CASE("an endpoint has one spelling, whichever it is given in") {
  const auto address_of = [](const char* text) {
    const auto parsed = ParseResource(With(kBackend, "/spec/address", text));
    REQUIRE(parsed.has_value());
    return std::get<Backend>(parsed->specification).address;
  };
  CHECK(address_of("10.0.0.1:080") == "10.0.0.1:80");
  CHECK(address_of("[0:0::0001]:80") == "[::1]:80");
}

TEST_CASE("a field that is given twice is named by its path") {
  const auto field_of = [](const char* text) {
    return ParseResources(text).error().field;
  };
  CHECK(field_of(R"({"items": [{"a": [1, {"b": {}}], "c": [[], []]}, 7,
                     {"spec": {"x": [[0], [0, {"y": 1, "y": 2}]]}}]})") ==
        "items[2].spec.x[1][1].y");
  CHECK(field_of(R"([{"a": 1}, {"a": {"a": 1}, "a": 2}])") == "[1].a");
}

TEST_CASE("a text holds one resource or a list of items") {
  const auto one = ParseResources(kBackend.dump());
  REQUIRE(one.has_value());
  CHECK(one->size() == 1);
  const json list = {{"items", {kService, kBackend}}};
  const auto two = ParseResources(list.dump());
  REQUIRE(two.has_value());
  CHECK(two->size() == 2);

  const json faulty = {{"items", {kService, With(kBackend, "/spec/slots", 0)}}};
  const auto refused = ParseResources(faulty.dump());
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().field == "items[1].spec.slots");
  CHECK_FALSE(ParseResources("{").has_value());
  CHECK(ParseResources(R"({"items":[],"kind":"Service"})").error().field ==
        "kind");
  CHECK(
      ParseResources(R"({"kind":"Service","kind":"Service"})").error().field ==
      "kind");
}

TEST_CASE("the operators' page lists every field") {
  std::ifstream file(std::string(JUNIPERWAY_SOURCE_FOLDER) +
                     "/docs/operations/resources.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const json& resource : {kService, kBackend, kSnapshot, kMachine}) {
    const auto& kind = resource["kind"].get_ref<const std::string&>();
    const std::size_t begin = page.str().find("## " + kind + "\n");
    REQUIRE(begin != std::string::npos);
    const std::string section =
        page.str().substr(begin, page.str().find("\n## ", begin) - begin);
    for (const auto& [key, value] : resource["spec"].items()) {
      const std::string& field = key;
      CAPTURE(field);
      CHECK(section.find("| `" + field + "` |") != std::string::npos);
    }
  }
}

}  // namespace juniperway::resources
