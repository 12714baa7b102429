// Reads the fields of one JSON object into typed variables, and refuses fields
// that nobody asked for. For the lab's own settings and control calls.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "common/base/error.h"
#include "common/base/time.h"

namespace juniperway::lab {

class JsonReader {
 public:
  // @param path prefixes the names of fields in errors.
  explicit JsonReader(const nlohmann::json& object, std::string path = "")
      : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) {
      Fail("", "must be an object");
    }
  }

  // Reads `name` into `target` when present.
  template <typename T>
  JsonReader& Optional(const std::string& name, T& target) {
    ReadField(name,
              [&](const nlohmann::json& value) { target = value.get<T>(); });
    return *this;
  }

  template <typename T>
  JsonReader& Optional(const std::string& name, std::optional<T>& target) {
    ReadField(name, [&](const nlohmann::json& value) {
      target = value.is_null() ? std::optional<T>() : value.get<T>();
    });
    return *this;
  }

  // A time in milliseconds, fractions allowed.
  JsonReader& Milliseconds(const std::string& name, Duration& target) {
    ReadField(name, [&](const nlohmann::json& value) {
      target = Duration(static_cast<Duration::rep>(value.get<double>() * 1000));
    });
    return *this;
  }

  template <typename T>
  JsonReader& Required(const std::string& name, T& target) {
    if (object_.is_object() && !object_.contains(name)) {
      Fail(name, "is missing");
    }
    return Optional(name, target);
  }

  // The member itself, null when absent.
  nlohmann::json Member(const std::string& name) {
    nlohmann::json member;
    ReadField(name, [&](const nlohmann::json& value) { member = value; });
    return member;
  }

  // The first error met, unknown fields included.
  Result<void> Finish() {
    if (!error_ && object_.is_object()) {
      for (const auto& [name, value] : object_.items()) {
        if (!known_.contains(name)) {
          Fail(name, "is unknown");
          break;
        }
      }
    }
    if (error_) {
      return tl::unexpected<Error>(*error_);
    }
    return {};
  }

 private:
  template <typename Reader>
  void ReadField(const std::string& name, Reader read) {
    known_.insert(name);
    if (!object_.is_object() || !object_.contains(name)) {
      return;
    }
    try {
      read(object_.at(name));
    } catch (const nlohmann::json::exception&) {
      Fail(name, "has the wrong type");
    }
  }

  void Fail(const std::string& name, const std::string& message) {
    if (!error_) {
      error_ = Error{ErrorCode::kInvalidArgument, path_ + name, message};
    }
  }

  const nlohmann::json& object_;
  std::string path_;
  std::set<std::string> known_;
  std::optional<Error> error_;
};

// Milliseconds with fractions, the JSON form of a Duration.
inline double FractionalMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace juniperway::lab
