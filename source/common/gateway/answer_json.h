// What callers get to see, as HTTP answers with JSON bodies.
#pragma once

#include <string>
#include <string_view>

#include "common/net/http_server.h"
#include "common/resources/resource.h"
#include "common/routing/query_types.h"

namespace juniperway::gateway {

// What an answer says of the configuration it was made with.
struct ConfigurationNote {
  resources::Revision revision = 0;
  // False: the daemon has no lease, a newer configuration may be in force.
  bool confirmed = true;
};

// 200 for a whole answer, 206 for a partial one.
net::HttpResponse AnswerResponse(const std::string& request_id,
                                 const std::string& service,
                                 const routing::Answer& answer,
                                 const ConfigurationNote& configuration);

// 4xx or 5xx with execution state and, where coming back helps, when.
net::HttpResponse RefusalResponse(const std::string& request_id,
                                  const routing::Refusal& refusal);

// Appends `text` as a JSON string. Bytes that are not UTF-8 are replaced.
void AppendJsonString(std::string_view text, std::string& json);

}  // namespace juniperway::gateway
