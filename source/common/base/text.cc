#include "common/base/text.h"

#include <algorithm>

namespace juniperway {
namespace {

// std::tolower looks the locale up for each letter.
char LowerLetter(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a')
                                        : letter;
}

}  // namespace

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), LowerLetter);
  return lower;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, LowerLetter, LowerLetter);
}

}  // namespace juniperway
