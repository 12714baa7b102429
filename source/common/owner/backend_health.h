// What a back end's health endpoint says, and which index versions it holds by
// all that is known: health lags and may mislead, real answers do not. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/base/time.h"
#include "common/net/http_client.h"
#include "common/resources/resource.h"

namespace juniperway::owner {

struct HealthReport {
  bool cold = false;
  bool draining = false;
  // Index version to the shards held at it.
  std::map<resources::IndexVersion, std::set<std::string>> index_versions;
};

// Nothing when the probe failed or the body is malformed.
std::optional<HealthReport> ParseHealth(
    const net::HttpClientResponse& response);

// Declared index version to the shards of it that a back end is to hold.
using RequiredShards = std::map<resources::IndexVersion, std::set<std::string>>;

// The index versions at which a back end holds all its shards. A real answer
// (served, or refused as not held) outweighs health for kAnswerHold.
class HeldVersions {
 public:
  static constexpr Duration kAnswerHold = seconds(5);

  // What the previous owner had reported, until the first probe.
  void Start(std::set<resources::IndexVersion> held);

  // @param required the shards the back end must have at each declared version
  //   to count as its holder; versions not declared are left out.
  void OnHealth(const HealthReport& report, const RequiredShards& required,
                MonotonicTime now);

  // A search at `version` was served (`held`) or refused as not held.
  void OnAnswer(resources::IndexVersion version, bool held, MonotonicTime now);

  const std::set<resources::IndexVersion>& held() const { return held_; }

 private:
  struct Observation {
    bool held = false;
    MonotonicTime at;
  };

  std::set<resources::IndexVersion> held_;
  std::map<resources::IndexVersion, Observation> observations_;
};

}  // namespace juniperway::owner
