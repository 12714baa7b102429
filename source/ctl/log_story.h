// What the logs of several processes say of one request: its own events, and
// the state that the process rested on when it decided. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace juniperway::ctl {

// One event of a log: "I20261202 11:23:43.146750 1 event_log.cc:57] E3411
// request_ended request=… result=…".
struct LogLine {
  // Name of the process that wrote it.
  std::string process;
  // "20261202 11:23:43.146750": sorts by time. By the process's own clock.
  std::string time;
  // "E3411"
  std::string number;
  // "request_ended"
  std::string name;
  // The fields as they stand: "request=… result=…".
  std::string fields;

  // The value of a field without its quotes; nothing when it is not there.
  std::optional<std::string> Field(std::string_view key) const;
};

// @return nothing for a line that is no event.
std::optional<LogLine> ParseLogLine(std::string_view text,
                                    const std::string& process);

struct LogStory {
  // Of the request, in order of time.
  std::vector<LogLine> events;
  // For each process that has events of the request: the last line of each kind
  // of event without a request, written before the first of the request's.
  std::vector<LogLine> state;
};

// @param lines of all processes; each process's in the order of its log.
LogStory TellStory(const std::vector<LogLine>& lines,
                   const std::string& request_id);

}  // namespace juniperway::ctl
