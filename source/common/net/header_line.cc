#include "common/net/header_line.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace juniperway::net {
namespace {

using CharacterSet = std::array<bool, 256>;

// The characters of a token (RFC 9110, 5.6.2).
constexpr CharacterSet MakeTokenCharacters() {
  CharacterSet set{};
  for (const unsigned char character :
       std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                        "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
    set[character] = true;
  }
  return set;
}

// Control characters, but for the tab.
constexpr CharacterSet MakeForbiddenCharacters() {
  constexpr std::size_t kFirstPrintable = 0x20;
  constexpr std::size_t kDelete = 0x7f;
  CharacterSet set{};
  for (std::size_t character = 0; character < kFirstPrintable; ++character) {
    set[character] = character != '\t';
  }
  set[kDelete] = true;
  return set;
}

constexpr CharacterSet kTokenCharacters = MakeTokenCharacters();
constexpr CharacterSet kForbiddenCharacters = MakeForbiddenCharacters();

bool IsTokenCharacter(char character) {
  return kTokenCharacters[static_cast<unsigned char>(character)];
}

bool IsForbidden(char character) {
  return kForbiddenCharacters[static_cast<unsigned char>(character)];
}

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

std::optional<std::string_view> WithoutLineEnd(std::string_view line) {
  if (!line.ends_with('\n')) {
    return std::nullopt;
  }
  line.remove_suffix(1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (std::ranges::any_of(line, IsForbidden)) {
    return std::nullopt;
  }
  return line;
}

bool IsLineStart(std::string_view text) {
  if (text.ends_with('\r')) {
    text.remove_suffix(1);
  }
  return std::ranges::none_of(text, IsForbidden);
}

std::optional<FieldLine> ParseFieldLine(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  // A proxy removes blanks before the colon of a response (RFC 9112, 5.1).
  const std::size_t last = line.find_last_not_of(" \t", colon - 1);
  if (last == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view name = line.substr(0, last + 1);
  if (!std::ranges::all_of(name, IsTokenCharacter)) {
    return std::nullopt;
  }
  return FieldLine{name, TrimBlanks(line.substr(colon + 1))};
}

}  // namespace juniperway::net
