// Back ends that are slow, lost, cold or lie about themselves.
#include <algorithm>
#include <memory>

#include "lab/experiment/faults/faults.h"
#include "lab/experiment/run.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr std::size_t kBackendsPerStraggler = 20;
constexpr double kStragglerFactor = 20;
constexpr std::size_t kFewServices = 6;
constexpr int kLateOnTheWayMs = 300;

constexpr const char* kStragglerNote = "straggler";
constexpr const char* kLyingNote = "lying-health";
constexpr const char* kLateNote = "late-answers";

Result<void> CrashAll(ExperimentRun& run,
                      const std::vector<BackendPlan>& backends) {
  for (const BackendPlan& backend : backends) {
    Result<void> crashed = run.fleet().stand_ins().CrashBackend(backend);
    if (!crashed) {
      return crashed;
    }
  }
  return {};
}

Result<void> RestartAll(ExperimentRun& run,
                        const std::vector<BackendPlan>& backends) {
  for (const BackendPlan& backend : backends) {
    Result<void> restarted = run.fleet().stand_ins().RestartBackend(backend);
    if (!restarted) {
      return restarted;
    }
  }
  return {};
}

// Three kinds of lie, one back end each in turn.
nlohmann::json Lie(std::size_t number) {
  switch (number % 3) {
    case 0:  // Busy and slow, and says that it is idle.
      return {
          {"slow_factor", 10}, {"claimed_state", "ok"}, {"claimed_running", 0}};
    case 1:  // Sheds much, and shows its load of two seconds ago.
      return {{"shed_probability", 0.5}, {"report_lag_ms", 2000}};
    default:  // Idle, and says that it is full.
      return {{"claimed_running", 5}};
  }
}

}  // namespace

Disturbance Straggler() {
  return {[](ExperimentRun& run) {
            auto backends =
                ShuffledBackends(run.fleet().layout(), run.random());
            backends.resize(std::max<std::size_t>(
                1, backends.size() / kBackendsPerStraggler));
            run.notes()[kStragglerNote] = NamesOf(backends);
            return SetBehaviour(run, run.notes()[kStragglerNote],
                                {{"slow_factor", kStragglerFactor}});
          },
          [](ExperimentRun& run) {
            return SetBehaviour(run, run.notes()[kStragglerNote],
                                {{"slow_factor", 1}});
          }};
}

Disturbance ReplicaLoss() {
  const auto lost = std::make_shared<std::vector<BackendPlan>>();
  return {[lost](ExperimentRun& run) {
            *lost = SpareBackends(run.fleet().layout(), run.random());
            return CrashAll(run, *lost);
          },
          [lost](ExperimentRun& run) { return RestartAll(run, *lost); }};
}

Disturbance LyingHealth() {
  return {[](ExperimentRun& run) -> Result<void> {
            run.notes()[kLyingNote] = NamesOf(SpareBackendOfServices(
                run.fleet().layout(), kFewServices, run.random()));
            std::size_t number = 0;
            for (const std::string& backend : run.notes()[kLyingNote]) {
              Result<void> set = SetBehaviour(run, {backend}, Lie(number++));
              if (!set) {
                return set;
              }
            }
            return {};
          },
          [](ExperimentRun& run) {
            return SetBehaviour(run, run.notes()[kLyingNote],
                                {{"slow_factor", 1},
                                 {"shed_probability", 0},
                                 {"report_lag_ms", 0},
                                 {"claimed_state", nullptr},
                                 {"claimed_running", nullptr}});
          }};
}

Disturbance ColdStart() {
  return {[](ExperimentRun& run) -> Result<void> {
            // Restarted at once, so that all the warm ones are few.
            const auto backends =
                SpareBackends(run.fleet().layout(), run.random());
            Result<void> done = CrashAll(run, backends);
            return done ? RestartAll(run, backends) : done;
          },
          [](ExperimentRun&) { return Result<void>(); }};
}

Disturbance LateAnswers() {
  return {[](ExperimentRun& run) {
            const auto backends = NamesOf(SpareBackendOfServices(
                run.fleet().layout(), kFewServices, run.random()));
            run.notes()[kLateNote] = backends;
            // Late on the way, from half of them.
            nlohmann::json faults = nlohmann::json::array();
            for (std::size_t index = 0; index < backends.size(); index += 2) {
              faults.push_back({{"from", "machine:" + backends[index]},
                                {"extra_delay_ms", kLateOnTheWayMs}});
            }
            Result<void> done = run.SetNetworkFaults(kLateNote, faults);
            return done ? SetBehaviour(run, backends,
                                       {{"ignore_deadline", true},
                                        {"stall_probability", 0.2},
                                        {"stall_ms", 1500}})
                        : done;
          },
          [](ExperimentRun& run) {
            Result<void> done =
                run.SetNetworkFaults(kLateNote, nlohmann::json::array());
            return done ? SetBehaviour(run, run.notes()[kLateNote],
                                       {{"ignore_deadline", false},
                                        {"stall_probability", 0},
                                        {"stall_ms", 0}})
                        : done;
          }};
}

}  // namespace juniperway::lab
