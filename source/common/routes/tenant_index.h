// Finds the tenant of a request by its API key. Immutable.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/routes/route_table.h"

namespace juniperway::routes {

// Header fields of a request in the order of arrival; names may repeat.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// The header field that carries a request's API key.
inline constexpr std::string_view kCredentialsHeader = "authorization";

// Returns the API key of a request, which must have exactly one credentials
// header of the form "Bearer KEY"; the function ignores the case of the scheme.
// @return nothing if the header is missing, repeated or malformed.
std::optional<std::string_view> ApiKeyOf(const HeaderFields& fields);

// Built once per route table and owned by its RouteIndex.
class TenantIndex {
 public:
  // @param table must outlive the index.
  explicit TenantIndex(const RouteTable& table);

  // Whether requests need the key of a tenant, except on anonymous routes.
  bool RequiresKeys() const { return requires_keys_; }

  // @return the tenant, which is valid as long as the table; null if no tenant
  //   has this key.
  const Tenant* Find(std::string_view key) const;

 private:
  bool requires_keys_ = false;
  std::map<std::string, const Tenant*, std::less<>> keys_;
};

}  // namespace juniperway::routes
