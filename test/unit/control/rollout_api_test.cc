// Tests the resource API's calls on rollouts.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"
#include "support/api_fixture.h"

namespace juniperway::test {
namespace {

using nlohmann::json;

struct RolloutApi : ApiFixture {
  RolloutApi() {
    protocol::UpdateDiscoveredT update;
    update.backends.push_back(
        std::make_unique<protocol::DiscoveredBackendRecordT>(
            session::EncodeDiscovered({.id = "a",
                                       .service = "s",
                                       .address = "10.0.0.1:1",
                                       .zone = "z",
                                       .version = "v1"})));
    protocol::CommandT command;
    command.operations.push_back(std::make_unique<protocol::OperationItemT>(
        session::MakeOperation(std::move(update))));
    state.Apply(command);
  }

  net::HttpResponse SendCall(const std::string& method, const std::string& path,
                             const std::string& body = "") {
    net::HttpResponse answer;
    api.Handle({method, path, {}, "change-" + std::to_string(++changes), body},
               [&answer](net::HttpResponse response) {
                 answer = std::move(response);
               });
    return answer;
  }
  net::HttpResponse StartRollout(const std::string& version) {
    return SendCall(
        "POST", "/v1/rollouts",
        json{
            {"service", "s"}, {"target_version", version}, {"duration_s", 12.5}}
            .dump());
  }

  int changes = 0;
};

TEST_CASE_FIXTURE(RolloutApi, "a rollout is started, read and removed") {
  CHECK(SendCall("GET", "/v1/rollouts/s").status == 404);
  CHECK(StartRollout("v2").status == 200);
  const json rollout = json::parse(SendCall("GET", "/v1/rollouts/s").body);
  CHECK(rollout["state"] == "running");
  CHECK(rollout["target_version"] == "v2");
  CHECK(rollout["duration_s"] == 12.5);
  CHECK(rollout["share_permille"] == 75);
  CHECK(json::parse(SendCall("GET", "/v1/rollouts").body)["items"].size() == 1);
  CHECK(StartRollout("v2").status == 200);
  CHECK(SendCall("DELETE", "/v1/rollouts/s").status == 200);
  CHECK(SendCall("GET", "/v1/rollouts/s").status == 404);
}

TEST_CASE_FIXTURE(
    RolloutApi, "a second rollout is refused and the answer shows the first") {
  CHECK(StartRollout("v2").status == 200);
  const net::HttpResponse refused = StartRollout("v3");
  CHECK(refused.status == 409);
  CHECK(json::parse(refused.body)["current"]["target_version"] == "v2");
}

TEST_CASE_FIXTURE(
    RolloutApi,
    "an invalid rollout request is refused with the field at fault") {
  const auto field_of = [this](const json& request) {
    const net::HttpResponse refused =
        SendCall("POST", "/v1/rollouts", request.dump());
    CHECK(refused.status == 400);
    return json::parse(refused.body)["error"]["field"].get<std::string>();
  };
  CHECK(field_of(
            {{"service", "t"}, {"target_version", "v2"}, {"duration_s", 12}}) ==
        "service");
  CHECK(field_of(
            {{"service", "s"}, {"target_version", ""}, {"duration_s", 12}}) ==
        "target_version");
  CHECK(field_of({{"service", "s"}, {"target_version", "v2"}}) == "duration_s");
  CHECK(field_of(
            {{"service", "s"}, {"target_version", "v2"}, {"duration_s", -1}}) ==
        "duration_s");
  CHECK(field_of({{"service", "s"},
                  {"target_version", "v2"},
                  {"duration_s", 1e9}}) == "duration_s");
  CHECK(field_of({{"service", "s"},
                  {"target_version", "v2"},
                  {"duration_s", 12},
                  {"share", 1}}) == "share");
  CHECK(SendCall("POST", "/v1/rollouts", "[").status == 400);
}

}  // namespace
}  // namespace juniperway::test
