// Parses the answer of a backend's health endpoint, and tracks which index
// versions the backend holds. The health endpoint lags behind the backend's
// state and may be wrong; answers to searches are reliable. The code does no
// I/O.
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

// State of a backend according to its health endpoint.
struct HealthReport {
  bool cold = false;
  bool draining = false;
  // The shards that the backend holds, by index version.
  std::map<resources::IndexVersion, std::set<std::string>> index_versions;
};

// Parses the answer to a probe.
// @return nothing if the probe failed or the body is malformed.
std::optional<HealthReport> ParseHealth(
    const net::HttpClientResponse& response);

// The shards that a backend must hold, by declared index version.
using RequiredShards = std::map<resources::IndexVersion, std::set<std::string>>;

// The index versions at which a backend holds all its shards. The owner keeps
// one HeldVersions for each of its backends. An answer to a search (served, or
// refused as not held) takes precedence over health for
// kAnswerPrecedenceWindow.
class HeldVersions {
 public:
  static constexpr Duration kAnswerPrecedenceWindow = seconds(5);

  // Sets the versions that the previous owner reported. These versions apply
  // until the first answer to a probe.
  void Start(std::set<resources::IndexVersion> held);

  // Updates the held versions after a probe.
  // @param required the shards that the backend must have at each declared
  //   version to count as its holder. Versions not listed are never held.
  void OnHealth(const HealthReport& report, const RequiredShards& required,
                MonotonicTime now);

  // Processes an answer to a search at `version`.
  // @param held true if the backend served the search, false if the backend
  //   refused the search because it does not hold the version.
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
