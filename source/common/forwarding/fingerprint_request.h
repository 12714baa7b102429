// Computes the fingerprint of a client's request.
#pragma once

#include "common/base/request_fingerprint.h"
#include "common/net/http_server.h"

namespace juniperway::forwarding {

RequestFingerprint FingerprintOf(const net::HttpRequest& request);

}  // namespace juniperway::forwarding
