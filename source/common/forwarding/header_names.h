// The names of the headers that forwarding reads and writes. The fleet's
// settings may replace each ([router.headers]); what they mean stays.
#pragma once

#include <string>

namespace juniperway::forwarding {

struct HeaderNames {
  // --- From the client, passed on
  // Names one attempt of a client; answers of back ends give it back.
  std::string request_id = "X-Request-Id";
  // How long the sender waits, in milliseconds.
  std::string deadline = "X-Deadline-Ms";

  // --- To back ends
  // Id of the back end that is meant; another one answers 421.
  std::string expected_backend = "X-Expected-Backend";
  // Name of the request's tenant, where the route table has tenants.
  std::string tenant = "X-Tenant";

  // --- From back ends
  // Signature of an answer. A success without one is none.
  std::string signature = "X-Signature";
  // The back end did not run the request.
  std::string not_executed = "X-Not-Run";

  // --- To the client
  // Signatures of the shards' answers that are in, with commas between them.
  std::string part_signatures = "X-Shard-Signatures";
  // Number of shards that are not in.
  std::string missing_parts = "X-Missing-Shards";
};

}  // namespace juniperway::forwarding
