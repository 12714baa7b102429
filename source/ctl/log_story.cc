#include "ctl/log_story.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <utility>

namespace juniperway::ctl {
namespace {

constexpr std::string_view kPrefixEnd = "] E";
// "I20261202 11:23:43.146750"
constexpr std::size_t kDateLength = 8;
constexpr std::size_t kTimeLength = 24;
constexpr std::string_view kSeverities = "IWEF";
constexpr std::string_view kRequestField = "request";

bool IsDigits(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char letter) {
    return std::isdigit(letter) != 0;
  });
}

// Where glog's "I20261202 " begins; other text may stand before it.
std::optional<std::size_t> FindTime(std::string_view prefix) {
  for (std::size_t i = 0; i + kTimeLength < prefix.size(); ++i) {
    const bool begins = (i == 0 || prefix[i - 1] == ' ') &&
                        kSeverities.find(prefix[i]) != std::string_view::npos;
    if (begins && IsDigits(prefix.substr(i + 1, kDateLength))) {
      return i + 1;
    }
  }
  return std::nullopt;
}

// The next word, which is taken off `text` with the blank behind it.
std::string_view TakeWord(std::string_view& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  const std::string_view word = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return word;
}

std::string Unquote(std::string_view text) {
  std::string value;
  for (std::size_t i = 1; i < text.size() && text[i] != '"'; ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      ++i;
    }
    value += text[i];
  }
  return value;
}

bool Earlier(const LogLine& first, const LogLine& second) {
  return first.time < second.time;
}

}  // namespace

std::optional<std::string> LogLine::Field(std::string_view key) const {
  const std::string wanted = std::string(key) + "=";
  std::size_t at = fields.find(wanted);
  while (at != std::string::npos && at > 0 && fields[at - 1] != ' ') {
    at = fields.find(wanted, at + 1);
  }
  if (at == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(fields).substr(at + wanted.size());
  return rest.starts_with('"') ? Unquote(rest) : std::string(TakeWord(rest));
}

std::optional<LogLine> ParseLogLine(std::string_view text,
                                    const std::string& process) {
  const std::size_t prefix_end = text.find(kPrefixEnd);
  if (prefix_end == std::string_view::npos) {
    return std::nullopt;
  }
  const auto time = FindTime(text.substr(0, prefix_end));
  std::string_view rest = text.substr(prefix_end + 2);
  const std::string_view number = TakeWord(rest);
  if (!time || !IsDigits(number.substr(1))) {
    return std::nullopt;
  }
  LogLine line;
  line.process = process;
  line.time = text.substr(*time, kTimeLength);
  line.number = number;
  line.name = TakeWord(rest);
  line.fields = rest;
  return line;
}

LogStory TellStory(const std::vector<LogLine>& lines,
                   const std::string& request_id) {
  LogStory story;
  // The last state lines of a process, until the request comes.
  std::map<std::string, std::map<std::string, LogLine>> latest;
  std::map<std::string, bool> concerned;
  for (const LogLine& line : lines) {
    const auto request = line.Field(kRequestField);
    if (request && *request == request_id) {
      story.events.push_back(line);
      concerned[line.process] = true;
    } else if (!request && !concerned[line.process]) {
      latest[line.process][line.number] = line;
    }
  }
  for (const auto& [process, is_concerned] : concerned) {
    if (is_concerned) {
      for (auto& [number, line] : latest[process]) {
        story.state.push_back(std::move(line));
      }
    }
  }
  std::ranges::stable_sort(story.events, Earlier);
  std::ranges::stable_sort(story.state, Earlier);
  return story;
}

}  // namespace juniperway::ctl
