// Small helpers on text.
#pragma once

#include <string>
#include <string_view>

namespace juniperway {

// ASCII letters in lower case, as header names and hosts are compared.
std::string ToLower(std::string_view text);

// Whether two texts differ in the case of ASCII letters at most.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

}  // namespace juniperway
