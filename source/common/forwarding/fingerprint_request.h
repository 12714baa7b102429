// Computes the fingerprint by which routers recognize a request that a client
// sends again.
#pragma once

#include <string>

#include "common/base/request_fingerprint.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

// @param tenant name of the request's tenant. When it is empty, the credentials
//   identify the client. The tenant name takes precedence because a tenant may
//   rotate its keys while its requests stay the same.
RequestFingerprint FingerprintOf(const net::HttpRequest& request,
                                 const std::string& tenant = "");

}  // namespace juniperway::forwarding
