// The parts of http_server.h that do not need RESTinio.
#include <nlohmann/json.hpp>
#include <utility>

#include "common/net/http_server.h"

namespace juniperway::net {
namespace {

std::optional<std::string> Find(
    const std::map<std::string, std::string>& values, const std::string& name) {
  const auto found = values.find(name);
  if (found == values.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace

std::optional<std::string> HttpRequest::Header(const std::string& name) const {
  return Find(headers, name);
}

std::optional<std::string> HttpRequest::Parameter(
    const std::string& name) const {
  return Find(query, name);
}

HttpResponse ErrorResponse(int status, const Error& error,
                           std::string_view execution_state) {
  nlohmann::json body;
  body["error"] = {{"code", ErrorCodeName(error.code)},
                   {"field", error.field},
                   {"message", error.message}};
  body["execution"] = execution_state;
  HttpResponse response;
  response.status = status;
  // Messages may quote what a caller sent, which need not be UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthorized:
      return 401;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kNotLeader:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNoSpace:
      return 503;
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kCorrupt:
    case ErrorCode::kIo:
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace juniperway::net
