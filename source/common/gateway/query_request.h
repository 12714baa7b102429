// A caller's query as it came over HTTP: headers and JSON body, checked.
#pragma once

#include <optional>
#include <string>

#include "common/base/error.h"
#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/net/http_server.h"
#include "common/resources/resource.h"

namespace juniperway::gateway {

inline constexpr std::size_t kMaximumRequestIdLength = 128;

struct CallerQuery {
  // Empty: the caller gave none (repeatable classes only).
  std::string request_id;
  std::string text;
  std::string request_class;
  bool repeatable = true;
  std::optional<KeyRange> range;
  std::uint32_t row_limit = 0;
  Duration deadline{};
  // Set for non-repeatable classes.
  WallTime expiry{};
};

// The request id that the caller gave, if it is a valid one; for refusals of
// requests that are otherwise malformed.
std::string RequestIdOf(const net::HttpRequest& request);

// True when the caller says that it sent this request before
// (X-Resend: true), so that an earlier submission may have run.
bool IsResend(const net::HttpRequest& request);

// Checks headers and body against the service's bounds. Unknown fields are
// refused.
// @return kInvalidArgument with the field or header at fault. An expiry that
//   has passed is kConflict: the id may have been used.
Result<CallerQuery> ParseCallerQuery(const net::HttpRequest& request,
                                     const resources::Service& service,
                                     WallTime now);

}  // namespace juniperway::gateway
