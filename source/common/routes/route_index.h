// Finds the route of a request: among the routes of the request's host, the one
// with the longest matching path prefix. Immutable.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "common/routes/route_table.h"
#include "common/routes/tenant_index.h"

namespace juniperway::routes {

// Built once per route table. Shares the ownership of the table with the
// table's other users.
class RouteIndex {
 public:
  explicit RouteIndex(RouteTablePointer table);

  // @param host value of the Host header; case and port are ignored.
  // @param path without the query string.
  // @return the route, which is valid as long as the table; null if none
  //   matches.
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
