#include "integration/daemon/fleet_fixture.h"

#include <fmt/format.h>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/promises/answer_check.h"

namespace juniperway::test {
namespace {

constexpr std::uint32_t kRecords = 400;

lab::Deployment MakeDeployment(const FleetShape& shape) {
  lab::Deployment deployment;
  deployment.cluster = "test";
  deployment.delays_json = "{}";
  deployment.regions = {{"region", {"a"}}};
  deployment.control_machines = shape.control_machines;
  deployment.gateways_per_zone = shape.gateways;
  lab::ServicePlan service;
  service.name = kService;
  service.backends = shape.backends;
  service.slots = 20;
  service.connections = 100;
  service.shards = kShards;
  service.replicas = shape.replicas;
  service.records = kRecords;
  service.median_service_time = shape.service_time;
  service.deadline = seconds(5);
  service.request_classes = {{"search", true}, {"once", false}};
  service.non_repeatable_share = 0.2;
  deployment.services = {service};
  return deployment;
}

}  // namespace

TestFleet::TestFleet(const FleetShape& shape) {
  lab::FleetOptions options;
  options.deployment = MakeDeployment(shape);
  options.stand_ins.binary_folder = JUNIPERWAY_BINARY_FOLDER;
  options.stand_ins.work_folder = folder.path().string();
  auto started = lab::Fleet::Start(options);
  if (!started) {
    FAIL(FormatError(started.error()));
  }
  fleet = *std::move(started);
  if (const Result<void> declared = fleet->Declare(); !declared) {
    FAIL(FormatError(declared.error()));
  }
}

net::HttpClientResponse TestFleet::Query(const std::string& gateway) {
  for (const auto& known : fleet->Gateways()) {
    if (known.name == gateway) {
      return http.Post(fmt::format("http://{}/v1/services/{}/query",
                                   known.address, kService),
                       nlohmann::json{{"query", lab::kMatchAll}}.dump(),
                       seconds(10));
    }
  }
  return {};
}

void TestFleet::CheckWholeAnswer(const std::string& gateway) {
  const net::HttpClientResponse response = Query(gateway);
  CAPTURE(response.body);
  REQUIRE(response.status == 200);
  const nlohmann::json answer = nlohmann::json::parse(response.body);
  CHECK(answer["execution"] == "ran");
  CHECK(answer["coverage"]["share"] == 1.0);
  CHECK(answer["coverage"]["missing"].empty());
  CHECK(answer["configuration"]["confirmed"] == true);
  const auto rows =
      lab::Dataset(kService, kRecords)
          .Rows(answer["snapshot"], {0, kKeySpaceEnd}, lab::kMatchAll);
  REQUIRE(answer["rows"].size() == rows.size());
  for (std::size_t index = 0; index < rows.size(); ++index) {
    CHECK(answer["rows"][index]["key"] == rows[index].key);
    CHECK(answer["rows"][index]["value"] == rows[index].value);
  }
}

BackgroundLoad::BackgroundLoad(lab::Fleet& fleet, double rate,
                               std::uint64_t seed) {
  lab::LoadSettings settings;
  settings.workload = lab::MakeWorkload(fleet.layout(), rate, seed);
  settings.gateways = fleet.Gateways();
  load_ = std::make_unique<lab::Load>(context_, settings, fleet.catalog());
  load_->Start([this](lab::LoadResult result) { result_ = std::move(result); });
  thread_ = std::thread([this] { context_.run(); });
}

BackgroundLoad::~BackgroundLoad() {
  if (thread_.joinable()) {
    context_.stop();
    thread_.join();
  }
}

lab::LoadResult BackgroundLoad::Finish() {
  asio::post(context_, [this] { load_->Stop(); });
  thread_.join();
  return std::move(result_);
}

}  // namespace juniperway::test
