#include "common/net/address.h"

#include <asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <sstream>

namespace juniperway::net {
namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

std::optional<asio::ip::address>& ProcessSourceAddress() {
  static std::optional<asio::ip::address> address;
  return address;
}

}  // namespace

Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text,
                                              std::string_view field) {
  const auto refuse = [&] {
    return MakeError(
        ErrorCode::kInvalidArgument, std::string(field),
        "must be an address like 10.0.0.1:7100 or [::1]:7100, not '" +
            std::string(text) + "'");
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return refuse();
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  std::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(std::string(host), error);
  const std::optional<std::uint16_t> port = ParsePort(text.substr(colon + 1));
  if (error || !port || address.is_v6() != bracketed) {
    return refuse();
  }
  return asio::ip::tcp::endpoint(address, *port);
}

Result<asio::ip::tcp::endpoint> ParseRemoteEndpoint(std::string_view text,
                                                    std::string_view field) {
  auto endpoint = ParseEndpoint(text, field);
  if (!endpoint) {
    return endpoint;
  }
  const auto refuse = [&](const char* message) {
    return MakeError(ErrorCode::kInvalidArgument, std::string(field), message);
  };
  const asio::ip::address address = endpoint->address();
  if (endpoint->port() == 0) {
    return refuse("must have a port");
  }
  if (address.is_unspecified() || address.is_multicast()) {
    return refuse("must be the address of one machine");
  }
  if (address.is_v6() && address.to_v6().is_v4_mapped()) {
    return refuse("must be written as an IPv4 address");
  }
  return endpoint;
}

std::string FormatEndpoint(const asio::ip::tcp::endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

void SetSourceAddress(const asio::ip::address& address) {
  ProcessSourceAddress() = address;
}

const std::optional<asio::ip::address>& SourceAddress() {
  return ProcessSourceAddress();
}

}  // namespace juniperway::net
