// A call of the resource API, independent of the HTTP server that received it.
// The receiving control node answers the call itself or forwards it to the
// leader.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "common/net/http_server.h"

namespace juniperway::control {

// The call that reads the numbers of the newest orders, and the parameter with
// which an order names the number that it is based on.
inline constexpr const char* kOrdersPath = "/v1/orders";
// Fields of the answer: the number of the newest order, and the log position
// that stands for the newest order on members of the control group.
inline constexpr const char* kLatestOrderField = "latest";
inline constexpr const char* kLatestMembersField = "members";
inline constexpr const char* kBasedOnParameter = "based_on";

// One call: a value that its receiver owns.
struct ApiCall {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  // Value of the X-Change-Id header. Never empty for a call that changes state.
  std::string change_id;
  std::string body;
};

// Receives the answer to a call.
using ApiCallback = std::function<void(net::HttpResponse)>;

}  // namespace juniperway::control
