#include "lab/experiment/selection.h"

#include <algorithm>

namespace juniperway::lab {
namespace {

constexpr Duration kRecoveryTimeout = seconds(60);

using HolderCounts = std::map<std::string, std::size_t>;

bool CanGo(const BackendPlan& backend, const HolderCounts& holders) {
  return std::all_of(
      backend.shards.begin(), backend.shards.end(),
      [&](const std::string& shard) { return holders.at(shard) > 1; });
}

std::vector<BackendPlan> SpareOfService(const ServiceLayout& service,
                                        std::mt19937_64& random) {
  HolderCounts holders;
  for (const BackendPlan& backend : service.backends) {
    for (const std::string& shard : backend.shards) {
      ++holders[shard];
    }
  }
  std::vector<BackendPlan> candidates = service.backends;
  std::shuffle(candidates.begin(), candidates.end(), random);
  std::vector<BackendPlan> spare;
  for (const BackendPlan& candidate : candidates) {
    if (!CanGo(candidate, holders)) {
      continue;
    }
    for (const std::string& shard : candidate.shards) {
      --holders[shard];
    }
    spare.push_back(candidate);
  }
  return spare;
}

}  // namespace

std::vector<BackendPlan> ShuffledBackends(const Layout& layout,
                                          std::mt19937_64& random) {
  std::vector<BackendPlan> backends;
  for (const ServiceLayout& service : layout.services) {
    backends.insert(backends.end(), service.backends.begin(),
                    service.backends.end());
  }
  std::shuffle(backends.begin(), backends.end(), random);
  return backends;
}

std::vector<BackendPlan> SpareBackends(const Layout& layout,
                                       std::mt19937_64& random) {
  std::vector<BackendPlan> spare;
  for (const ServiceLayout& service : layout.services) {
    const auto of_service = SpareOfService(service, random);
    spare.insert(spare.end(), of_service.begin(), of_service.end());
  }
  return spare;
}

std::vector<BackendPlan> SpareBackendOfServices(const Layout& layout,
                                                std::size_t services,
                                                std::mt19937_64& random) {
  std::vector<ServiceLayout> choices = layout.services;
  std::shuffle(choices.begin(), choices.end(), random);
  std::vector<BackendPlan> spare;
  for (const ServiceLayout& service : choices) {
    const auto of_service = SpareOfService(service, random);
    if (!of_service.empty() && spare.size() < services) {
      spare.push_back(of_service.front());
    }
  }
  return spare;
}

Result<void> SetBehaviour(ExperimentRun& run,
                          const std::vector<std::string>& backends,
                          const nlohmann::json& behaviour) {
  for (const std::string& backend : backends) {
    Result<void> changed = run.fleet().stand_ins().ChangeBackend(
        backend, {{"behaviour", behaviour}});
    if (!changed) {
      return changed;
    }
  }
  return {};
}

std::vector<std::string> NamesOf(const std::vector<BackendPlan>& backends) {
  std::vector<std::string> names;
  names.reserve(backends.size());
  for (const BackendPlan& backend : backends) {
    names.push_back(backend.name);
  }
  return names;
}

Result<void> AwaitRecovery(ExperimentRun& run) {
  const MonotonicTime begin = ReadMonotonicClock();
  const bool recovered = run.RunUntil(kRecoveryTimeout, [&] {
    for (const ServiceLayout& service : run.fleet().layout().services) {
      const auto published = run.fleet().catalog().Published(service.name);
      if (!run.fleet().AllServe(service.name, *published.rbegin())) {
        return false;
      }
    }
    return true;
  });
  run.Measure("recovery_ms", static_cast<double>(
                                 ToMilliseconds(ReadMonotonicClock() - begin)));
  if (!recovered) {
    return MakeError(ErrorCode::kDeadlineExceeded, "recovery",
                     "not every gateway serves the newest snapshots: " +
                         run.fleet().DescribeViews());
  }
  return {};
}

}  // namespace juniperway::lab
