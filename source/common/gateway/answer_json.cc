#include "common/gateway/answer_json.h"

#include <algorithm>
#include <charconv>
#include <concepts>
#include <nlohmann/json.hpp>

namespace juniperway::gateway {
namespace {

constexpr int kStatusWhole = 200;
constexpr int kStatusPartial = 206;
// Rough size of a row without its value: braces, names, a key.
constexpr std::size_t kRowOverheadBytes = 40;

template <typename Number>
void AppendNumber(Number number, std::string& json) {
  char buffer[32];
  const auto [end, error] =
      std::to_chars(std::begin(buffer), std::end(buffer), number);
  json.append(buffer, end);
}

void AppendRange(KeyRange range, std::string& json) {
  json += "{\"begin\":";
  AppendNumber(range.begin, json);
  json += ",\"end\":";
  AppendNumber(range.end, json);
}

void AppendRows(const std::vector<routing::ResultRow>& rows,
                std::string& json) {
  json += "\"rows\":[";
  for (std::size_t i = 0; i < rows.size(); ++i) {
    json += i == 0 ? "{\"key\":" : ",{\"key\":";
    AppendNumber(rows[i].key, json);
    json += ",\"value\":";
    AppendJsonString(rows[i].value, json);
    json += '}';
  }
  json += ']';
}

void AppendCoverage(const routing::Coverage& coverage, std::string& json) {
  json += "\"coverage\":{\"share\":";
  AppendNumber(coverage.share, json);
  json += ",\"searched\":[";
  for (std::size_t i = 0; i < coverage.searched.size(); ++i) {
    json += i == 0 ? "" : ",";
    AppendRange(coverage.searched[i], json);
    json += '}';
  }
  json += "],\"missing\":[";
  for (std::size_t i = 0; i < coverage.missing.size(); ++i) {
    json += i == 0 ? "" : ",";
    AppendRange(coverage.missing[i].range, json);
    json += ",\"reason\":\"";
    json += routing::MissingReasonName(coverage.missing[i].reason);
    json += "\"}";
  }
  json += "]}";
}

// Most values need no escaping: then they are copied as they are.
bool IsPlain(std::string_view text) {
  return std::ranges::all_of(text, [](char character) {
    return character >= ' ' && character <= '~' && character != '"' &&
           character != '\\';
  });
}

std::size_t EstimateSize(const routing::Answer& answer) {
  constexpr std::size_t kFixedBytes = 512;
  std::size_t size = kFixedBytes;
  for (const routing::ResultRow& row : answer.rows) {
    size += row.value.size() + kRowOverheadBytes;
  }
  return size;
}

}  // namespace

void AppendJsonString(std::string_view text, std::string& json) {
  if (IsPlain(text)) {
    json += '"';
    json += text;
    json += '"';
    return;
  }
  json += nlohmann::json(text).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

net::HttpResponse AnswerResponse(const std::string& request_id,
                                 const std::string& service,
                                 const routing::Answer& answer,
                                 const ConfigurationNote& configuration) {
  net::HttpResponse response;
  response.status =
      answer.coverage.missing.empty() ? kStatusWhole : kStatusPartial;
  std::string& json = response.body;
  json.reserve(EstimateSize(answer));
  json += "{\"request_id\":";
  AppendJsonString(request_id, json);
  json += ",\"service\":";
  AppendJsonString(service, json);
  json += ",\"snapshot\":";
  AppendNumber(answer.index_version, json);
  json += ",\"execution\":\"";
  json += ExecutionStateName(answer.execution);
  json += "\",";
  AppendRows(answer.rows, json);
  json += ',';
  AppendCoverage(answer.coverage, json);
  json += ",\"configuration\":{\"revision\":";
  AppendNumber(configuration.revision, json);
  json += ",\"confirmed\":";
  json += configuration.confirmed ? "true" : "false";
  json += "},\"truncated\":";
  json += answer.truncated ? "true" : "false";
  json += '}';
  return response;
}

net::HttpResponse RefusalResponse(const std::string& request_id,
                                  const routing::Refusal& refusal) {
  net::HttpResponse response;
  response.status = net::HttpStatusOf(refusal.error.code);
  nlohmann::json body;
  body["error"] = {{"code", ErrorCodeName(refusal.error.code)},
                   {"field", refusal.error.field},
                   {"message", refusal.error.message}};
  body["execution"] = ExecutionStateName(refusal.execution);
  body["request_id"] = request_id;
  // The field may quote what a caller sent, which need not be UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (refusal.retry_after.has_value()) {
    const auto whole_ms =
        std::chrono::ceil<milliseconds>(*refusal.retry_after).count();
    const auto whole_seconds =
        std::chrono::ceil<seconds>(*refusal.retry_after).count();
    response.headers.emplace_back("Retry-After", std::to_string(whole_seconds));
    response.headers.emplace_back("X-Retry-After-Ms", std::to_string(whole_ms));
  }
  return response;
}

}  // namespace juniperway::gateway
