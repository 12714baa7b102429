// Numbered, named log events with key=value fields, written through glog.
// Each subsystem declares its own in <subsystem>/events.h from its own range;
// docs/EVENTS.md is the catalogue, and a test holds the two together.
#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace juniperway::logging {

enum class Severity { kInfo, kWarning, kError };

// Declared as: inline constexpr EventType kLeaseLost{3004, "lease_lost",
// Severity::kWarning};
struct EventType {
  int number = 0;
  std::string_view name;
  Severity severity = Severity::kInfo;
};

// One key=value pair. Strings are quoted when they hold blanks or quotes.
class Field {
 public:
  Field(std::string_view key, std::string_view value);
  Field(std::string_view key, const char* value)
      : Field(key, std::string_view(value)) {}
  Field(std::string_view key, const std::string& value)
      : Field(key, std::string_view(value)) {}
  Field(std::string_view key, bool value)
      : Field(key, std::string_view(value ? "true" : "false")) {}
  template <typename Number>
  requires(std::integral<Number> || std::floating_point<Number>)
      Field(std::string_view key, Number value)
      : Field(key, std::string_view(std::to_string(value))) {}

  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Writes "E3004 lease_lost daemon=g1 term=4" at the event's severity.
void LogEvent(const EventType& type, std::initializer_list<Field> fields);

// The line that LogEvent writes, without glog's prefix.
std::string FormatEvent(const EventType& type,
                        std::initializer_list<Field> fields);

}  // namespace juniperway::logging
