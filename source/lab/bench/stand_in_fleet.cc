#include "lab/bench/stand_in_fleet.h"

#include <signal.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "lab/backend/settings.h"
#include "lab/dataset.h"

namespace juniperway::lab {
namespace {

constexpr Duration kStartTimeout = seconds(30);
constexpr Duration kStopTimeout = seconds(5);
constexpr resources::IndexVersion kVersion = 1;

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "juniperway-bench-XXXXXX")
          .string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no folder for the stand-ins' settings");
  }
  return path;
}

}  // namespace

std::string StandInFleet::BackendName(std::uint32_t partition,
                                      std::uint32_t replica) {
  return "backend-" + std::to_string(partition) + "-" + std::to_string(replica);
}

StandInFleet::StandInFleet(const StandInShape& shape)
    : shape_(shape), folder_(MakeFolder()) {
  for (std::uint32_t number = 0; number < shape.processes; ++number) {
    StartProcess(number);
  }
}

StandInFleet::~StandInFleet() {
  for (Process& process : processes_) {
    process.child.Signal(SIGTERM);
  }
  for (Process& process : processes_) {
    process.child.Wait(kStopTimeout);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

// Back ends are dealt out to the processes in turn.
void StandInFleet::StartProcess(std::uint32_t number) {
  const auto partitions = EvenPartitions("shard-", shape_.partitions);
  nlohmann::json list = nlohmann::json::array();
  std::vector<std::string> names;
  std::uint32_t dealt = 0;
  for (std::uint32_t part = 0; part < shape_.partitions; ++part) {
    for (std::uint32_t replica = 0; replica < shape_.replicas; ++replica) {
      if (dealt++ % shape_.processes != number) {
        continue;
      }
      BackendSettings settings;
      settings.name = BackendName(part, replica);
      settings.service = kBenchService;
      settings.slots = shape_.slots;
      settings.maximum_connections = shape_.connections;
      settings.median_service_time = shape_.service_time;
      settings.service_time_sigma = shape_.sigma;
      settings.record_count = shape_.records_per_partition * shape_.partitions;
      settings.holdings = {
          {kVersion, partitions[part].shard, partitions[part].range}};
      settings.seed = shape_.seed * 1000003 + dealt;
      names.push_back(settings.name);
      list.push_back(BackendSettingsToJson(settings));
    }
  }
  const std::string file = folder_ + "/" + std::to_string(number) + ".json";
  std::ofstream(file) << nlohmann::json{{"backends", list}};
  Result<ChildProcess> child = ChildProcess::Start(
      "/proc/self/exe", {"backend", "--file", file}, file + ".log");
  if (!child) {
    throw std::runtime_error(FormatError(child.error()));
  }
  const auto listening = child->WaitUntilReady(kStartTimeout);
  if (!listening) {
    throw std::runtime_error(FormatError(listening.error()));
  }
  for (const std::string& name : names) {
    addresses_[name] = listening->at("backend." + name);
  }
  processes_.push_back(
      {*std::move(child), listening->at("lab"), std::move(names)});
}

session::FleetView StandInFleet::MakeView() const {
  session::FleetView view;
  view.revision = 1;
  view.services[kBenchService] = resources::Service{};
  resources::IndexSnapshot snapshot{kBenchService, kVersion, {}};
  snapshot.partitions = EvenPartitions("shard-", shape_.partitions);
  for (std::uint32_t part = 0; part < shape_.partitions; ++part) {
    for (std::uint32_t replica = 0; replica < shape_.replicas; ++replica) {
      const std::string name = BackendName(part, replica);
      resources::Backend backend;
      backend.service = kBenchService;
      backend.address = addresses_.at(name);
      backend.zone = "zone-" + std::to_string(replica);
      backend.slots = shape_.slots;
      backend.maximum_connections = shape_.connections;
      backend.shards = {snapshot.partitions[part].shard};
      view.backends[name] = backend;
      view.reports[name].held_versions = {kVersion};
    }
  }
  view.snapshots[{kBenchService, kVersion}] = std::move(snapshot);
  view.serving[kBenchService] = kVersion;
  return view;
}

void StandInFleet::ChangeBehaviour(const std::string& backend,
                                   const nlohmann::json& behaviour) {
  const nlohmann::json change = {{"backend", backend},
                                 {"behaviour", behaviour}};
  for (const Process& process : processes_) {
    const bool concerned =
        backend == "*" ||
        std::ranges::find(process.backends, backend) != process.backends.end();
    if (!concerned) {
      continue;
    }
    const auto response =
        http_.Post("http://" + process.lab_address + "/v1/lab", change.dump());
    if (response.status != 200) {
      throw std::runtime_error("a stand-in refused a change: " + response.body);
    }
  }
}

std::uint64_t StandInFleet::TotalBegun() {
  std::uint64_t total = 0;
  for (const Process& process : processes_) {
    const auto response =
        http_.Get("http://" + process.lab_address + "/v1/lab");
    const auto body = nlohmann::json::parse(response.body);
    for (const auto& backend : body.at("backends")) {
      total += backend.at("counters").at("begun").get<std::uint64_t>();
    }
  }
  return total;
}

}  // namespace juniperway::lab
