// Zones and regions that are cut off from the others, without a signal.
#include <fmt/format.h>

#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

std::vector<std::string> RegionsOf(const Layout& layout) {
  std::vector<std::string> regions;
  for (const Zone& zone : layout.zones) {
    if (regions.empty() || regions.back() != zone.region) {
      regions.push_back(zone.region);
    }
  }
  return regions;
}

nlohmann::json Cut(const std::string& from, const std::string& to) {
  return {{"from", from}, {"to", to}, {"both", true}, {"blocked", true}};
}

Result<void> CutZone(ExperimentRun& run) {
  const std::string zone = AnyOf(run.fleet().layout().zones, run.random()).name;
  nlohmann::json faults = nlohmann::json::array();
  for (const Zone& other : run.fleet().layout().zones) {
    if (other.name != zone) {
      faults.push_back(Cut("zone:" + zone, "zone:" + other.name));
    }
  }
  return run.SetNetworkFaults("zone-cut", faults);
}

Result<void> CutRegion(ExperimentRun& run) {
  const auto regions = RegionsOf(run.fleet().layout());
  const std::string region = AnyOf(regions, run.random());
  nlohmann::json faults = nlohmann::json::array();
  for (const std::string& other : regions) {
    if (other != region) {
      faults.push_back(Cut("region:" + region, "region:" + other));
    }
  }
  return run.SetNetworkFaults("region-cut", faults);
}

ScenarioStep Heal(const std::string& name) {
  return [name](ExperimentRun& run) {
    return run.SetNetworkFaults(name, nlohmann::json::array());
  };
}

}  // namespace

Disturbance ZoneCut() { return {CutZone, Heal("zone-cut")}; }

Disturbance RegionCut() { return {CutRegion, Heal("region-cut")}; }

}  // namespace juniperway::lab
