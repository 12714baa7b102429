#include "common/owner/backend_reply.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace juniperway::owner {
namespace {

using net::HttpClientResponse;
using net::HttpProgress;
using protocol::SubqueryOutcome;

const SearchExpectation kExpected{"north", 7, {100, 200}};

HttpClientResponse Answer(int status,
                          std::map<std::string, std::string> headers = {},
                          std::string body = "") {
  HttpClientResponse response;
  response.progress = HttpProgress::kAnswered;
  response.status = status;
  response.headers = std::move(headers);
  response.body = std::move(body);
  return response;
}

SubqueryOutcome OutcomeOf(const HttpClientResponse& response) {
  return InterpretSearchReply(response, kExpected).outcome;
}

TEST_CASE("Each status of the backend protocol has its outcome") {
  struct Case {
    int status;
    SubqueryOutcome with_not_run;
    SubqueryOutcome without;
  };
  const std::vector<Case> cases = {
      {409, SubqueryOutcome::kWrongSnapshot, SubqueryOutcome::kWrongSnapshot},
      {429, SubqueryOutcome::kShed, SubqueryOutcome::kLost},
      {503, SubqueryOutcome::kShed, SubqueryOutcome::kLost},
      {499, SubqueryOutcome::kExpiredUnstarted,
       SubqueryOutcome::kExpiredStarted},
      {504, SubqueryOutcome::kExpiredUnstarted,
       SubqueryOutcome::kExpiredStarted},
      {500, SubqueryOutcome::kLost, SubqueryOutcome::kLost},
      {404, SubqueryOutcome::kLost, SubqueryOutcome::kLost},
      {204, SubqueryOutcome::kLost, SubqueryOutcome::kLost},
  };
  for (const Case& item : cases) {
    CAPTURE(item.status);
    CHECK(OutcomeOf(Answer(item.status, {{"x-not-run", "true"}})) ==
          item.with_not_run);
    CHECK(OutcomeOf(Answer(item.status)) == item.without);
    CHECK(OutcomeOf(Answer(item.status, {{"x-not-run", "false"}})) ==
          item.without);
  }
}

TEST_CASE("A shed by a draining backend is a drain only if it was not run") {
  CHECK(
      OutcomeOf(Answer(503, {{"x-not-run", "true"}, {"x-draining", "true"}})) ==
      SubqueryOutcome::kDraining);
  const BackendReply may_have_run =
      InterpretSearchReply(Answer(503, {{"x-draining", "true"}}), kExpected);
  CHECK(may_have_run.outcome == SubqueryOutcome::kLost);
  CHECK(may_have_run.draining);
}

TEST_CASE("Without an answer, the outcome depends on whether a byte was sent") {
  HttpClientResponse response;
  response.progress = HttpProgress::kNotSent;
  CHECK(OutcomeOf(response) == SubqueryOutcome::kUnreachable);
  response.progress = HttpProgress::kSent;
  CHECK(OutcomeOf(response) == SubqueryOutcome::kLost);
  response.timed_out = true;
  CHECK(OutcomeOf(response) == SubqueryOutcome::kExpiredStarted);
}

TEST_CASE("Rows outside the requested range are dropped and counted") {
  const BackendReply reply =
      InterpretSearchReply(Answer(200, {},
                                  R"({"index_version":7,"shard":"north","rows":[
                 {"key":99,"value":"a"},{"key":100,"value":"b"},
                 {"key":199,"value":"c"},{"key":200,"value":"d"}]})"),
                           kExpected);
  REQUIRE(reply.outcome == SubqueryOutcome::kRows);
  REQUIRE(reply.rows.size() == 2);
  CHECK(reply.rows[0].key == 100);
  CHECK(reply.rows[1].value == "c");
  CHECK(reply.dropped_rows == 2);
}

TEST_CASE("A body of another shard or version, or malformed, is lost") {
  const std::vector<std::string> bodies = {
      R"({"index_version":8,"shard":"north","rows":[]})",
      R"({"index_version":7,"shard":"south","rows":[]})",
      R"({"shard":"north","rows":[]})",
      R"({"index_version":7,"rows":[]})",
      R"({"index_version":7,"shard":"north"})",
      R"({"index_version":"7","shard":"north","rows":[]})",
      R"({"index_version":7,"shard":"north","rows":[{"key":-1,"value":""}]})",
      R"({"index_version":7,"shard":"north","rows":[{"key":150}]})",
      R"({"index_version":7,"shard":"north","rows":[{"key":150,"value":1}]})",
      R"([])",
      R"({"index_version":7,"shard":"north","rows":[)",
      "",
  };
  for (const std::string& body : bodies) {
    CAPTURE(body);
    const BackendReply reply =
        InterpretSearchReply(Answer(200, {}, body), kExpected);
    CHECK(reply.outcome == SubqueryOutcome::kLost);
    CHECK(reply.kind == ReplyKind::kNoUsableAnswer);
    CHECK(reply.rows.empty());
    CHECK_FALSE(reply.discard_reason.empty());
  }
}

TEST_CASE("X-Load and Retry-After are read, and ignored if malformed") {
  BackendReply reply = InterpretSearchReply(
      Answer(503, {{"x-load", "3/5"}, {"retry-after", "2"}}), kExpected);
  REQUIRE(reply.load);
  CHECK(reply.load->running == 3);
  CHECK(reply.load->slots == 5);
  CHECK(reply.retry_after == seconds(2));
  reply = InterpretSearchReply(
      Answer(503, {{"x-load", "3/x"}, {"retry-after", "soon"}}), kExpected);
  CHECK_FALSE(reply.load);
  CHECK(reply.retry_after == Duration::zero());
}

}  // namespace
}  // namespace juniperway::owner
