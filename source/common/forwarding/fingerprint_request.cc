#include "common/forwarding/fingerprint_request.h"

#include <xxhash.h>

#include <string_view>

#include "common/base/text.h"

namespace juniperway::forwarding {

RequestFingerprint FingerprintOf(const net::HttpRequest& request,
                                 const std::string& tenant) {
  std::uint64_t hash = 0;
  // The hash of each field seeds the hash of the next one, so that bytes which
  // move from one field to the next change the result.
  const auto add = [&hash](std::string_view field) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  };
  add(request.method);
  add(ToLower(request.Header("host").value_or("")));
  add(request.target);
  add(request.body);
  // The client's identity, but not its address: a client may send a request
  // again from another host, and with a new fingerprint the request could crash
  // further backends.
  add(tenant.empty() ? request.Header("authorization").value_or("") : tenant);
  return {hash};
}

}  // namespace juniperway::forwarding
