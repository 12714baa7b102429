#include "common/logging/event_log.h"

#include <glog/logging.h>

namespace juniperway::logging {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void AppendQuoted(std::string_view value, std::string* text) {
  *text += '"';
  for (const char character : value) {
    if (character == '\n') {
      *text += "\\n";
      continue;
    }
    if (character == '\r') {
      *text += "\\r";
      continue;
    }
    if (character == '"' || character == '\\') {
      *text += '\\';
    }
    *text += character;
  }
  *text += '"';
}

}  // namespace

Field::Field(std::string_view key, std::string_view value) : text_(key) {
  text_ += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(value, &text_);
  } else {
    text_ += value;
  }
}

std::string FormatEvent(const EventType& type,
                        std::initializer_list<Field> fields) {
  std::string line = "E" + std::to_string(type.number) + " ";
  line += type.name;
  for (const Field& field : fields) {
    line += ' ';
    line += field.text();
  }
  return line;
}

void LogEvent(const EventType& type, std::initializer_list<Field> fields) {
  switch (type.severity) {
    case Severity::kInfo:
      LOG(INFO) << FormatEvent(type, fields);
      break;
    case Severity::kWarning:
      LOG(WARNING) << FormatEvent(type, fields);
      break;
    case Severity::kError:
      LOG(ERROR) << FormatEvent(type, fields);
      break;
  }
}

}  // namespace juniperway::logging
