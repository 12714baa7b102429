// Tests that `juniperwayctl explain` finds the cause of a failed request from
// the logs of real processes alone (docs/OPERATIONS.md). Each test causes one
// failure.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <initializer_list>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/run.h"
#include "integration/forwarding/route_fleet.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

constexpr Duration kLimit = seconds(60);

// The table has a scatter that is answered at its target without late shards,
// and a route with a short timeout.
constexpr const char* kTable = R"({"version": 7, "routes": [
  {"name": "all", "host": "test.example", "path_prefix": "/all/",
   "execution": "repeatable", "timeout_ms": 15000, "target_ms": 300,
   "maximum_attempts": 2, "scatter": ["s1", "s2"], "top_k": 3,
   "minimum_coverage": 0.5},
  {"name": "one", "host": "test.example", "path_prefix": "/one/",
   "execution": "at_most_once", "timeout_ms": 300,
   "maximum_attempts": 1, "service": "s1"}],
  "services": [{"name": "s1", "maximum_connections": 100},
               {"name": "s2", "maximum_connections": 100}]})";

// Runs `juniperwayctl explain`.
// @return the output of the command.
std::string RunExplain(const std::string& request_id,
                       const std::vector<std::string>& files) {
  std::vector<const char*> words = {"juniperwayctl", "explain",
                                    request_id.c_str()};
  for (const std::string& file : files) {
    words.push_back(file.c_str());
  }
  asio::io_context context;
  std::istringstream in;
  std::ostringstream out;
  std::ostringstream error;
  ctl::Run(static_cast<int>(words.size()), words.data(), "", context,
           {in, out, error});
  return out.str();
}

// Runs `juniperwayctl explain` until its output has `last_event`, the request's
// last event: the router writes log lines shortly after it sends the answer.
std::string Explain(const RouteFleet& fleet, const std::string& request_id,
                    const std::string& last_event) {
  std::string explanation;
  lab::WaitFor(kLimit, [&] {
    explanation = RunExplain(request_id, fleet.LogFiles());
    return explanation.find(last_event) != std::string::npos;
  });
  return explanation;
}

void CheckNames(const std::string& explanation,
                std::initializer_list<const char*> causes) {
  CAPTURE(explanation);
  for (const char* cause : causes) {
    CAPTURE(cause);
    CHECK(explanation.find(cause) != std::string::npos);
  }
}

// A fleet that serves the table, with one backend for each of two services.
struct ServingFleet {
  // @param target the constructor waits until the fleet answers requests for
  //   this target with 200.
  explicit ServingFleet(const std::string& target) {
    REQUIRE(fleet.PutTable(kTable) == 200);
    REQUIRE(fleet.AwaitStatus(target, 200));
  }

  RouteFleet fleet{1};
  StandInBackend& one = fleet.AddBackend("b1", "s1");
  StandInBackend& two = fleet.AddBackend("b2", "s2");
};

TEST_CASE("a refusal: the router has no route table yet") {
  RouteFleet fleet(1);
  CHECK(fleet.Request("/one/x", "early-1").status == 503);
  CheckNames(Explain(fleet, "early-1", "request_refused"),
             {"E3410 request_refused request=early-1", "status=503", "table=0",
              "E3400 router_listening"});
}

TEST_CASE("a missing part: the only backend of a shard is unresponsive") {
  ServingFleet serving("/all/");
  serving.two.SetAnswering(Answering::kWithholds);
  CHECK(serving.fleet.Request("/all/", "partial-1").status == 200);
  CheckNames(
      Explain(serving.fleet, "partial-1", "request_ended"),
      {"E3411 request_ended request=partial-1", "table=7", "result=success",
       "reason=target", "missing=1", "missing_shards=s2:b2/no_backend",
       "E3405 route_table_taken version=7"});
}

TEST_CASE("a timeout: the only backend did not answer in time") {
  ServingFleet serving("/one/");
  serving.one.SetAnswering(Answering::kWithholds);
  CHECK(serving.fleet.Request("/one/late", "late-1").status == 504);
  CheckNames(Explain(serving.fleet, "late-1", "request_ended"),
             {"E3411 request_ended request=late-1", "route=one",
              "result=timed_out", "reason=deadline", "attempts=1"});
}

TEST_CASE("a failure: the backend answers with another request's id") {
  ServingFleet serving("/one/");
  serving.one.SetAnswering(Answering::kForeignId);
  CHECK(serving.fleet.Request("/one/foreign", "foreign-1").status == 502);
  CheckNames(
      Explain(serving.fleet, "foreign-1", "request_ended"),
      {"E3412 attempt_failed request=foreign-1", "backend=b1", "result=broken",
       "E3411 request_ended request=foreign-1", "result=failed"});
}

}  // namespace
}  // namespace juniperway::test
