#include "common/gateway/query_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace juniperway::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view kRequestIdHeader = "X-Request-Id";
constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";
constexpr std::string_view kExpiryHeader = "X-Request-Expiry";

tl::unexpected<Error> Invalid(std::string_view field, std::string message) {
  return MakeError(ErrorCode::kInvalidArgument, std::string(field),
                   std::move(message));
}

bool IsPrintable(char character) { return character > ' ' && character <= '~'; }

std::optional<std::int64_t> ParseWholeNumber(const std::string& text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return value;
}

Result<std::string> ParseRequestId(const net::HttpRequest& request,
                                   bool required) {
  const auto header = request.Header("x-request-id");
  if (!header.has_value()) {
    if (required) {
      return Invalid(kRequestIdHeader,
                     "required: a request of this class runs at most once");
    }
    return std::string();
  }
  const bool valid = !header->empty() &&
                     header->size() <= kMaximumRequestIdLength &&
                     std::ranges::all_of(*header, IsPrintable);
  if (!valid) {
    return Invalid(kRequestIdHeader, "must be 1 to 128 printable characters");
  }
  return *header;
}

Result<Duration> ParseDeadline(const net::HttpRequest& request,
                               const resources::Service& service) {
  const auto header = request.Header("x-deadline-ms");
  if (!header.has_value()) {
    return service.default_deadline;
  }
  const auto count = ParseWholeNumber(*header);
  if (!count.has_value()) {
    return Invalid(kDeadlineHeader, "must be a whole number of milliseconds");
  }
  const std::int64_t lowest = ToMilliseconds(service.minimum_deadline);
  const std::int64_t highest = ToMilliseconds(service.maximum_deadline);
  if (*count < lowest || *count > highest) {
    return Invalid(kDeadlineHeader, "must be between " +
                                        std::to_string(lowest) + " and " +
                                        std::to_string(highest));
  }
  return milliseconds(*count);
}

Result<WallTime> ParseExpiry(const net::HttpRequest& request,
                             const resources::Service& service, WallTime now) {
  const auto header = request.Header("x-request-expiry");
  if (!header.has_value()) {
    return Invalid(kExpiryHeader,
                   "required: a request of this class runs at most once");
  }
  const auto count = ParseWholeNumber(*header);
  if (!count.has_value() || *count < 0) {
    return Invalid(kExpiryHeader, "must be Unix time in milliseconds");
  }
  // Compared in milliseconds: a huge number must not overflow.
  const std::int64_t now_ms = ToMilliseconds(now.time_since_epoch());
  if (*count <= now_ms) {
    return MakeError(ErrorCode::kConflict, std::string(kExpiryHeader),
                     "has passed: an earlier request of this id may have run");
  }
  if (*count - now_ms > ToMilliseconds(service.maximum_expiry)) {
    return Invalid(kExpiryHeader,
                   "is too far ahead: at most " +
                       std::to_string(ToMilliseconds(service.maximum_expiry)) +
                       " ms from now");
  }
  return WallTime(milliseconds(*count));
}

Result<json> ParseBody(const std::string& text) {
  json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded()) {
    return Invalid("body", "is not JSON");
  }
  if (!body.is_object()) {
    return Invalid("body", "must be an object");
  }
  for (const auto& [name, unused] : body.items()) {
    const bool known = name == "query" || name == "class" || name == "range" ||
                       name == "limit";
    if (!known) {
      return Invalid(name, "unknown field");
    }
  }
  return body;
}

Result<std::string> ParseText(const json& body) {
  const auto text = body.find("query");
  if (text == body.end()) {
    return Invalid("query", "required");
  }
  if (!text->is_string()) {
    return Invalid("query", "must be a string");
  }
  return text->get<std::string>();
}

Result<resources::RequestClass> ParseClass(const json& body,
                                           const resources::Service& service) {
  const auto name = body.find("class");
  if (name == body.end()) {
    return service.request_classes.front();
  }
  if (!name->is_string()) {
    return Invalid("class", "must be a string");
  }
  const auto found =
      std::ranges::find(service.request_classes, name->get<std::string>(),
                        &resources::RequestClass::name);
  if (found == service.request_classes.end()) {
    return Invalid("class", "is not a request class of the service");
  }
  return *found;
}

Result<Key> ParseKey(const json& range, const std::string& name) {
  const auto key = range.find(name);
  const std::string field = "range." + name;
  if (key == range.end()) {
    return Invalid(field, "required");
  }
  if (!key->is_number_unsigned() || key->get<Key>() > kKeySpaceEnd) {
    return Invalid(field, "must be a whole number from 0 to 2^53");
  }
  return key->get<Key>();
}

Result<std::optional<KeyRange>> ParseRange(const json& body) {
  const auto range = body.find("range");
  if (range == body.end()) {
    return std::optional<KeyRange>();
  }
  if (!range->is_object()) {
    return Invalid("range", "must be an object");
  }
  for (const auto& [name, unused] : range->items()) {
    if (name != "begin" && name != "end") {
      return Invalid("range." + name, "unknown field");
    }
  }
  const Result<Key> begin = ParseKey(*range, "begin");
  if (!begin.has_value()) {
    return tl::unexpected(begin.error());
  }
  const Result<Key> end = ParseKey(*range, "end");
  if (!end.has_value()) {
    return tl::unexpected(end.error());
  }
  if (*begin >= *end) {
    return Invalid("range", "must not be empty: begin < end");
  }
  return std::optional<KeyRange>(KeyRange{*begin, *end});
}

Result<std::uint32_t> ParseLimit(const json& body,
                                 const resources::Service& service) {
  const auto limit = body.find("limit");
  if (limit == body.end()) {
    return service.maximum_rows;
  }
  const bool valid = limit->is_number_unsigned() &&
                     limit->get<std::uint64_t>() >= 1 &&
                     limit->get<std::uint64_t>() <= service.maximum_rows;
  if (!valid) {
    return Invalid("limit", "must be a whole number from 1 to " +
                                std::to_string(service.maximum_rows));
  }
  return limit->get<std::uint32_t>();
}

// Reads the JSON body into `query`. @return the first fault found.
std::optional<Error> FillFromBody(const std::string& text,
                                  const resources::Service& service,
                                  CallerQuery& query) {
  const Result<json> body = ParseBody(text);
  if (!body.has_value()) {
    return body.error();
  }
  const Result<std::string> query_text = ParseText(*body);
  if (!query_text.has_value()) {
    return query_text.error();
  }
  const Result<resources::RequestClass> request_class =
      ParseClass(*body, service);
  if (!request_class.has_value()) {
    return request_class.error();
  }
  const Result<std::optional<KeyRange>> range = ParseRange(*body);
  if (!range.has_value()) {
    return range.error();
  }
  const Result<std::uint32_t> limit = ParseLimit(*body, service);
  if (!limit.has_value()) {
    return limit.error();
  }
  query.text = *query_text;
  query.request_class = request_class->name;
  query.repeatable = request_class->repeatable;
  query.range = *range;
  query.row_limit = *limit;
  return std::nullopt;
}

}  // namespace

std::string RequestIdOf(const net::HttpRequest& request) {
  return ParseRequestId(request, /*required=*/false).value_or(std::string());
}

bool IsResend(const net::HttpRequest& request) {
  return request.Header("x-resend") == "true";
}

Result<CallerQuery> ParseCallerQuery(const net::HttpRequest& request,
                                     const resources::Service& service,
                                     WallTime now) {
  CallerQuery query;
  if (const auto fault = FillFromBody(request.body, service, query)) {
    return tl::unexpected(*fault);
  }
  const Result<std::string> id = ParseRequestId(request, !query.repeatable);
  if (!id.has_value()) {
    return tl::unexpected(id.error());
  }
  query.request_id = *id;
  const Result<Duration> deadline = ParseDeadline(request, service);
  if (!deadline.has_value()) {
    return tl::unexpected(deadline.error());
  }
  query.deadline = *deadline;
  if (!query.repeatable) {
    const Result<WallTime> expiry = ParseExpiry(request, service, now);
    if (!expiry.has_value()) {
      return tl::unexpected(expiry.error());
    }
    query.expiry = *expiry;
  }
  return query;
}

}  // namespace juniperway::gateway
