#include "lab/experiment/run.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "lab/wait.h"

namespace juniperway::lab {
namespace {

constexpr Duration kObservationInterval = milliseconds(100);
constexpr Duration kAcceptTimeout = seconds(30);
// The users' bound for a change to be in force everywhere.
constexpr Duration kInForceTimeout = seconds(18);
constexpr Duration kReadTimeout = seconds(30);

}  // namespace

ExperimentRun::ExperimentRun(Fleet& fleet, const RunOptions& options)
    : fleet_(fleet), options_(options), random_(options.seed) {}

WorkloadSettings ExperimentRun::DefaultWorkload() const {
  return MakeWorkload(fleet_.layout(), options_.rate, options_.seed);
}

void ExperimentRun::StartLoad(const WorkloadSettings& workload) {
  StopLoad();
  LoadSettings settings;
  settings.workload = workload;
  settings.workload.name = fmt::format("load{}", ++loads_);
  settings.gateways = fleet_.Gateways();
  load_ = std::make_unique<LoadRunner>(settings, fleet_.catalog());
}

void ExperimentRun::StopLoad() {
  if (load_ == nullptr) {
    return;
  }
  LoadResult result = load_->Stop();
  load_.reset();
  report_.Merge(result.report);
  std::move(result.history.begin(), result.history.end(),
            std::back_inserter(history_));
}

void ExperimentRun::RunFor(Duration duration) {
  const auto scaled = Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * options_.scale));
  RunUntil(scaled, [] { return false; });
}

bool ExperimentRun::RunUntil(Duration timeout,
                             const std::function<bool()>& condition) {
  return WaitFor(
      timeout,
      [&] {
        const auto seen = fleet_.ObserveRevisions();
        revisions_.insert(revisions_.end(), seen.begin(), seen.end());
        return condition();
      },
      kObservationInterval);
}

std::string ExperimentRun::MakeChangeId(const std::string& label) {
  return fmt::format("{}-{}-{}", label, options_.seed, ++next_change_);
}

Result<void> ExperimentRun::Change(
    const std::vector<resources::Resource>& resources,
    const std::string& label) {
  Result<ChangeRecord> change =
      fleet_.control().Apply(resources, MakeChangeId(label), kAcceptTimeout);
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  Follow(*std::move(change), resources);
  return {};
}

void ExperimentRun::Follow(ChangeRecord change,
                           const std::vector<resources::Resource>& resources) {
  for (const resources::Resource& resource : resources) {
    ExpectVersion(resource.id, change.revision);
  }
  fleet_.control().WaitInForce(change, kInForceTimeout);
  if (change.in_force) {
    double& slowest = measurements_["in_force_ms"];
    slowest = std::max(slowest, static_cast<double>(ToMilliseconds(
                                    *change.in_force - change.accepted)));
  }
  changes_.push_back(std::move(change));
}

void ExperimentRun::ExpectVersion(const resources::ResourceId& id,
                                  resources::Revision version) {
  resources::Revision& expected = expected_versions_[id];
  expected = std::max(expected, version);
}

std::size_t ExperimentRun::RecordDrain(const DrainRecord& drain) {
  drains_.push_back(drain);
  return drains_.size() - 1;
}

void ExperimentRun::EndDrain(std::size_t index) {
  drains_[index].until = ReadMonotonicClock();
}

Result<void> ExperimentRun::SetNetworkFaults(const std::string& name,
                                             const nlohmann::json& faults) {
  network_faults_[name] = faults;
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [fault_name, items] : network_faults_) {
    all.insert(all.end(), items.begin(), items.end());
  }
  return fleet_.stand_ins().SetFaults(all);
}

void ExperimentRun::MeasureGoodput(Duration elapsed) {
  const auto answered = std::count_if(
      history_.begin(), history_.end(),
      [](const QueryRecord& record) { return record.answered(); });
  constexpr double kMicrosecondsPerSecond = 1e6;
  Measure("goodput_qps", static_cast<double>(answered) *
                             kMicrosecondsPerSecond /
                             static_cast<double>(elapsed.count()));
}

void ExperimentRun::CheckAcceptedChanges() {
  for (const auto& expected : expected_versions_) {
    const resources::ResourceId& id = expected.first;
    const resources::Revision version = expected.second;
    Result<resources::Resource> found = fleet_.control().Read(id);
    WaitFor(kReadTimeout, [&] {
      found = fleet_.control().Read(id);
      return found.has_value();
    });
    report_.Check(Promise::kNeverReverts, found && found->version >= version,
                  fmt::format("{} was accepted at revision {}, and is {}",
                              id.name, version,
                              found ? fmt::format("at {}", found->version)
                                    : FormatError(found.error())));
  }
}

Result<RunOutcome> ExperimentRun::Judge() {
  StopLoad();
  CheckAcceptedChanges();
  const Result<std::vector<LedgerEntry>> ledger =
      fleet_.stand_ins().ReadLedgers();
  const Result<std::vector<LimitRecord>> limits =
      fleet_.stand_ins().ReadLimits();
  if (!ledger || !limits) {
    return tl::unexpected<Error>(!ledger ? ledger.error() : limits.error());
  }
  const LedgerByRequest grouped = GroupByRequest(*ledger);
  CheckRefusals(history_, grouped, report_);
  CheckAtMostOnce(history_, grouped, report_);
  CheckSnapshotOrder(history_, report_);
  CheckDrains(drains_, *ledger, report_);
  CheckPlannedStops(stops_, history_, report_);
  CheckInForce(changes_, history_, report_);
  CheckRevisions(revisions_, report_);
  CheckLimits(*limits, report_);
  return RunOutcome{report_, Summarize(history_, *ledger), measurements_,
                    descriptions_};
}

}  // namespace juniperway::lab
