#include "common/base/json_reader.h"

#include <utility>
#include <vector>

namespace juniperway {
namespace {

std::string RangeMessage(const UnsignedLimits& limits) {
  return "must be a whole number between " + std::to_string(limits.minimum) +
         " and " + std::to_string(limits.maximum);
}

std::string NumberText(double number) { return nlohmann::json(number).dump(); }

// Notes the first field that is named twice in its object, while JSON is
// parsed.
class DuplicateFieldFinder {
 public:
  bool operator()(int, nlohmann::json::parse_event_t event,
                  const nlohmann::json& parsed) {
    using Event = nlohmann::json::parse_event_t;
    switch (event) {
      case Event::object_start:
        open_.push_back({.is_array = false});
        break;
      case Event::array_start:
        open_.push_back({.is_array = true});
        break;
      case Event::key:
        OnKey(parsed.get_ref<const std::string&>());
        break;
      case Event::object_end:
      case Event::array_end:
        open_.pop_back();
        OnElementEnd();
        break;
      case Event::value:
        OnElementEnd();
        break;
    }
    return true;
  }

  // Its path.
  std::optional<std::string> duplicate;

 private:
  // An object or array that has begun and not ended.
  struct Container {
    bool is_array = false;
    std::size_t index = 0;             // of the array's current element
    std::string key = {};              // of the object's current field
    std::set<std::string> names = {};  // of its fields so far
  };

  void OnKey(const std::string& name) {
    open_.back().key = name;
    const bool inserted = open_.back().names.insert(name).second;
    if (!inserted && !duplicate) {
      duplicate = PathHere();
    }
  }

  void OnElementEnd() {
    if (!open_.empty()) {
      ++open_.back().index;
    }
  }

  std::string PathHere() const {
    std::string path;
    for (const Container& container : open_) {
      if (container.is_array) {
        path += "[" + std::to_string(container.index) + "]";
      } else {
        path += path.empty() ? "" : ".";
        path += container.key;
      }
    }
    return path;
  }

  std::vector<Container> open_;
};

}  // namespace

JsonReader::JsonReader(const nlohmann::json& json, std::string path)
    : json_(json), path_(std::move(path)) {
  if (!json_.is_object()) {
    Fail("", "must be an object");
  }
}

std::string JsonReader::PathOf(std::string_view name) const {
  if (path_.empty() || name.empty()) {
    return path_ + std::string(name);
  }
  return path_ + "." + std::string(name);
}

void JsonReader::Fail(std::string_view name, std::string message) {
  Fail(Error{ErrorCode::kInvalidArgument, PathOf(name), std::move(message)});
}

void JsonReader::Fail(const Error& error) {
  if (!error_) {
    error_ = error;
  }
}

const nlohmann::json* JsonReader::Field(const char* name, Presence presence) {
  known_fields_.insert(name);
  if (!json_.is_object()) {
    return nullptr;
  }
  const auto found = json_.find(name);
  if (found != json_.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    Fail(name, "is required");
  }
  return nullptr;
}

void JsonReader::Text(const char* name, std::string* value, Presence presence) {
  const nlohmann::json* field = Field(name, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_string()) {
    Fail(name, "must be a string");
    return;
  }
  *value = field->get<std::string>();
}

void JsonReader::Boolean(const char* name, bool* value, Presence presence) {
  const nlohmann::json* field = Field(name, presence);
  if (field == nullptr) {
    return;
  }
  if (!field->is_boolean()) {
    Fail(name, "must be true or false");
    return;
  }
  *value = field->get<bool>();
}

std::optional<std::uint64_t> JsonReader::ReadUnsigned(const char* name,
                                                      UnsignedLimits limits,
                                                      Presence presence) {
  const nlohmann::json* field = Field(name, presence);
  if (field == nullptr) {
    return std::nullopt;
  }
  // Parsed text gives unsigned numbers; JSON built in C++ may hold signed ones.
  const bool natural =
      field->is_number_unsigned() ||
      (field->is_number_integer() && field->get<std::int64_t>() >= 0);
  const std::uint64_t number = natural ? field->get<std::uint64_t>() : 0;
  if (!natural || number < limits.minimum || number > limits.maximum) {
    Fail(name, RangeMessage(limits));
    return std::nullopt;
  }
  return number;
}

void JsonReader::Fraction(const char* name, double* value,
                          FractionLimits limits, Presence presence) {
  const nlohmann::json* field = Field(name, presence);
  if (field == nullptr) {
    return;
  }
  const double number = field->is_number() ? field->get<double>() : -1;
  if (!field->is_number() || number < limits.minimum ||
      number > limits.maximum) {
    Fail(name, "must be a number between " + NumberText(limits.minimum) +
                   " and " + NumberText(limits.maximum));
    return;
  }
  *value = number;
}

void JsonReader::Milliseconds(const char* name, Duration* value,
                              UnsignedLimits limits, Presence presence) {
  if (const auto number = ReadUnsigned(name, limits, presence)) {
    *value = milliseconds(*number);
  }
}

bool JsonReader::Array(
    const char* name, Presence presence,
    const std::function<void(const nlohmann::json&, const std::string&)>&
        read_element) {
  const nlohmann::json* field = Field(name, presence);
  if (field == nullptr) {
    return false;
  }
  if (!field->is_array()) {
    Fail(name, "must be an array");
    return false;
  }
  for (std::size_t i = 0; i < field->size(); ++i) {
    read_element((*field)[i], PathOf(name) + "[" + std::to_string(i) + "]");
  }
  return true;
}

std::optional<Error> JsonReader::Finish() {
  if (error_ || !json_.is_object()) {
    return error_;
  }
  for (const auto& [name, value] : json_.items()) {
    if (!known_fields_.contains(name)) {
      Fail(name, "is not a known field");
      break;
    }
  }
  return error_;
}

Result<nlohmann::json> ParseJson(std::string_view text) {
  DuplicateFieldFinder finder;
  nlohmann::json json =
      nlohmann::json::parse(text, std::ref(finder), /*allow_exceptions=*/false);
  if (json.is_discarded()) {
    return MakeError(ErrorCode::kInvalidArgument, "", "must be valid JSON");
  }
  if (finder.duplicate) {
    return MakeError(ErrorCode::kInvalidArgument, *finder.duplicate,
                     "is given twice in one object");
  }
  return json;
}

}  // namespace juniperway
