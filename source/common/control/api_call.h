// A call of the resource API, apart from the HTTP server that took it: it may
// be answered by this control machine or passed on to the leader.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "common/net/http_server.h"

namespace juniperway::control {

struct ApiCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  // X-Change-Id; of a call that changes something never empty.
  std::string change_id;
  std::string body;
};

using ApiCallback = std::function<void(net::HttpResponse)>;

}  // namespace juniperway::control
