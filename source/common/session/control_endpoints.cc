#include "common/session/control_endpoints.h"

#include <algorithm>
#include <stdexcept>

#include "common/base/error.h"
#include "common/net/address.h"

namespace juniperway::session {
namespace {

// Field that errors name.
constexpr const char* kField = "control";

}  // namespace

ControlEndpoints::ControlEndpoints(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    const auto endpoint = net::ParseEndpoint(address, kField);
    if (!endpoint) {
      throw std::runtime_error(FormatError(endpoint.error()));
    }
    endpoints_.push_back(*endpoint);
  }
  if (endpoints_.empty()) {
    throw std::runtime_error("control: at least one address is needed");
  }
}

bool ControlEndpoints::Add(const std::string& address) {
  const auto endpoint = net::ParseEndpoint(address, kField);
  if (!endpoint || Find(address)) {
    return false;
  }
  endpoints_.push_back(*endpoint);
  return true;
}

std::optional<std::size_t> ControlEndpoints::Find(
    const std::string& address) const {
  const auto endpoint = net::ParseEndpoint(address, kField);
  if (!endpoint) {
    return std::nullopt;
  }
  const auto found = std::ranges::find(endpoints_, *endpoint);
  if (found == endpoints_.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - endpoints_.begin());
}

}  // namespace juniperway::session
