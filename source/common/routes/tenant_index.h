// Finds the tenant of a request by its API key. Pure; built once for each
// table.
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

// Header fields of a request, as they came; a name may stand more than once.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

inline constexpr std::string_view kCredentialsHeader = "authorization";

// The key of a request: exactly one credentials header, "Bearer KEY", where the
// scheme's case does not count.
// @return nothing when there is none, or the header is malformed.
std::optional<std::string_view> ApiKeyOf(const HeaderFields& fields);

class TenantIndex {
 public:
  // @param table must outlive the index.
  explicit TenantIndex(const RouteTable& table);

  // Whether requests need the key of a tenant, but on anonymous routes.
  bool RequiresKeys() const { return requires_keys_; }

  // @return the tenant, which lives as long as the table; null: no tenant has
  //   this key.
  const Tenant* Find(std::string_view key) const;

 private:
  bool requires_keys_ = false;
  std::map<std::string, const Tenant*, std::less<>> keys_;
};

}  // namespace juniperway::routes
