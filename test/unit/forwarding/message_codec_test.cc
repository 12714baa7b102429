// Tests the requests to backends, the results of their answers, and the
// client's answers.
#include "common/forwarding/message_codec.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace juniperway::forwarding {
namespace {

const HeaderNames kNames;

net::HttpRequest Request() {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/a/%2e./b?x=1&y=%20";
  request.fields = {{"Host", "h.example"},
                    {"X-Request-Id", "id-1"},
                    {"X-Deadline-Ms", "99999"},
                    {"Connection", "close, X-Hop"},
                    {"X-Hop", "1"},
                    {"Accept", "*/*"},
                    {"X-Twice", "1"},
                    {"X-Twice", "2"},
                    {"Content-Length", "4"},
                    {"Transfer-Encoding", "chunked"}};
  for (const auto& [name, value] : request.fields) {
    std::string lower = name;
    std::ranges::transform(lower, lower.begin(), ::tolower);
    request.headers[lower] = value;
  }
  request.body = "body";
  return request;
}

std::vector<std::string> Values(const net::HttpClientRequest& request,
                                const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : request.headers) {
    if (field == name) {
      values.push_back(value);
    }
  }
  return values;
}

net::HttpClientResponse Answer(int status) {
  net::HttpClientResponse response;
  response.progress = net::HttpProgress::kAnswered;
  response.status = status;
  response.headers = {{"x-signature", "sig"}, {"connection", "close"}};
  response.fields = {{"X-Signature", "sig"}, {"Connection", "close"}};
  response.body = "bytes";
  return response;
}

TEST_CASE("the HTTP client's timeout is later than the run's deadline") {
  const MonotonicTime now(seconds(100));
  const SendAction action{1, "i-7", "10.0.0.1:80", now + milliseconds(1500)};
  const auto sent = MakeBackendRequest(MakeForwardedRequest(Request(), kNames),
                                       action, kNames, now);
  CHECK(Values(sent, "X-Deadline-Ms") == std::vector<std::string>{"1500"});
  CHECK(sent.timeout > milliseconds(1500));
}

TEST_CASE("a request is forwarded unchanged except for connection headers") {
  const MonotonicTime now(seconds(100));
  const SendAction action{1, "i-7", "10.0.0.1:80", now + milliseconds(1500)};
  const auto sent = MakeBackendRequest(MakeForwardedRequest(Request(), kNames),
                                       action, kNames, now);
  CHECK(sent.method == "POST");
  CHECK(sent.target == "/a/%2e./b?x=1&y=%20");
  CHECK(sent.body == "body");
  CHECK(Values(sent, "Host") == std::vector<std::string>{"h.example"});
  CHECK(Values(sent, "X-Request-Id") == std::vector<std::string>{"id-1"});
  CHECK(Values(sent, "X-Twice") == std::vector<std::string>{"1", "2"});
  CHECK(Values(sent, "X-Deadline-Ms") == std::vector<std::string>{"1500"});
  CHECK(Values(sent, "X-Expected-Backend") == std::vector<std::string>{"i-7"});
  for (const char* gone :
       {"Connection", "X-Hop", "Content-Length", "Transfer-Encoding"}) {
    CAPTURE(gone);
    CHECK(Values(sent, gone).empty());
  }
  CHECK(sent.echoed_header == "X-Request-Id");
  CHECK(sent.echoed_value == "id-1");
  CHECK(sent.only_given_headers);
}

TEST_CASE("the reason why a whole answer is not taken is given") {
  const auto reason_of = [](net::HttpClientResponse response) {
    const AttemptEnd end =
        ReadBackendResponse(std::move(response), kNames, AnswerUse::kPassedOn);
    return std::string(end.discard_reason);
  };
  CHECK(reason_of(Answer(200)).empty());
  net::HttpClientResponse unsigned_answer = Answer(200);
  unsigned_answer.headers.erase("x-signature");
  CHECK(reason_of(unsigned_answer) == "the answer has no signature");
  net::HttpClientResponse encoded = Answer(200);
  encoded.headers["content-encoding"] = "gzip";
  CHECK(reason_of(encoded) == "the answer is encoded");
}

TEST_CASE("an answer maps to the result of the attempt") {
  const auto result = [](net::HttpClientResponse response) {
    return ReadBackendResponse(std::move(response), kNames,
                               AnswerUse::kPassedOn)
        .result;
  };
  CHECK(result(Answer(200)) == AttemptResult::kAnswered);
  CHECK(result(Answer(500)) == AttemptResult::kFailed);
  CHECK(result(Answer(421)) == AttemptResult::kWrongBackend);
  auto shed = Answer(503);
  shed.headers["x-not-run"] = "1";
  CHECK(result(shed) == AttemptResult::kShed);
  auto unsigned_answer = Answer(200);
  unsigned_answer.headers.erase("x-signature");
  CHECK(result(unsigned_answer) == AttemptResult::kIncompleteAnswer);
  auto encoded = Answer(200);
  encoded.headers["content-encoding"] = "gzip";
  CHECK(result(encoded) == AttemptResult::kIncompleteAnswer);
  auto broken = Answer(200);
  broken.progress = net::HttpProgress::kSent;
  CHECK(result(broken) == AttemptResult::kIncompleteAnswer);
  broken.progress = net::HttpProgress::kNotSent;
  CHECK(result(broken) == AttemptResult::kUnsent);
  broken.new_connection_refused = true;
  CHECK(result(broken) == AttemptResult::kRefused);
  broken.progress = net::HttpProgress::kSent;
  CHECK(result(broken) == AttemptResult::kReset);
}

TEST_CASE("a backend's answer keeps its headers except for the connection's") {
  const AttemptEnd end =
      ReadBackendResponse(Answer(200), kNames, AnswerUse::kPassedOn);
  CHECK(end.answer.signature == "sig");
  CHECK(end.answer.body == "bytes");
  REQUIRE(end.answer.headers.size() == 1);
  CHECK(end.answer.headers[0].first == "X-Signature");

  // The router uses only the signature and the body of a merged part.
  const AttemptEnd part =
      ReadBackendResponse(Answer(200), kNames, AnswerUse::kMerged);
  CHECK(part.result == AttemptResult::kAnswered);
  CHECK(part.answer.signature == "sig");
  CHECK(part.answer.body == "bytes");
  CHECK(part.answer.headers.empty());
}

TEST_CASE("a run's outcome maps to the client's answer") {
  RunOutcome outcome;
  outcome.result = RunResult::kSuccess;
  outcome.signatures = {"a", "b"};
  outcome.missing = {{"s3", {"i-1"}, false}};
  outcome.merged_records = "r";
  const auto scatter = MakeClientResponse(outcome, kNames);
  CHECK(scatter.status == 200);
  CHECK(scatter.headers[0].second == "a, b");
  CHECK(scatter.headers[1].second == "1");
  CHECK(scatter.body == "r");
  outcome = {};
  outcome.result = RunResult::kNotRun;
  const auto refused = MakeClientResponse(outcome, kNames);
  CHECK(refused.status == 503);
  CHECK(refused.headers[0].first == "Retry-After");
  outcome.result = RunResult::kFailed;
  CHECK(MakeClientResponse(outcome, kNames).status == 502);
  outcome.result = RunResult::kTimedOut;
  CHECK(MakeClientResponse(outcome, kNames).status == 504);
}

TEST_CASE("deadlines and paths are parsed") {
  CHECK(ParseDeadline("1500") == Duration(milliseconds(1500)));
  CHECK_FALSE(ParseDeadline(""));
  CHECK_FALSE(ParseDeadline("-1"));
  CHECK_FALSE(ParseDeadline("1.5"));
  CHECK(PathOf("/a/b?c=/d/") == "/a/b");
}

}  // namespace
}  // namespace juniperway::forwarding
