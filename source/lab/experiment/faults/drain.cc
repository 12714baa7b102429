// Back ends that leave: the operator says so, they say so themselves, or the
// platform's list does.
#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

// "A back end that is leaving receives no new work after a few seconds."
constexpr Duration kGrace = seconds(3);
constexpr Duration kPlatformLag = milliseconds(1500);
// By operator, by itself, by the list.
constexpr std::size_t kDrained = 3;

constexpr const char* kNames = "drained";
constexpr const char* kRecords = "drain-records";

Result<void> SetOperatorDrain(ExperimentRun& run, const std::string& backend,
                              bool drain) {
  Result<resources::Resource> resource =
      run.fleet().control().Read({resources::Kind::kBackend, backend});
  if (!resource) {
    return tl::unexpected<Error>(resource.error());
  }
  std::get<resources::Backend>(resource->specification).drain = drain;
  return run.Change({*resource}, drain ? "drain" : "undrain");
}

void Record(ExperimentRun& run, const std::string& backend,
            Duration shown_after) {
  const std::size_t index = run.RecordDrain(
      {backend, ReadMonotonicClock() + shown_after, kGrace, std::nullopt});
  run.notes()[kRecords].push_back(std::to_string(index));
}

Result<void> Begin(ExperimentRun& run) {
  const auto names = NamesOf(
      SpareBackendOfServices(run.fleet().layout(), kDrained, run.random()));
  run.notes()[kNames] = names;
  run.notes()[kRecords].clear();
  // It goes on serving what comes, so that late work is seen.
  Result<void> done = SetBehaviour(run, {names[1]}, {{"draining", true}});
  Record(run, names[1], Duration(0));
  if (done) {
    done = run.fleet().stand_ins().SetPlatformLag(kPlatformLag);
  }
  if (done) {
    done = run.fleet().stand_ins().ChangePlatform({{names[2], "leaving"}});
    Record(run, names[2], kPlatformLag);
  }
  if (done) {
    Record(run, names[0], Duration(0));
    done = SetOperatorDrain(run, names[0], true);
  }
  return done;
}

Result<void> End(ExperimentRun& run) {
  for (const std::string& record : run.notes()[kRecords]) {
    run.EndDrain(std::stoul(record));
  }
  const std::vector<std::string>& names = run.notes()[kNames];
  Result<void> done = SetBehaviour(run, {names[1]}, {{"draining", false}});
  if (done) {
    done = run.fleet().stand_ins().ChangePlatform({{names[2], "live"}});
  }
  return done ? SetOperatorDrain(run, names[0], false) : done;
}

}  // namespace

Disturbance DrainBackends() { return {Begin, End}; }

}  // namespace juniperway::lab
