#include "lab/fleet/deployment.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/json_reader.h"

namespace juniperway::lab {
namespace {

Result<resources::RequestClass> ParseRequestClass(const nlohmann::json& json) {
  resources::RequestClass request_class;
  JsonReader reader(json, "request_classes.");
  reader.Required("name", request_class.name)
      .Required("repeatable", request_class.repeatable)
      .Optional("weight", request_class.weight);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return request_class;
}

Result<RegionPlan> ParseRegion(const nlohmann::json& json) {
  RegionPlan region;
  JsonReader reader(json, "regions.");
  reader.Required("name", region.name).Required("zones", region.zones);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return region;
}

Result<ServicePlan> ParseService(const nlohmann::json& json) {
  ServicePlan service;
  std::string policy;
  JsonReader reader(json, "services.");
  reader.Required("name", service.name)
      .Optional("count", service.count)
      .Required("backends", service.backends)
      .Required("slots", service.slots)
      .Required("connections", service.connections)
      .Required("shards", service.shards)
      .Optional("replicas", service.replicas)
      .Optional("records", service.records)
      .Milliseconds("median_service_time_ms", service.median_service_time)
      .Optional("service_time_sigma", service.service_time_sigma)
      .Milliseconds("cold_start_ms", service.cold_start)
      .Required("answer_policy", policy)
      .Milliseconds("soft_deadline_ms", service.soft_deadline)
      .Optional("minimum_coverage", service.minimum_coverage)
      .Milliseconds("deadline_ms", service.deadline)
      .Optional("non_repeatable_share", service.non_repeatable_share)
      .Optional("weight", service.weight)
      .Optional("queue_limit", service.queue_limit);
  const nlohmann::json classes = reader.Member("request_classes");
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  if (policy != "latency" && policy != "coverage") {
    return MakeError(ErrorCode::kInvalidArgument, "services.answer_policy",
                     "must be latency or coverage");
  }
  service.answer_policy = policy == "latency"
                              ? resources::AnswerPolicy::kLatency
                              : resources::AnswerPolicy::kCoverage;
  for (const nlohmann::json& item : classes) {
    Result<resources::RequestClass> request_class = ParseRequestClass(item);
    if (!request_class) {
      return tl::unexpected<Error>(request_class.error());
    }
    service.request_classes.push_back(*std::move(request_class));
  }
  return service;
}

}  // namespace

Result<Deployment> ParseDeployment(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  Deployment deployment;
  JsonReader reader(json);
  reader.Required("cluster", deployment.cluster)
      .Optional("control_machines", deployment.control_machines)
      .Optional("gateways_per_zone", deployment.gateways_per_zone);
  deployment.delays_json = reader.Member("delays").dump();
  const nlohmann::json regions = reader.Member("regions");
  const nlohmann::json services = reader.Member("services");
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  for (const nlohmann::json& item : regions) {
    Result<RegionPlan> region = ParseRegion(item);
    if (!region) {
      return tl::unexpected<Error>(region.error());
    }
    deployment.regions.push_back(*std::move(region));
  }
  for (const nlohmann::json& item : services) {
    Result<ServicePlan> service = ParseService(item);
    if (!service) {
      return tl::unexpected<Error>(service.error());
    }
    deployment.services.push_back(*std::move(service));
  }
  return deployment;
}

Result<Deployment> ReadDeployment(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorCode::kIo, path, "cannot be read");
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ParseDeployment(text);
}

}  // namespace juniperway::lab
