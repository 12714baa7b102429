#include "common/base/copy_on_write_map.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace juniperway {
namespace {

TEST_CASE("a copy shares its content until one of the two is changed") {
  CopyOnWriteMap<std::string, int> original = {{"a", 1}, {"b", 2}};
  CopyOnWriteMap<std::string, int> copy = original;
  CHECK(copy.SharesWith(original));
  copy["a"] = 7;
  CHECK_FALSE(copy.SharesWith(original));
  CHECK(original.at("a") == 1);
  CHECK(copy.at("a") == 7);
}

TEST_CASE("erasing an unknown key keeps the content shared") {
  CopyOnWriteMap<std::string, int> original = {{"a", 1}};
  CopyOnWriteMap<std::string, int> copy = original;
  CHECK(copy.erase("z") == 0);
  CHECK(copy.SharesWith(original));
  CHECK(copy.erase("a") == 1);
  CHECK(original.contains("a"));
  CHECK(copy.empty());
}

using Map = CopyOnWriteMap<int, int>;
using Model = std::map<int, int>;

// One random change of both.
void Change(Map& map, Model& model, std::mt19937_64& random) {
  const int key = static_cast<int>(random() % 1500);
  const int value = static_cast<int>(random() % 3);
  switch (random() % 4) {
    case 0:
      CHECK(map.erase(key) == model.erase(key));
      break;
    case 1:
      map.emplace(key, value);
      model.emplace(key, value);
      break;
    default:
      map[key] = value;
      model[key] = value;
  }
}

void CheckSame(const Map& map, const Model& model) {
  REQUIRE(map.size() == model.size());
  CHECK(Model(map.begin(), map.end()) == model);
  for (int key = -1; key <= 1500; key += 13) {
    const auto lower = model.lower_bound(key);
    CHECK((map.lower_bound(key) == map.end()) == (lower == model.end()));
    if (lower != model.end()) {
      CHECK(map.lower_bound(key)->first == lower->first);
    }
    const auto upper = model.upper_bound(key);
    CHECK((map.upper_bound(key) == map.end()) == (upper == model.end()));
    CHECK(map.contains(key) == model.contains(key));
  }
}

// What ForEachDifference tells, applied to `before`.
Model Patched(const Map& before, const Map& after) {
  Model patched(before.begin(), before.end());
  Map::ForEachDifference(
      before, after, [&](int key, const int* old_value, const int* new_value) {
        CHECK((old_value == nullptr) == !before.contains(key));
        const bool differs = old_value == nullptr || new_value == nullptr ||
                             *old_value != *new_value;
        CHECK(differs);
        if (new_value == nullptr) {
          patched.erase(key);
        } else {
          patched[key] = *new_value;
        }
      });
  return patched;
}

TEST_CASE("every version agrees with a plain map, also after later changes") {
  std::mt19937_64 random(11);
  Map map;
  Model model;
  std::vector<std::pair<Map, Model>> versions;
  for (int step = 0; step < 6000; ++step) {
    Change(map, model, random);
    if (step % 300 == 0) {
      versions.emplace_back(map, model);
    }
  }
  for (const auto& [version, expected] : versions) {
    CheckSame(version, expected);
  }
  CheckSame(map, model);
}

TEST_CASE("the difference of two versions turns one into the other") {
  std::mt19937_64 random(12);
  Map map;
  Model model;
  for (int round = 0; round < 60; ++round) {
    const Map before = map;
    for (std::uint64_t step = random() % 200; step > 0; --step) {
      Change(map, model, random);
    }
    CHECK(Patched(before, map) == model);
    CHECK(Patched(map, before) == Model(before.begin(), before.end()));
  }
}

}  // namespace
}  // namespace juniperway
