#include "common/routes/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "common/base/text.h"

namespace juniperway::routes {
namespace {

// Returns the host in lower case without its port.
std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const std::size_t bracket = host.rfind(']');
  const bool has_port = colon != std::string_view::npos &&
                        (bracket == std::string_view::npos || colon > bracket);
  return ToLower(has_port ? host.substr(0, colon) : host);
}

}  // namespace

RouteIndex::RouteIndex(RouteTablePointer table)
    : table_(std::move(table)), tenants_(*table_) {
  for (const Route& route : table_->routes) {
    hosts_[route.host][route.path_prefix] = &route;
  }
}

const Route* RouteIndex::Find(std::string_view host,
                              std::string_view path) const {
  const auto routes = hosts_.find(NormalizeHost(host));
  if (routes == hosts_.end()) {
    return nullptr;
  }
  // Tries the path's prefixes from the longest. Prefixes of routes end with a
  // slash, so only prefixes of the path that end with a slash can match.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found = routes->second.find(path.substr(0, end + 1));
    if (found != routes->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

}  // namespace juniperway::routes
