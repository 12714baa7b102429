// Names of the HTTP headers that routers read and write. The settings may
// replace each name ([router.headers]); the meanings stay the same.
#pragma once

#include <string>

namespace juniperway::forwarding {

// One set of header names; RouterOptions owns it.
struct HeaderNames {
  // --- From the client, forwarded to backends
  // Identifies one request that a client sends; backends echo it in answers.
  std::string request_id = "X-Request-Id";
  // How long the sender of the request waits for an answer, in milliseconds.
  std::string deadline = "X-Deadline-Ms";

  // --- To backends
  // Id of the backend that the request is for; another backend answers 421.
  std::string expected_backend = "X-Expected-Backend";
  // Name of the request's tenant, when the route table has tenants.
  std::string tenant = "X-Tenant";

  // --- From backends
  // Signature of an answer. The router discards an answer without one, unless
  // the backend did not run the request.
  std::string signature = "X-Signature";
  // Present when the backend did not run the request.
  std::string not_executed = "X-Not-Run";

  // --- To the client
  // Comma-separated signatures of the shards' answers that are merged.
  std::string part_signatures = "X-Shard-Signatures";
  // Number of shards whose answers are missing.
  std::string missing_parts = "X-Missing-Shards";
};

}  // namespace juniperway::forwarding
