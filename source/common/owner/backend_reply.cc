#include "common/owner/backend_reply.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace juniperway::owner {
namespace {

using Json = nlohmann::json;
using protocol::SubqueryOutcome;

std::string_view Header(const net::HttpClientResponse& response,
                        const std::string& lower_case_name) {
  const auto found = response.headers.find(lower_case_name);
  return found == response.headers.end() ? std::string_view()
                                         : std::string_view(found->second);
}

std::optional<std::uint32_t> ParseNumber(std::string_view text) {
  std::uint32_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

// Parses "running/slots".
std::optional<BackendLoad> ParseLoad(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto running = ParseNumber(text.substr(0, slash));
  const auto slots = ParseNumber(text.substr(slash + 1));
  if (!running || !slots) {
    return std::nullopt;
  }
  return BackendLoad{*running, *slots};
}

Duration ParseRetryAfter(const net::HttpClientResponse& response) {
  if (const auto ms = ParseNumber(Header(response, "x-retry-after-ms"))) {
    return milliseconds(*ms);
  }
  const auto whole_seconds = ParseNumber(Header(response, "retry-after"));
  return seconds(whole_seconds.value_or(0));
}

// Keeps the rows inside the range.
// @return false if a row is malformed.
bool ReadRows(Json& rows, const KeyRange& range, BackendReply& reply) {
  if (!rows.is_array()) {
    return false;
  }
  reply.rows.reserve(rows.size());
  for (Json& row : rows) {
    if (!row.is_object()) {
      return false;
    }
    const auto key = row.find("key");
    const auto value = row.find("value");
    if (key == row.end() || value == row.end() || !key->is_number_unsigned() ||
        !value->is_string()) {
      return false;
    }
    const Key number = key->get<Key>();
    if (!range.Contains(number)) {
      ++reply.dropped_rows;
      continue;
    }
    reply.rows.push_back({number, std::move(value->get_ref<std::string&>())});
  }
  return true;
}

// Reads the rows of a 200 body into `reply`.
// @return why the body is not usable; empty if the body matches the request.
std::string ReadBody(const std::string& text, const SearchExpectation& expected,
                     BackendReply& reply) {
  Json body = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return "body is not a JSON object";
  }
  const auto version = body.find("index_version");
  if (version == body.end() || !version->is_number_unsigned() ||
      version->get<resources::IndexVersion>() != expected.index_version) {
    return "index_version is missing or differs from the requested one";
  }
  const auto shard = body.find("shard");
  if (shard == body.end() || !shard->is_string() ||
      shard->get_ref<const std::string&>() != expected.shard) {
    return "shard is missing or differs from the requested one";
  }
  const auto rows = body.find("rows");
  if (rows == body.end() || !ReadRows(*rows, expected.range, reply)) {
    return "rows are missing or malformed";
  }
  return {};
}

void InterpretServed(const net::HttpClientResponse& response,
                     const SearchExpectation& expected, BackendReply& reply) {
  reply.discard_reason = ReadBody(response.body, expected, reply);
  if (reply.discard_reason.empty()) {
    reply.kind = ReplyKind::kServed;
    reply.outcome = SubqueryOutcome::kRows;
    return;
  }
  reply.rows.clear();
  reply.dropped_rows = 0;
}

void InterpretStatus(const net::HttpClientResponse& response,
                     const SearchExpectation& expected, BackendReply& reply) {
  const bool not_run = Header(response, "x-not-run") == "true";
  switch (response.status) {
    case 200:
      InterpretServed(response, expected, reply);
      return;
    case 409:
      reply.kind = ReplyKind::kRefused;
      reply.outcome = SubqueryOutcome::kWrongSnapshot;
      return;
    case 429:
    case 503:
      reply.kind = ReplyKind::kShed;
      if (not_run) {
        reply.outcome = reply.draining ? SubqueryOutcome::kDraining
                                       : SubqueryOutcome::kShed;
      }
      return;
    case 499:
    case 504:
      reply.kind = ReplyKind::kNotCompleted;
      reply.outcome = not_run ? SubqueryOutcome::kExpiredUnstarted
                              : SubqueryOutcome::kExpiredStarted;
      return;
    default:
      return;  // Not a status of the protocol: the search may have run.
  }
}

}  // namespace

BackendReply InterpretSearchReply(const net::HttpClientResponse& response,
                                  const SearchExpectation& expected) {
  BackendReply reply;
  switch (response.progress) {
    case net::HttpProgress::kNotSent:
      reply.kind = ReplyKind::kUnreachable;
      reply.outcome = SubqueryOutcome::kUnreachable;
      return reply;
    case net::HttpProgress::kSent:
      reply.outcome = response.timed_out ? SubqueryOutcome::kExpiredStarted
                                         : SubqueryOutcome::kLost;
      return reply;
    case net::HttpProgress::kAnswered:
      break;
  }
  reply.answered = true;
  reply.draining = Header(response, "x-draining") == "true";
  reply.load = ParseLoad(Header(response, "x-load"));
  reply.retry_after = ParseRetryAfter(response);
  InterpretStatus(response, expected, reply);
  return reply;
}

}  // namespace juniperway::owner
