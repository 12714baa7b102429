// "ip:port" endpoints. Names are not resolved: the fleet talks by IP numbers.
#pragma once

#include <asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "common/base/error.h"

namespace juniperway::net {

// Parses "127.0.0.1:80" or "[::1]:80".
// @param field names the input in the error.
Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text,
                                              std::string_view field);

std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint);

}  // namespace juniperway::net
