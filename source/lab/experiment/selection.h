// Seeded choices among a fleet's machines, and conditions on it that scenarios
// wait for.
#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "lab/experiment/run.h"
#include "lab/fleet/layout.h"

namespace juniperway::lab {

// Every back end of the layout, in a seeded order.
std::vector<BackendPlan> ShuffledBackends(const Layout& layout,
                                          std::mt19937_64& random);

// As many back ends as can go while each shard keeps a holder: one replica of
// nearly each shard is lost.
std::vector<BackendPlan> SpareBackends(const Layout& layout,
                                       std::mt19937_64& random);

// One spare back end of each of the first `services` services.
std::vector<BackendPlan> SpareBackendOfServices(const Layout& layout,
                                                std::size_t services,
                                                std::mt19937_64& random);

template <typename T>
const T& AnyOf(const std::vector<T>& choices, std::mt19937_64& random) {
  return choices[std::uniform_int_distribution<std::size_t>(
      0, choices.size() - 1)(random)];
}

// Changes the behaviour of the back ends.
Result<void> SetBehaviour(ExperimentRun& run,
                          const std::vector<std::string>& backends,
                          const nlohmann::json& behaviour);

std::vector<std::string> NamesOf(const std::vector<BackendPlan>& backends);

// Waits until every running gateway serves the newest published version of each
// service; an error when that does not come about.
Result<void> AwaitRecovery(ExperimentRun& run);

}  // namespace juniperway::lab
