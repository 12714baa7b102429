// The resource API's calls on roll-outs.
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

  net::HttpResponse Do(const std::string& method, const std::string& path,
                       const std::string& body = "") {
    net::HttpResponse answer;
    api.Handle({method, path, {}, "change-" + std::to_string(++changes), body},
               [&answer](net::HttpResponse response) {
                 answer = std::move(response);
               });
    return answer;
  }
  net::HttpResponse Order(const std::string& version) {
    return Do(
        "POST", "/v1/rollouts",
        json{
            {"service", "s"}, {"target_version", version}, {"duration_s", 12.5}}
            .dump());
  }

  int changes = 0;
};

TEST_CASE_FIXTURE(RolloutApi, "a roll-out is ordered, read and removed") {
  CHECK(Do("GET", "/v1/rollouts/s").status == 404);
  CHECK(Order("v2").status == 200);
  const json rollout = json::parse(Do("GET", "/v1/rollouts/s").body);
  CHECK(rollout["state"] == "running");
  CHECK(rollout["target_version"] == "v2");
  CHECK(rollout["duration_s"] == 12.5);
  CHECK(rollout["share_permille"] == 75);
  CHECK(json::parse(Do("GET", "/v1/rollouts").body)["items"].size() == 1);
  CHECK(Order("v2").status == 200);
  CHECK(Do("DELETE", "/v1/rollouts/s").status == 200);
  CHECK(Do("GET", "/v1/rollouts/s").status == 404);
}

TEST_CASE_FIXTURE(RolloutApi, "a second roll-out is refused with the first") {
  CHECK(Order("v2").status == 200);
  const net::HttpResponse refused = Order("v3");
  CHECK(refused.status == 409);
  CHECK(json::parse(refused.body)["current"]["target_version"] == "v2");
}

TEST_CASE_FIXTURE(RolloutApi, "faults of an order are named") {
  const auto field_of = [this](const json& order) {
    const net::HttpResponse refused = Do("POST", "/v1/rollouts", order.dump());
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
  CHECK(Do("POST", "/v1/rollouts", "[").status == 400);
}

}  // namespace
}  // namespace juniperway::test
