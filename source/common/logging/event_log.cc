#include "common/logging/event_log.h"

#include <glog/logging.h>

#include <mutex>

#include "common/logging/events.h"
#include "common/logging/line_budget.h"

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

// What all threads of the process share.
struct LogState {
  std::mutex mutex;
  LineBudget request_lines{LogLimits().request_lines};
  LineBudget success_lines{LogLimits().success_lines};
  DroppedLines dropped;
  DroppedLines reported;

  bool Admit(Volume volume) {
    if (volume == Volume::kState) {
      return true;
    }
    const std::lock_guard lock(mutex);
    LineBudget& budget =
        volume == Volume::kRequest ? request_lines : success_lines;
    const bool admitted = budget.Take(ReadMonotonicClock());
    // A success that is not in the sample is no loss.
    if (!admitted && volume == Volume::kRequest) {
      ++dropped.limited;
    }
    return admitted;
  }

  bool WouldAdmit(Volume volume) {
    if (volume == Volume::kState) {
      return true;
    }
    const std::lock_guard lock(mutex);
    const LineBudget& budget =
        volume == Volume::kRequest ? request_lines : success_lines;
    return budget.HasLine(ReadMonotonicClock());
  }
};

LogState& State() {
  static LogState state;
  return state;
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

void SetLogLimits(const LogLimits& limits) {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  state.request_lines = LineBudget(limits.request_lines);
  state.success_lines = LineBudget(limits.success_lines);
}

DroppedLines CountedDrops() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  return state.dropped;
}

void CountUnwritten() {
  LogState& state = State();
  const std::lock_guard lock(state.mutex);
  ++state.dropped.unwritten;
}

void ReportDrops() {
  LogState& state = State();
  DroppedLines since;
  {
    const std::lock_guard lock(state.mutex);
    since.limited = state.dropped.limited - state.reported.limited;
    since.unwritten = state.dropped.unwritten - state.reported.unwritten;
    state.reported = state.dropped;
  }
  if (since.limited + since.unwritten > 0) {
    LogEvent(kLinesDropped,
             {{"limited", since.limited}, {"unwritten", since.unwritten}});
  }
}

bool IsLogged(const EventType& type) { return State().WouldAdmit(type.volume); }

void LogEvent(const EventType& type, std::initializer_list<Field> fields) {
  if (!State().Admit(type.volume)) {
    return;
  }
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
