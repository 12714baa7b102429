#include "common/routes/tenant_index.h"

#include "common/base/text.h"

namespace juniperway::routes {
namespace {

constexpr std::string_view kScheme = "bearer";

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

}  // namespace

std::optional<std::string_view> ApiKeyOf(const HeaderFields& fields) {
  const std::string* credentials = nullptr;
  for (const auto& [name, value] : fields) {
    if (!EqualsIgnoringCase(name, kCredentialsHeader)) {
      continue;
    }
    if (credentials != nullptr) {
      return std::nullopt;
    }
    credentials = &value;
  }
  if (credentials == nullptr) {
    return std::nullopt;
  }
  const std::string_view text = TrimBlanks(*credentials);
  const std::size_t blank = text.find(' ');
  if (blank == std::string_view::npos ||
      !EqualsIgnoringCase(text.substr(0, blank), kScheme)) {
    return std::nullopt;
  }
  const std::string_view key = TrimBlanks(text.substr(blank));
  const bool is_one_word = key.find_first_of(" \t") == std::string_view::npos;
  return key.empty() || !is_one_word ? std::nullopt : std::optional(key);
}

TenantIndex::TenantIndex(const RouteTable& table)
    : requires_keys_(table.tenants.has_value()) {
  if (!table.tenants) {
    return;
  }
  for (const Tenant& tenant : *table.tenants) {
    for (const std::string& key : tenant.api_keys) {
      keys_[key] = &tenant;
    }
  }
}

const Tenant* TenantIndex::Find(std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : found->second;
}

}  // namespace juniperway::routes
