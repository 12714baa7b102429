// Finds the route of a request: the one of its host with the longest prefix
// that begins its path. Pure; built once for each table.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "common/routes/route_table.h"
#include "common/routes/tenant_index.h"

namespace juniperway::routes {

class RouteIndex {
 public:
  explicit RouteIndex(RouteTablePointer table);

  // @param host as in the request's header: case and a port do not count.
  // @param path without the query string.
  // @return the route, which lives as long as the table; null when there is
  //   none.
  const Route* Find(std::string_view host, std::string_view path) const;

  const RouteTablePointer& table() const { return table_; }
  const TenantIndex& tenants() const { return tenants_; }

 private:
  using RoutesByPrefix = std::map<std::string, const Route*, std::less<>>;

  RouteTablePointer table_;
  TenantIndex tenants_;
  std::map<std::string, RoutesByPrefix, std::less<>> hosts_;
};

}  // namespace juniperway::routes
