// A deployment file (deploy/*.json): places, services and their sizes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/resources/resource.h"

namespace juniperway::lab {

struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
};

// One kind of service; `count` alike services "<name>-1" onwards are made.
struct ServicePlan {
  std::string name;
  std::uint32_t count = 1;
  std::uint32_t backends = 1;
  std::uint32_t slots = 1;
  std::uint32_t connections = 1;
  std::uint32_t shards = 1;
  std::uint32_t replicas = 1;
  std::uint32_t records = 400;
  Duration median_service_time = milliseconds(4);
  double service_time_sigma = 0.4;
  Duration cold_start = milliseconds(0);
  resources::AnswerPolicy answer_policy = resources::AnswerPolicy::kCoverage;
  Duration soft_deadline = milliseconds(100);
  double minimum_coverage = 1;
  Duration deadline = milliseconds(1000);
  std::vector<resources::RequestClass> request_classes;
  // Share of the queries that callers send in the non-repeatable class.
  double non_repeatable_share = 0;
  // Share of the callers' queries that go to services of this kind.
  double weight = 1;
  std::uint32_t queue_limit = 64;
};

struct Deployment {
  std::string cluster;
  // In the JSON form that the proxy takes.
  std::string delays_json;
  std::vector<RegionPlan> regions;
  std::uint32_t control_machines = 3;
  std::uint32_t gateways_per_zone = 1;
  std::vector<ServicePlan> services;
};

// Parses a deployment; errors name the field.
Result<Deployment> ParseDeployment(const std::string& text);
Result<Deployment> ReadDeployment(const std::string& path);

}  // namespace juniperway::lab
