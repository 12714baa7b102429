#include "common/net/second_head.h"

#include <algorithm>
#include <cctype>

#include "common/base/text.h"
#include "common/net/header_line.h"

namespace juniperway::net {
namespace {

// A digit stands for '#', any other character for itself.
constexpr std::string_view kStatusLinePattern = "HTTP/1.# ###";
// Longer heads in a body are not searched for: bounds the time for a body that
// is full of status lines.
constexpr std::size_t kMaximumHeadBytes = 16U << 10;

bool IsDigit(char character) {
  return std::isdigit(static_cast<unsigned char>(character)) != 0;
}

// Whether the text begins as a status line does, as far as both go.
bool MatchesPattern(std::string_view text) {
  const std::size_t compared = std::min(text.size(), kStatusLinePattern.size());
  for (std::size_t i = 0; i < compared; ++i) {
    const char expected = kStatusLinePattern[i];
    if (expected == '#' ? !IsDigit(text[i]) : text[i] != expected) {
      return false;
    }
  }
  return true;
}

bool BeginsWithStatusLine(std::string_view text) {
  return text.size() >= kStatusLinePattern.size() && MatchesPattern(text);
}

// How far a text that begins as a status line is the head of a response.
struct HeadText {
  // The text ends before the head does, which is well formed so far.
  bool cut_off = false;
  // The whole head is there.
  bool whole = false;
  std::vector<FieldLine> fields;
};

HeadText ReadHead(std::string_view text) {
  HeadText head;
  bool is_status_line = true;
  text = text.substr(0, kMaximumHeadBytes);
  while (true) {
    const std::size_t line_end = text.find('\n');
    if (line_end == std::string_view::npos) {
      head.cut_off = IsLineStart(text);
      return head;
    }
    const auto line = WithoutLineEnd(text.substr(0, line_end + 1));
    text.remove_prefix(line_end + 1);
    if (!line) {
      return head;
    }
    if (is_status_line) {
      if (!IsStatusLine(*line)) {
        return head;
      }
      is_status_line = false;
      continue;
    }
    if (line->empty()) {
      head.whole = true;
      return head;
    }
    const auto field = ParseFieldLine(*line);
    if (!field || ContainsStatusLine(*line)) {
      return head;
    }
    head.fields.push_back(*field);
  }
}

bool Matches(const FieldLine& field, const IdentifyingField& expected) {
  return EqualsIgnoringCase(field.name, expected.name) &&
         (expected.value.empty() || field.value == expected.value);
}

bool HasAll(const HeadText& head,
            const std::vector<IdentifyingField>& expected) {
  return std::ranges::all_of(expected, [&head](const IdentifyingField& field) {
    return std::ranges::any_of(head.fields, [&field](const FieldLine& found) {
      return Matches(found, field);
    });
  });
}

// Returns the next position at which a status line begins.
std::size_t FindStatusLine(std::string_view text, std::size_t from) {
  constexpr std::string_view kPrefix = "HTTP/1.";
  std::size_t at = text.find(kPrefix, from);
  while (at != std::string_view::npos &&
         !BeginsWithStatusLine(text.substr(at))) {
    at = text.find(kPrefix, at + 1);
  }
  return at;
}

}  // namespace

bool IsStatusLine(std::string_view line) {
  if (!BeginsWithStatusLine(line)) {
    return false;
  }
  const std::string_view reason = line.substr(kStatusLinePattern.size());
  return reason.empty() ||
         (reason.front() == ' ' && !ContainsStatusLine(reason));
}

bool ContainsStatusLine(std::string_view text) {
  return FindStatusLine(text, 0) != std::string_view::npos;
}

bool ContainsWholeHead(std::string_view body) {
  for (std::size_t at = FindStatusLine(body, 0); at != std::string_view::npos;
       at = FindStatusLine(body, at + 1)) {
    if (ReadHead(body.substr(at)).whole) {
      return true;
    }
  }
  return false;
}

bool ContainsHeadWith(std::string_view body,
                      const std::vector<IdentifyingField>& fields) {
  for (std::size_t at = FindStatusLine(body, 0); at != std::string_view::npos;
       at = FindStatusLine(body, at + 1)) {
    const HeadText head = ReadHead(body.substr(at));
    if (!head.fields.empty() && HasAll(head, fields)) {
      return true;
    }
  }
  return false;
}

std::size_t HeadStartAtEnd(std::string_view body) {
  constexpr char kFirst = kStatusLinePattern.front();
  for (std::size_t at = body.find(kFirst); at != std::string_view::npos;
       at = body.find(kFirst, at + 1)) {
    const std::string_view rest = body.substr(at);
    if (MatchesPattern(rest) && ReadHead(rest).cut_off) {
      return rest.size();
    }
  }
  return 0;
}

}  // namespace juniperway::net
