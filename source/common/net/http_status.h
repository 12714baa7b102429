// Texts of HTTP status lines.
#pragma once

#include <string_view>

namespace juniperway::net {

// The phrase that goes with a status, e.g. "Not Found" for 404.
std::string_view ReasonPhrase(int status);

}  // namespace juniperway::net
