// Daemons that are killed, frozen or stopped in a planned way.
#include <fmt/format.h>

#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr Duration kStopTimeout = seconds(30);
constexpr Duration kLeaderTimeout = seconds(20);

constexpr const char* kKilledGateway = "gateway-killed";
constexpr const char* kKilledControl = "control-killed";
constexpr const char* kSilentControl = "control-silent";

std::string Leader(ExperimentRun& run) {
  std::optional<std::string> leader;
  run.RunUntil(kLeaderTimeout, [&] {
    leader = run.fleet().LeaderName();
    return leader.has_value();
  });
  return leader.value_or(run.fleet().layout().control.front().name);
}

// A change that must be accepted while the fault is under way.
Result<void> ChangeAnyService(ExperimentRun& run, const std::string& label) {
  const ServiceLayout& service =
      AnyOf(run.fleet().layout().services, run.random());
  Result<resources::Resource> resource =
      run.fleet().control().Read({resources::Kind::kService, service.name});
  if (!resource) {
    return tl::unexpected<Error>(resource.error());
  }
  ++std::get<resources::Service>(resource->specification).maximum_rows;
  const MonotonicTime begin = ReadMonotonicClock();
  Result<void> changed = run.Change({*resource}, label);
  run.Measure(
      "change_during_fault_ms",
      static_cast<double>(ToMilliseconds(ReadMonotonicClock() - begin)));
  return changed;
}

Result<void> StopAndRestart(ExperimentRun& run, const std::string& daemon) {
  const Result<StopRecord> stop = run.fleet().Stop(daemon, kStopTimeout);
  if (!stop) {
    return tl::unexpected<Error>(stop.error());
  }
  run.RecordStop(*stop);
  run.RunFor(milliseconds(500));
  Result<void> restarted = run.fleet().Restart(daemon);
  return restarted ? AwaitRecovery(run) : restarted;
}

}  // namespace

Disturbance GatewayKilled() {
  return {[](ExperimentRun& run) {
            const std::string gateway =
                AnyOf(run.fleet().layout().gateways, run.random()).name;
            run.notes()[kKilledGateway] = {gateway};
            return run.fleet().Kill(gateway);
          },
          [](ExperimentRun& run) {
            return run.fleet().Restart(run.notes()[kKilledGateway].front());
          }};
}

Disturbance PlannedStop() {
  return {[](ExperimentRun& run) -> Result<void> {
            for (const MachinePlan& gateway : run.fleet().layout().gateways) {
              Result<void> done = StopAndRestart(run, gateway.name);
              if (!done) {
                return done;
              }
            }
            return {};
          },
          [](ExperimentRun& run) -> Result<void> {
            for (const MachinePlan& control : run.fleet().layout().control) {
              Result<void> done = StopAndRestart(run, control.name);
              if (!done) {
                return done;
              }
            }
            return {};
          }};
}

Disturbance ControlKilled() {
  return {[](ExperimentRun& run) {
            const std::string leader = Leader(run);
            run.notes()[kKilledControl] = {leader};
            Result<void> killed = run.fleet().Kill(leader);
            return killed ? ChangeAnyService(run, "while-killed") : killed;
          },
          [](ExperimentRun& run) {
            Result<void> done =
                run.fleet().Restart(run.notes()[kKilledControl].front());
            return done ? ChangeAnyService(run, "after-restart") : done;
          }};
}

Disturbance ControlSilent() {
  return {[](ExperimentRun& run) {
            const std::string leader = Leader(run);
            run.notes()[kSilentControl] = {leader};
            run.fleet().Freeze(leader);
            return ChangeAnyService(run, "while-silent");
          },
          [](ExperimentRun& run) {
            run.fleet().Thaw(run.notes()[kSilentControl].front());
            return ChangeAnyService(run, "after-thaw");
          }};
}

}  // namespace juniperway::lab
