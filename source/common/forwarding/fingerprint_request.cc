#include "common/forwarding/fingerprint_request.h"

#include <xxhash.h>

#include <string_view>

#include "common/base/text.h"

namespace juniperway::forwarding {

RequestFingerprint FingerprintOf(const net::HttpRequest& request,
                                 const std::string& tenant) {
  std::uint64_t hash = 0;
  // Each part's hash is the seed of the next one's, so that bytes which move
  // from one part to its neighbour change the result.
  const auto add = [&hash](std::string_view part) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  };
  add(request.method);
  add(ToLower(request.Header("host").value_or("")));
  add(request.target);
  add(request.body);
  // Who asks, as far as the request says so. Not the client's address: a caller
  // repeats a request from any of its machines, and each would then end back
  // ends anew.
  add(tenant.empty() ? request.Header("authorization").value_or("") : tenant);
  return {hash};
}

}  // namespace juniperway::forwarding
