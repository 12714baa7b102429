#include "common/owner/backend_health.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace juniperway::owner {
namespace {

using Json = nlohmann::json;

std::optional<resources::IndexVersion> ParseVersion(const std::string& text) {
  resources::IndexVersion version = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  return version;
}

// Reads the shards of each index version into `report`.
// @return false if the map is malformed.
bool ReadVersions(const Json& versions, HealthReport& report) {
  if (!versions.is_object()) {
    return false;
  }
  for (const auto& [name, shards] : versions.items()) {
    const auto version = ParseVersion(name);
    if (!version || !shards.is_array()) {
      return false;
    }
    std::set<std::string>& held = report.index_versions[*version];
    for (const Json& shard : shards) {
      if (!shard.is_string()) {
        return false;
      }
      held.insert(shard.get<std::string>());
    }
  }
  return true;
}

}  // namespace

std::optional<HealthReport> ParseHealth(
    const net::HttpClientResponse& response) {
  if (response.progress != net::HttpProgress::kAnswered ||
      response.status != 200) {
    return std::nullopt;
  }
  const Json body =
      Json::parse(response.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto state = body.find("state");
  const auto versions = body.find("index_versions");
  if (state == body.end() || !state->is_string() || versions == body.end()) {
    return std::nullopt;
  }
  HealthReport report;
  report.cold = *state == "cold";
  const auto header = response.headers.find("x-draining");
  report.draining = *state == "draining" || (header != response.headers.end() &&
                                             header->second == "true");
  if (!ReadVersions(*versions, report)) {
    return std::nullopt;
  }
  return report;
}

void HeldVersions::Start(std::set<resources::IndexVersion> held) {
  held_ = std::move(held);
}

void HeldVersions::OnHealth(const HealthReport& report,
                            const RequiredShards& required, MonotonicTime now) {
  held_.clear();
  for (const auto& [version, shards] : required) {
    const auto listed = report.index_versions.find(version);
    if (listed != report.index_versions.end() && !shards.empty() &&
        std::includes(listed->second.begin(), listed->second.end(),
                      shards.begin(), shards.end())) {
      held_.insert(version);
    }
  }
  std::erase_if(observations_, [now](const auto& item) {
    return now >= item.second.at + kAnswerPrecedenceWindow;
  });
  for (const auto& [version, observation] : observations_) {
    if (observation.held) {
      held_.insert(version);
    } else {
      held_.erase(version);
    }
  }
}

void HeldVersions::OnAnswer(resources::IndexVersion version, bool held,
                            MonotonicTime now) {
  observations_[version] = {held, now};
  if (held) {
    held_.insert(version);
  } else {
    held_.erase(version);
  }
}

}  // namespace juniperway::owner
