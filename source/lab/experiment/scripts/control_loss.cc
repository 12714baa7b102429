// Control machines that are lost with much behind them, or one after another.
#include <fmt/format.h>

#include "lab/experiment/run.h"
#include "lab/experiment/scripts/scripts.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr int kManyChanges = 600;
constexpr int kOk = 200;
constexpr Duration kApplyTimeout = seconds(20);
constexpr Duration kRepairTimeout = seconds(60);

// `count` changes, one after another; each must be accepted.
Result<void> ChangeOften(ExperimentRun& run, int count) {
  const auto& services = run.fleet().layout().services;
  std::vector<resources::Resource> resources;
  for (const ServiceLayout& service : services) {
    auto resource =
        run.fleet().control().Read({resources::Kind::kService, service.name});
    if (!resource) {
      return tl::unexpected<Error>(resource.error());
    }
    resources.push_back(*std::move(resource));
  }
  for (int change = 0; change < count; ++change) {
    resources::Resource& resource = resources[change % resources.size()];
    ++std::get<resources::Service>(resource.specification).maximum_rows;
    const auto accepted = run.fleet().control().Apply(
        {resource}, run.MakeChangeId("many"), kApplyTimeout);
    if (!accepted) {
      return tl::unexpected<Error>(accepted.error());
    }
    resource.version = accepted->revision;
    run.ExpectVersion(resource.id, accepted->revision);
  }
  return {};
}

Result<void> RestartAll(ExperimentRun& run,
                        const std::vector<MachinePlan>& machines) {
  for (const MachinePlan& machine : machines) {
    if (Result<void> killed = run.fleet().Kill(machine.name); !killed) {
      return killed;
    }
  }
  for (const MachinePlan& machine : machines) {
    Result<void> started = run.fleet().Restart(machine.name);
    if (!started) {
      return started;
    }
  }
  return {};
}

bool Repaired(ExperimentRun& run) {
  const ControlReply status = run.fleet().control().GetAnywhere("/v1/status");
  return status.status == kOk && status.body.value("repaired", false);
}

}  // namespace

Result<void> RunRestartAfterManyChanges(ExperimentRun& run) {
  const MonotonicTime begin = ReadMonotonicClock();
  Result<void> done = ChangeOften(run, kManyChanges);
  if (!done) {
    return done;
  }
  run.Measure("changes_ms", static_cast<double>(
                                ToMilliseconds(ReadMonotonicClock() - begin)));
  const MonotonicTime restart = ReadMonotonicClock();
  done = RestartAll(run, run.fleet().layout().control);
  if (done) {
    done = RestartAll(run, run.fleet().layout().gateways);
  }
  if (done) {
    done = AwaitRecovery(run);
  }
  run.Measure(
      "restart_ms",
      static_cast<double>(ToMilliseconds(ReadMonotonicClock() - restart)));
  if (done) {
    run.RunFor(seconds(3));
    done = ChangeOften(run, 1);
  }
  return done;
}

Result<void> RunSecondLossAfterRepair(ExperimentRun& run) {
  const std::vector<MachinePlan>& machines = run.fleet().layout().control;
  std::size_t lost = std::uniform_int_distribution<std::size_t>(
      0, machines.size() - 1)(run.random());
  run.RunFor(seconds(1));
  // The machine dies with its disk, and a new one takes its place.
  Result<void> done = run.fleet().Kill(machines[lost].name);
  if (done) {
    done = ChangeOften(run, 3);
  }
  if (!done) {
    return done;
  }
  const MonotonicTime begin = ReadMonotonicClock();
  done = run.fleet().ReplaceControl(machines[lost].name);
  if (!done) {
    return done;
  }
  const bool repaired =
      run.RunUntil(kRepairTimeout, [&] { return Repaired(run); });
  run.Measure("repair_ms", static_cast<double>(
                               ToMilliseconds(ReadMonotonicClock() - begin)));
  if (!repaired) {
    return MakeError(ErrorCode::kDeadlineExceeded, "repair",
                     "control does not report that it is repaired");
  }
  // Another one goes right after.
  const std::size_t second = (lost + 1) % machines.size();
  done = run.fleet().Kill(machines[second].name);
  if (done) {
    done = ChangeOften(run, 3);
  }
  if (!done) {
    return done;
  }
  run.RunFor(seconds(5));
  done = run.fleet().Restart(machines[second].name);
  return done ? AwaitRecovery(run) : done;
}

}  // namespace juniperway::lab
