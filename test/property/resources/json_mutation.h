// Generators of JSON that is nearly a resource: valid ones with something
// changed.
#pragma once

#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace juniperway::test {

// One valid resource of each kind, each field given; together they may be
// applied to an empty state.
nlohmann::json ValidResources();

// Names of all fields in ValidResources().
bool IsKnownField(const std::string& name);

// A value that may be wrong in type, size or form.
rc::Gen<nlohmann::json> JunkValue();

// The value with one place in it replaced, removed, doubled or added to.
struct Mutation {
  nlohmann::json value;
  // Where: the path of the place, "/items/1/spec/slots".
  std::string place;
};
Mutation Mutate(nlohmann::json value);

// Text with a few bytes changed, cut off or put in.
std::string MutateText(std::string text);

}  // namespace juniperway::test
