// "ip:port" endpoints. Names are not resolved: the fleet talks by IP numbers.
#pragma once

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "common/base/error.h"

namespace juniperway::net {

// Parses "127.0.0.1:80" or "[::1]:80".
// @param field names the input in the error.
Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text,
                                              std::string_view field);

// As ParseEndpoint, for an endpoint that others are to dial: one machine's,
// with a port. IPv4-mapped IPv6 addresses are refused, so that FormatEndpoint
// gives each endpoint one spelling.
Result<asio::ip::tcp::endpoint> ParseRemoteEndpoint(std::string_view text,
                                                    std::string_view field);

std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint);

// The address that outgoing connections of this process come from, for machines
// with several; nothing: the operating system chooses. Set once, before the
// first connection.
void SetSourceAddress(const asio::ip::address& address);
const std::optional<asio::ip::address>& SourceAddress();

}  // namespace juniperway::net
