// A 200 answer with a JSON body, for the lab's control calls.
#pragma once

#include <nlohmann/json.hpp>

#include "common/net/http_server.h"

namespace juniperway::lab {

inline net::HttpResponse JsonResponse(const nlohmann::json& json) {
  net::HttpResponse response;
  response.body = json.dump();
  return response;
}

}  // namespace juniperway::lab
