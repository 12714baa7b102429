// Computes the fingerprint of a client's request.
#pragma once

#include <string>

#include "common/base/request_fingerprint.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

// @param tenant of the request; empty: it has none, and its credentials tell
//   who asks. A tenant's keys are exchanged while its requests stay the same.
RequestFingerprint FingerprintOf(const net::HttpRequest& request,
                                 const std::string& tenant = "");

}  // namespace juniperway::forwarding
