#include "lab/backend/settings.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "lab/json_reader.h"

namespace juniperway::lab {
namespace {

Result<BackendSettings> ParseBackend(const nlohmann::json& json,
                                     const std::string& path) {
  BackendSettings settings;
  JsonReader reader(json, path);
  reader.Required("name", settings.name)
      .Required("service", settings.service)
      .Optional("listen", settings.listen)
      .Optional("slots", settings.slots)
      .Optional("maximum_connections", settings.maximum_connections)
      .Milliseconds("connection_cost_ms", settings.connection_cost)
      .Milliseconds("median_service_time_ms", settings.median_service_time)
      .Optional("service_time_sigma", settings.service_time_sigma)
      .Milliseconds("cold_start_ms", settings.cold_start)
      .Optional("cold_factor", settings.cold_factor)
      .Optional("record_count", settings.record_count)
      .Optional("seed", settings.seed);
  const nlohmann::json holdings = reader.Member("holdings");
  for (const nlohmann::json& item : holdings) {
    Result<Holding> holding = ParseHolding(item);
    if (!holding) {
      return tl::unexpected<Error>(holding.error());
    }
    settings.holdings.push_back(*std::move(holding));
  }
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return settings;
}

}  // namespace

Result<std::vector<BackendSettings>> ParseBackendList(
    const nlohmann::json& json) {
  JsonReader reader(json);
  const nlohmann::json items = reader.Member("backends");
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  if (!items.is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, "backends",
                     "must be an array");
  }
  std::vector<BackendSettings> backends;
  for (std::size_t index = 0; index < items.size(); ++index) {
    Result<BackendSettings> backend =
        ParseBackend(items[index], fmt::format("backends[{}].", index));
    if (!backend) {
      return tl::unexpected<Error>(backend.error());
    }
    backends.push_back(*std::move(backend));
  }
  return backends;
}

nlohmann::json BackendSettingsToJson(const BackendSettings& settings) {
  nlohmann::json holdings = nlohmann::json::array();
  for (const Holding& holding : settings.holdings) {
    holdings.push_back(HoldingToJson(holding));
  }
  return {
      {"name", settings.name},
      {"service", settings.service},
      {"listen", settings.listen},
      {"slots", settings.slots},
      {"maximum_connections", settings.maximum_connections},
      {"connection_cost_ms", FractionalMilliseconds(settings.connection_cost)},
      {"median_service_time_ms",
       FractionalMilliseconds(settings.median_service_time)},
      {"service_time_sigma", settings.service_time_sigma},
      {"cold_start_ms", FractionalMilliseconds(settings.cold_start)},
      {"cold_factor", settings.cold_factor},
      {"record_count", settings.record_count},
      {"holdings", holdings},
      {"seed", settings.seed}};
}

Result<Holding> ParseHolding(const nlohmann::json& json) {
  Holding holding;
  JsonReader reader(json, "holding.");
  reader.Required("index_version", holding.index_version)
      .Required("shard", holding.shard)
      .Required("begin", holding.range.begin)
      .Required("end", holding.range.end);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return holding;
}

nlohmann::json HoldingToJson(const Holding& holding) {
  return {{"index_version", holding.index_version},
          {"shard", holding.shard},
          {"begin", holding.range.begin},
          {"end", holding.range.end}};
}

Result<Behaviour> ChangeBehaviour(Behaviour current,
                                  const nlohmann::json& json) {
  JsonReader reader(json, "behaviour.");
  reader.Optional("slow_factor", current.slow_factor)
      .Optional("stall_probability", current.stall_probability)
      .Milliseconds("stall_ms", current.stall)
      .Optional("shed_probability", current.shed_probability)
      .Optional("omit_not_run_header", current.omit_not_run_header)
      .Optional("draining", current.draining)
      .Optional("refuse_when_draining", current.refuse_when_draining)
      .Milliseconds("report_lag_ms", current.report_lag)
      .Optional("claimed_state", current.claimed_state)
      .Optional("claimed_running", current.claimed_running)
      .Optional("ignore_deadline", current.ignore_deadline)
      .Optional("ignore_cancel", current.ignore_cancel)
      .Optional("answered_version", current.answered_version)
      .Optional("whole_shard_rows", current.whole_shard_rows);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return current;
}

}  // namespace juniperway::lab
