// Parses one line of an HTTP/1.x message's header section, strictly.
#pragma once

#include <optional>
#include <string_view>

namespace juniperway::net {

// Removes the line end, CR LF or LF.
// @return std::nullopt when the line has none, or has control characters.
std::optional<std::string_view> WithoutLineEnd(std::string_view line);
// Whether the text may be the beginning of a line.
bool IsLineStart(std::string_view text);

// One header field. The views are valid as long as its line.
struct FieldLine {
  std::string_view name;
  std::string_view value;
};

// Parses "name: value" without its line end.
// @return std::nullopt when the name is not a token, also for a line that
//   continues the one before.
std::optional<FieldLine> ParseFieldLine(std::string_view line);

}  // namespace juniperway::net
