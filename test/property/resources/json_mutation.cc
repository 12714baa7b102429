#include "property/resources/json_mutation.h"

#include <fmt/format.h>

#include <cstdint>
#include <limits>
#include <set>
#include <utility>

#include "common/base/key_range.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

const char* const kUnknownField = "unknown";

void CollectNames(const json& value, std::set<std::string>& names) {
  if (value.is_object()) {
    for (const auto& [name, field] : value.items()) {
      names.insert(name);
      CollectNames(field, names);
    }
  } else if (value.is_array()) {
    for (const json& element : value) {
      CollectNames(element, names);
    }
  }
}

void CollectPlaces(const json& value, const std::string& place,
                   std::vector<std::string>& places) {
  if (!place.empty()) {
    places.push_back(place);
  }
  if (value.is_object()) {
    for (const auto& [name, field] : value.items()) {
      CollectPlaces(field, fmt::format("{}/{}", place, name), places);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      CollectPlaces(value[i], place + "/" + std::to_string(i), places);
    }
  }
}

int Below(int limit) { return *rc::gen::inRange(0, limit); }

void Remove(json& parent, const std::string& name) {
  if (parent.is_array()) {
    parent.erase(std::stoul(name));
  } else {
    parent.erase(name);
  }
}

void Double(json& parent, const json& value) {
  if (parent.is_array()) {
    parent.push_back(value);
  } else {
    parent[kUnknownField] = value;
  }
}

}  // namespace

json ValidResources() {
  return json::parse(R"({"items": [
    {"kind": "Service", "name": "s", "version": 0, "spec": {
      "minimum_deadline_ms": 20, "maximum_deadline_ms": 2000,
      "default_deadline_ms": 800, "soft_deadline_ms": 150,
      "maximum_expiry_ms": 90000,
      "request_classes": [{"name": "search", "repeatable": true},
                          {"name": "settle", "repeatable": false}],
      "answer_policy": "latency", "minimum_coverage": 0.98, "hedging": false,
      "hedge_quantile": 0.9, "retry_budget": 0.02,
      "maximum_ejected_share": 0.5, "required_holders": 2,
      "serve_unconfirmed": true, "queue_limit": 7, "maximum_rows": 500}},
    {"kind": "Backend", "name": "s-1.a", "version": 0, "spec": {
      "service": "s", "address": "10.0.0.1:9000", "zone": "a", "slots": 5,
      "maximum_connections": 65, "shards": ["s0", "s1"], "drain": true,
      "slow_start_ms": 30000}},
    {"kind": "IndexSnapshot", "name": "s-7", "version": 0, "spec": {
      "service": "s", "index_version": 7, "partitions": [
        {"begin": 0, "end": 10, "shard": "s0"},
        {"begin": 10, "end": 9007199254740992, "shard": "s1"}]}},
    {"kind": "Machine", "name": "g-1", "version": 0, "spec": {
      "zone": "a", "region": "r", "address": "10.0.0.2:7200",
      "leaving": true}}]})");
}

bool IsKnownField(const std::string& name) {
  static const std::set<std::string> names = [] {
    std::set<std::string> collected = {kUnknownField};
    CollectNames(ValidResources(), collected);
    return collected;
  }();
  return names.contains(name);
}

rc::Gen<json> JunkValue() {
  return rc::gen::element<json>(
      json(), json(true), json(-1), json(0), json(1), json(0.5), json(1e308),
      json(std::numeric_limits<std::uint64_t>::max()),
      json(std::numeric_limits<std::int64_t>::min()), json(kKeySpaceEnd),
      json(kKeySpaceEnd - 1), json(""), json("s"), json("s0"), json("A"),
      json("a b"), json("台北"), json(std::string(254, 'x')),
      json(std::string("a\0b", 3)), json("127.0.0.1:0"), json("[::1]:80"),
      json("latency"), json("Service"), json::array(), json::object(),
      json::array({"s0", "s0"}), json::array({json()}),
      json{{"begin", 0}, {"end", 1}, {"shard", "s0"}},
      json{{"name", "search"}});
}

Mutation Mutate(json value) {
  std::vector<std::string> places;
  CollectPlaces(value, "", places);
  if (places.empty()) {
    return {*JunkValue(), ""};
  }
  const std::string place = *rc::gen::elementOf(places);
  const json::json_pointer pointer(place);
  const json before = value.at(pointer);
  json& parent = value.at(pointer.parent_pointer());
  switch (Below(4)) {
    case 0:
      Remove(parent, pointer.back());
      break;
    case 1:
      Double(parent, before);
      break;
    default:
      value[pointer] = *JunkValue();
      break;
  }
  return {std::move(value), place};
}

std::string MutateText(std::string text) {
  const int changes = 1 + Below(4);
  for (int i = 0; i < changes; ++i) {
    const auto at =
        static_cast<std::size_t>(Below(static_cast<int>(text.size()) + 1));
    switch (Below(3)) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.insert(at, 1, *rc::gen::arbitrary<char>());
        break;
      default:
        if (at < text.size()) {
          text[at] = *rc::gen::arbitrary<char>();
        }
        break;
    }
  }
  return text;
}

}  // namespace juniperway::test
