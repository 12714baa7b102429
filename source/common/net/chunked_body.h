// Decodes a body in the chunked transfer coding (RFC 9112, 7.1), strictly:
// libcurl takes whatever follows the digits of a chunk's size for an extension.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace juniperway::net {

// @param coded the chunks, the trailers and the empty line that ends them, with
//   or without bytes that follow.
// @return the body; std::nullopt when the coding is malformed or cut off.
std::optional<std::string> DecodeChunked(std::string_view coded);

}  // namespace juniperway::net
