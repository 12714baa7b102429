// What a stand-in back end is (settings) and how it misbehaves at the moment
// (behaviour), with their JSON forms.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/error.h"
#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/resources/resource.h"

namespace juniperway::lab {

// One shard at one index version.
struct Holding {
  resources::IndexVersion index_version = 0;
  std::string shard;
  KeyRange range;
  bool operator==(const Holding&) const = default;
};

struct BackendSettings {
  std::string name;
  std::string service;
  // "ip:port"; port 0 asks the kernel.
  std::string listen = "127.0.0.1:0";
  std::uint32_t slots = 1;
  std::uint32_t maximum_connections = 64;
  // Added to the first answer on each connection.
  Duration connection_cost = milliseconds(1);
  // Lognormal distribution of the time that a subquery takes.
  Duration median_service_time = milliseconds(4);
  double service_time_sigma = 0.4;
  // After a cold start, times fall linearly from `cold_factor` to 1 over this.
  Duration cold_start = milliseconds(0);
  double cold_factor = 6;
  std::uint32_t record_count = 400;
  std::vector<Holding> holdings;
  std::uint64_t seed = 1;
};

// Set at run time. The defaults are those of a faultless back end.
struct Behaviour {
  // Multiplies every service time (a straggler).
  double slow_factor = 1;
  // This share of subqueries takes `stall` longer.
  double stall_probability = 0;
  Duration stall = milliseconds(0);
  // This share of subqueries is shed.
  double shed_probability = 0;
  // Refusals lack the X-Not-Run header.
  bool omit_not_run_header = false;
  // Says that it drains (health and X-Draining).
  bool draining = false;
  // Refuses new subqueries while draining; else it still serves them.
  bool refuse_when_draining = false;
  // Health and load are reported as they were this long ago.
  Duration report_lag = milliseconds(0);
  // Health claims this state, and this number of running subqueries.
  std::optional<std::string> claimed_state;
  std::optional<std::uint32_t> claimed_running;
  // Works on past its deadline, or after it was cancelled.
  bool ignore_deadline = false;
  bool ignore_cancel = false;
  // Answers from this version, whatever was asked for.
  std::optional<resources::IndexVersion> answered_version;
  // Answers with the rows of its whole shard, whatever range was asked for.
  bool whole_shard_rows = false;
};

// Parses {"backends":[…], …}; unknown fields are refused.
Result<std::vector<BackendSettings>> ParseBackendList(
    const nlohmann::json& json);
nlohmann::json BackendSettingsToJson(const BackendSettings& settings);

// Parses one shard at one version: {"index_version","shard","begin","end"}.
Result<Holding> ParseHolding(const nlohmann::json& json);
nlohmann::json HoldingToJson(const Holding& holding);

// Returns `current` with the fields of `json` changed; unknown ones are
// refused.
Result<Behaviour> ChangeBehaviour(Behaviour current,
                                  const nlohmann::json& json);

}  // namespace juniperway::lab
