#include "lab/caller/wire.h"

#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace juniperway::lab {
namespace {

// How much longer than the deadline a caller listens. Answers later than this
// are counted as timed out.
constexpr Duration kPatience = milliseconds(2000);

KeyRange RangeFromJson(const nlohmann::json& json) {
  return {json.at("begin").get<Key>(), json.at("end").get<Key>()};
}

nlohmann::json RangeToJson(const KeyRange& range) {
  return {{"begin", range.begin}, {"end", range.end}};
}

Answer AnswerFromJson(const nlohmann::json& json) {
  Answer answer;
  answer.request_id = json.at("request_id");
  answer.service = json.at("service");
  answer.snapshot = json.at("snapshot");
  answer.execution = json.at("execution");
  for (const nlohmann::json& row : json.at("rows")) {
    answer.rows.push_back({row.at("key"), row.at("value")});
  }
  const nlohmann::json& coverage = json.at("coverage");
  answer.share = coverage.at("share");
  for (const nlohmann::json& range : coverage.at("searched")) {
    answer.searched.push_back(RangeFromJson(range));
  }
  for (const nlohmann::json& range : coverage.at("missing")) {
    answer.missing.push_back({RangeFromJson(range), range.at("reason")});
  }
  answer.revision = json.at("configuration").at("revision");
  answer.confirmed = json.at("configuration").at("confirmed");
  answer.truncated = json.at("truncated");
  return answer;
}

std::optional<ExecutionState> ParseExecution(const std::string& name) {
  for (const ExecutionState state :
       {ExecutionState::kNotRun, ExecutionState::kMayHaveRun,
        ExecutionState::kRan}) {
    if (ExecutionStateName(state) == name) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

net::HttpClientRequest MakeQueryRequest(const Query& query,
                                        const std::string& gateway,
                                        const std::string& request_id) {
  net::HttpClientRequest request;
  request.method = "POST";
  request.url =
      fmt::format("http://{}/v1/services/{}/query", gateway, query.service);
  request.headers = {
      {"Content-Type", "application/json"},
      {"X-Request-Id", request_id},
      {"X-Deadline-Ms", std::to_string(ToMilliseconds(query.deadline))}};
  if (!query.repeatable) {
    request.headers.emplace_back(
        "X-Request-Expiry",
        std::to_string(ToMilliseconds(query.expiry.time_since_epoch())));
  }
  nlohmann::json body = {{"query", query.text}};
  if (!query.request_class.empty()) {
    body["class"] = query.request_class;
  }
  if (query.range) {
    body["range"] = RangeToJson(*query.range);
  }
  if (query.limit != 0) {
    body["limit"] = query.limit;
  }
  request.body = body.dump();
  request.timeout = query.deadline + kPatience;
  return request;
}

Result<Answer> ParseAnswer(const net::HttpClientResponse& response) {
  const nlohmann::json json =
      nlohmann::json::parse(response.body, nullptr, false);
  if (json.is_discarded()) {
    return MakeError(ErrorCode::kCorrupt, "body", "is no JSON");
  }
  try {
    Answer answer = AnswerFromJson(json);
    answer.status = response.status;
    return answer;
  } catch (const nlohmann::json::exception& fault) {
    return MakeError(ErrorCode::kCorrupt, "body", fault.what());
  }
}

void ReadRefusal(const net::HttpClientResponse& response, Attempt& attempt) {
  attempt.status = response.status;
  const nlohmann::json json =
      nlohmann::json::parse(response.body, nullptr, false);
  if (json.is_object()) {
    attempt.execution = ParseExecution(json.value("execution", ""));
    const nlohmann::json error = json.value("error", nlohmann::json::object());
    attempt.error_code = error.value("code", "");
  }
  const auto milliseconds_header = response.headers.find("x-retry-after-ms");
  const auto seconds_header = response.headers.find("retry-after");
  if (milliseconds_header != response.headers.end()) {
    attempt.retry_after = milliseconds(
        std::strtoll(milliseconds_header->second.c_str(), nullptr, 10));
  } else if (seconds_header != response.headers.end()) {
    attempt.retry_after =
        seconds(std::strtoll(seconds_header->second.c_str(), nullptr, 10));
  }
}

}  // namespace juniperway::lab
