// One run of a scenario on a fleet: the load, the steps' bookkeeping and the
// evidence that the promises are judged by. Not for several threads at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/caller/summary.h"
#include "lab/experiment/load_runner.h"
#include "lab/fleet/fleet.h"
#include "lab/promises/history_check.h"
#include "lab/promises/report.h"

namespace juniperway::lab {

struct RunOptions {
  std::uint64_t seed = 1;
  // Queries a second.
  double rate = 60;
  // Lengthens or shortens the times between a scenario's steps.
  double scale = 1;
};

// What a run showed.
struct RunOutcome {
  PromiseReport report;
  Summary summary;
  // Further figures by name, e.g. "in_force_ms".
  std::map<std::string, double> measurements;
  // Texts by name, e.g. which faults were drawn.
  std::map<std::string, std::string> descriptions;
};

class ExperimentRun {
 public:
  // The fleet must outlive the run and have its resources declared.
  ExperimentRun(Fleet& fleet, const RunOptions& options);

  Fleet& fleet() { return fleet_; }
  std::mt19937_64& random() { return random_; }
  const RunOptions& options() const { return options_; }
  // For checks that a step makes by itself.
  PromiseReport& report() { return report_; }

  // The load of the deployment's callers.
  WorkloadSettings DefaultWorkload() const;
  void StartLoad(const WorkloadSettings& workload);
  // Stops the load, and keeps what it showed.
  void StopLoad();

  // Lets `duration` (times the scale) pass, watching the gateways' revisions.
  void RunFor(Duration duration);
  // Watches until `condition` holds. @return false when it does not in time.
  bool RunUntil(Duration timeout, const std::function<bool()>& condition);

  // Applies resources at their present versions and waits until they are in
  // force; both are recorded.
  Result<void> Change(const std::vector<resources::Resource>& resources,
                      const std::string& label);
  // Waits until the change is in force, and records it as accepted.
  void Follow(ChangeRecord change,
              const std::vector<resources::Resource>& resources);
  // A change id unique in this run.
  std::string MakeChangeId(const std::string& label);
  // An accepted write: at the end the resource must have at least `version`.
  void ExpectVersion(const resources::ResourceId& id,
                     resources::Revision version);

  // Index of the record, for EndDrain.
  std::size_t RecordDrain(const DrainRecord& drain);
  void EndDrain(std::size_t index);
  void RecordStop(const StopRecord& stop) { stops_.push_back(stop); }
  void Measure(const std::string& name, double value) {
    measurements_[name] = value;
  }

  void Describe(const std::string& name, const std::string& text) {
    descriptions_[name] = text;
  }
  // Answered queries a second of the loads stopped so far.
  void MeasureGoodput(Duration elapsed);

  // Faults of the network under a name; an empty list clears them.
  Result<void> SetNetworkFaults(const std::string& name,
                                const nlohmann::json& faults);

  // Values that a disturbance keeps between its begin and its end.
  std::map<std::string, std::vector<std::string>>& notes() { return notes_; }

  // Stops the load, reads the ledgers and judges every promise.
  Result<RunOutcome> Judge();

 private:
  void CheckAcceptedChanges();

  Fleet& fleet_;
  RunOptions options_;
  std::mt19937_64 random_;
  std::unique_ptr<LoadRunner> load_;
  PromiseReport report_;
  std::vector<QueryRecord> history_;
  std::vector<RevisionRecord> revisions_;
  std::vector<ChangeRecord> changes_;
  std::vector<DrainRecord> drains_;
  std::vector<StopRecord> stops_;
  std::map<resources::ResourceId, resources::Revision> expected_versions_;
  std::map<std::string, nlohmann::json> network_faults_;
  std::map<std::string, std::vector<std::string>> notes_;
  std::map<std::string, double> measurements_;
  std::map<std::string, std::string> descriptions_;
  std::uint64_t next_change_ = 0;
  std::uint64_t loads_ = 0;
};

}  // namespace juniperway::lab
