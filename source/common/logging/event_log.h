// Numbered, named log events with key=value fields, written through glog.
// Each subsystem declares its own in <subsystem>/events.h from its own range;
// docs/EVENTS.md is the catalogue, and a test holds the two together.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace juniperway::logging {

enum class Severity { kInfo, kWarning, kError };

// How much events of a kind may write; see LogLimits.
enum class Volume {
  kState,    // What a process believes changed: written always.
  kRequest,  // A request that did not end well.
  kSuccess,  // A request that did: a sample.
};

// Declared as: inline constexpr EventType kLeaseLost{3004, "lease_lost",
// Severity::kWarning};
struct EventType {
  int number = 0;
  std::string_view name;
  Severity severity = Severity::kInfo;
  Volume volume = Volume::kState;
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

// Whether an event of this kind would be written now. For fields that take long
// to make.
bool IsLogged(const EventType& type);

// Writes "E3004 lease_lost daemon=g1 term=4" at the event's severity.
void LogEvent(const EventType& type, std::initializer_list<Field> fields);

// Lines a second of one process; more are dropped and counted.
struct LogLimits {
  double request_lines = 200;
  double success_lines = 5;
};
// For the whole process; without a call the default limits hold.
void SetLogLimits(const LogLimits& limits);

struct DroppedLines {
  // Above LogLimits.
  std::uint64_t limited = 0;
  // The reader of the log was too slow.
  std::uint64_t unwritten = 0;
};
// Since the start of the process.
DroppedLines CountedDrops();
// A line could not be written without waiting.
void CountUnwritten();
// Says in the log how many lines were dropped since the last call, if any.
// Call about once a second.
void ReportDrops();

// The line that LogEvent writes, without glog's prefix.
std::string FormatEvent(const EventType& type,
                        std::initializer_list<Field> fields);

}  // namespace juniperway::logging
