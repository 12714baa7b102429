// Reads the fields of a JSON object into typed values: checks type and limits,
// refuses unknown fields, and keeps the first fault with the field's path.
//
//   JsonReader reader(json, "spec");
//   reader.Unsigned("slots", &slots, {1, 1024}, Presence::kRequired);
//   if (auto error = reader.Finish()) …
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "common/base/error.h"
#include "common/base/time.h"

namespace juniperway {

// An optional field that is absent leaves the value as it is (its default).
enum class Presence { kRequired, kOptional };

struct UnsignedLimits {
  std::uint64_t minimum = 0;
  std::uint64_t maximum = std::numeric_limits<std::uint64_t>::max();
};

struct FractionLimits {
  double minimum = 0;
  double maximum = 1;
};

class JsonReader {
 public:
  // @param path of `json` in the whole input; empty for the input itself.
  JsonReader(const nlohmann::json& json, std::string path);

  void Text(const char* name, std::string* value, Presence presence);
  void Boolean(const char* name, bool* value, Presence presence);
  template <typename Integer>
  void Unsigned(const char* name, Integer* value, UnsignedLimits limits,
                Presence presence) {
    if (const auto number = ReadUnsigned(name, limits, presence)) {
      *value = static_cast<Integer>(*number);
    }
  }
  void Fraction(const char* name, double* value, FractionLimits limits,
                Presence presence);
  // Whole milliseconds.
  void Milliseconds(const char* name, Duration* value, UnsignedLimits limits,
                    Presence presence);
  // Calls `read_element` with each element's JSON and path.
  // @return false when the array is absent or faulty.
  bool Array(const char* name, Presence presence,
             const std::function<void(const nlohmann::json&,
                                      const std::string& path)>& read_element);
  // The field's JSON, whatever its type; nullptr when absent.
  const nlohmann::json* Field(const char* name, Presence presence);

  // Records a fault of a field, or of the object when `name` is empty. Only
  // the first fault counts.
  void Fail(std::string_view name, std::string message);
  // Takes over the fault of something read elsewhere.
  void Fail(const Error& error);

  // "spec.slots"
  std::string PathOf(std::string_view name) const;

  // Refuses fields that were not read. @return the first fault, if any.
  std::optional<Error> Finish();

 private:
  std::optional<std::uint64_t> ReadUnsigned(const char* name,
                                            UnsignedLimits limits,
                                            Presence presence);

  const nlohmann::json& json_;
  std::string path_;
  std::set<std::string, std::less<>> known_fields_;
  std::optional<Error> error_;
};

// Parses JSON text; refuses what is not JSON and an object that names a field
// twice (which of the two counts would be a guess).
Result<nlohmann::json> ParseJson(std::string_view text);

}  // namespace juniperway
