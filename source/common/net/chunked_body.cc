#include "common/net/chunked_body.h"

#include <charconv>
#include <cstddef>
#include <utility>

#include "common/net/header_line.h"

namespace juniperway::net {
namespace {

constexpr int kHexadecimal = 16;
constexpr std::string_view kLineEnd = "\r\n";

// Takes the next line off the text.
// @return the line without its end; std::nullopt when there is none.
std::optional<std::string_view> TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  const auto line = WithoutLineEnd(text.substr(0, end + 1));
  text.remove_prefix(end + 1);
  return line;
}

// Parses the line before a chunk: digits, and perhaps extensions.
std::optional<std::size_t> ParseChunkSize(std::string_view line) {
  std::size_t size = 0;
  const char* line_end = line.data() + line.size();
  const auto [end, error] =
      std::from_chars(line.data(), line_end, size, kHexadecimal);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::size_t extension = line.find_first_not_of(
      " \t", static_cast<std::size_t>(end - line.data()));
  if (extension != std::string_view::npos && line[extension] != ';') {
    return std::nullopt;
  }
  return size;
}

// Whether the trailers are well formed and end.
bool TakeTrailers(std::string_view& text) {
  while (true) {
    const auto line = TakeLine(text);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
    if (!ParseFieldLine(*line)) {
      return false;
    }
  }
}

}  // namespace

std::optional<std::string> DecodeChunked(std::string_view coded) {
  std::string body;
  while (true) {
    const auto line = TakeLine(coded);
    const auto size = line ? ParseChunkSize(*line) : std::nullopt;
    if (!size) {
      return std::nullopt;
    }
    if (*size == 0) {
      return TakeTrailers(coded) ? std::optional(std::move(body))
                                 : std::nullopt;
    }
    const bool is_there = coded.size() >= kLineEnd.size() &&
                          *size <= coded.size() - kLineEnd.size() &&
                          coded.substr(*size, kLineEnd.size()) == kLineEnd;
    if (!is_there) {
      return std::nullopt;
    }
    body += coded.substr(0, *size);
    coded.remove_prefix(*size + kLineEnd.size());
  }
}

}  // namespace juniperway::net
