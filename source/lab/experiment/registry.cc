// The list of scenarios.
#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/scenario.h"
#include "lab/experiment/scripts/scripts.h"

namespace juniperway::lab {
namespace {

using enum Promise;

constexpr Duration kShort = seconds(6);
// Longer than leases and elections take.
constexpr Duration kLong = seconds(12);

Result<void> RunSteady(ExperimentRun& run) {
  run.RunFor(seconds(8));
  return {};
}

std::vector<Scenario> QueryScenarios() {
  return {
      {"steady", "Nothing goes wrong.", {kAtMostOnce}, RunSteady},
      {"straggler",
       "One back end in twenty is slow by twenty times.",
       {kAtMostOnce},
       DuringDisturbance(Straggler(), kShort)},
      {"replica-loss",
       "As many back ends crash as can while each shard keeps a replica.",
       {kAtMostOnce},
       DuringDisturbance(ReplicaLoss(), kShort)},
      {"index-change",
       "Half of the services get a new index version; the old one goes.",
       {kConfigurationInForce, kNeverReverts},
       DuringDisturbance(IndexChange(), kShort)},
      {"drain-backend",
       "Back ends leave: by the operator, by themselves, by the list.",
       {kNoWorkAfterDrain, kConfigurationInForce},
       DuringDisturbance(DrainBackends(), kShort)},
  };
}

std::vector<Scenario> DaemonScenarios() {
  return {
      {"planned-stop",
       "Each gateway, then each control machine is stopped and started.",
       {kPlannedStopCutsNothing},
       DuringDisturbance(PlannedStop(), seconds(0))},
      {"gateway-killed",
       "A gateway dies under non-repeatable queries; callers go elsewhere.",
       {kAtMostOnce},
       DuringDisturbance(GatewayKilled(), kLong)},
      {"control-killed",
       "The control leader dies and comes back.",
       {kConfigurationInForce, kNeverReverts},
       DuringDisturbance(ControlKilled(), kShort)},
      {"control-silent",
       "The control leader freezes without a signal and comes back.",
       {kConfigurationInForce, kNeverReverts},
       DuringDisturbance(ControlSilent(), kLong)},
      {"race-equal-version",
       "Operators write at equal versions at the same time.",
       {kNeverReverts},
       RunVersionRaces},
      {"resend-lost-answer",
       "Answers to changes are lost, and the changes are sent again.",
       {kNeverReverts, kConfigurationInForce},
       RunResends},
  };
}

std::vector<Scenario> OtherScenarios() {
  return {
      {"zone-cut",
       "A zone is cut off from the others.",
       {},
       DuringDisturbance(ZoneCut(), kLong)},
      {"region-cut",
       "A region is cut off from the others.",
       {},
       DuringDisturbance(RegionCut(), kLong)},
      {"repartition",
       "Half of the services get other shards while queries run.",
       {kConfigurationInForce, kNeverReverts},
       DuringDisturbance(Repartition(), kShort)},
      {"overload",
       "Twice as many queries as a service's back ends can run.",
       {kRefusalHonest},
       RunOverload,
       false},
      {"restart-after-many-changes",
       "Every daemon is killed after 600 changes, and started again.",
       {kNeverReverts},
       RunRestartAfterManyChanges},
      {"second-loss-after-repair",
       "A control machine is replaced; right after, another one dies.",
       {kNeverReverts},
       RunSecondLossAfterRepair},
      {"lying-health",
       "Back ends lie about their health and load, or show it late.",
       {},
       DuringDisturbance(LyingHealth(), kShort)},
      {"cold-start",
       "Back ends restart cold.",
       {},
       DuringDisturbance(ColdStart(), kShort)},
      {"late-answers",
       "Answers come late and out of order, also after the deadline.",
       {kAtMostOnce},
       DuringDisturbance(LateAnswers(), kShort)},
      {"two-faults",
       "Two of the disturbances, drawn by the seed, overlap.",
       {},
       RunTwoFaults},
      {"demo",
       "Stragglers, then a drained back end, then an index change.",
       {kNoWorkAfterDrain, kConfigurationInForce, kAtMostOnce},
       RunDemo},
  };
}

}  // namespace

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = [] {
    std::vector<Scenario> all = QueryScenarios();
    for (auto group : {DaemonScenarios(), OtherScenarios()}) {
      all.insert(all.end(), group.begin(), group.end());
    }
    return all;
  }();
  return scenarios;
}

const Scenario* FindScenario(const std::string& name) {
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name == name) {
      return &scenario;
    }
  }
  return nullptr;
}

const std::set<Promise>& AlwaysExercised() {
  static const std::set<Promise> promises = {kOneSnapshot, kCoverageTrue,
                                             kWholeAndOwn, kNeverReverts,
                                             kSlotsAndConnections};
  return promises;
}

const std::vector<NamedDisturbance>& Disturbances() {
  static const std::vector<NamedDisturbance> disturbances = {
      {"straggler", Straggler()},          {"replica-loss", ReplicaLoss()},
      {"index-change", IndexChange()},     {"drain-backend", DrainBackends()},
      {"gateway-killed", GatewayKilled()}, {"control-killed", ControlKilled()},
      {"control-silent", ControlSilent()}, {"zone-cut", ZoneCut()},
      {"region-cut", RegionCut()},         {"repartition", Repartition()},
      {"lying-health", LyingHealth()},     {"cold-start", ColdStart()},
      {"late-answers", LateAnswers()},
  };
  return disturbances;
}

}  // namespace juniperway::lab
