#include "lab/soak/nemesis.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>
#include <utility>

namespace juniperway::lab {
namespace {

constexpr Duration kShortest = milliseconds(50);
// Between the beginnings of two faults.
constexpr Duration kLongestGap = milliseconds(700);
constexpr Duration kPollInterval = milliseconds(20);
constexpr Duration kLongestPause = milliseconds(2500);
constexpr Duration kLongestFault = milliseconds(1500);
constexpr Duration kRepairLimit = seconds(60);
constexpr Duration kStopLimit = seconds(30);

}  // namespace

SoakNemesis::SoakNemesis(SoakFleet& fleet, SoakStandIns& stand_ins,
                         SoakShared& shared, std::uint64_t seed)
    : fleet_(fleet),
      stand_ins_(stand_ins),
      shared_(shared),
      random_(seed),
      spoiling_random_(seed + 1),
      began_(ReadMonotonicClock()) {}

void SoakNemesis::Strike() {
  using Fault = void (SoakNemesis::*)();
  static constexpr std::array<Fault, 14> kFaults = {
      &SoakNemesis::KillRouter,          &SoakNemesis::StopRouter,
      &SoakNemesis::PauseRouter,         &SoakNemesis::KillControl,
      &SoakNemesis::PauseControl,        &SoakNemesis::WipeControl,
      &SoakNemesis::KillAllControls,     &SoakNemesis::DisturbPath,
      &SoakNemesis::ResetPath,           &SoakNemesis::SpoilAnswers,
      &SoakNemesis::DrainBackend,        &SoakNemesis::FailList,
      &SoakNemesis::DisturbControlPaths, &SoakNemesis::ResetControlPaths};
  (this->*kFaults.at(random_() % kFaults.size()))();
  WaitFor(Draw(kShortest, kLongestGap));
}

void SoakNemesis::Last(const std::string& target, Duration longest,
                       std::function<void()> end) {
  const MonotonicTime until = ReadMonotonicClock() + Draw(kShortest, longest);
  lasting_[target] = {.until = until, .end = std::move(end)};
}

void SoakNemesis::EndDue() {
  const MonotonicTime now = ReadMonotonicClock();
  for (auto fault = lasting_.begin(); fault != lasting_.end();) {
    if (fault->second.until > now) {
      ++fault;
      continue;
    }
    const std::function<void()> end = std::move(fault->second.end);
    fault = lasting_.erase(fault);
    end();
  }
}

void SoakNemesis::WaitFor(Duration time) {
  const MonotonicTime end = ReadMonotonicClock() + time;
  while (ReadMonotonicClock() < end) {
    std::this_thread::sleep_for(std::min(kPollInterval, time));
    EndDue();
  }
}

bool SoakNemesis::AwaitWhole() {
  const MonotonicTime limit = ReadMonotonicClock() + kRepairLimit;
  while (!fleet_.IsWhole()) {
    if (ReadMonotonicClock() >= limit) {
      return false;
    }
    WaitFor(kPollInterval);
  }
  return true;
}

void SoakNemesis::Note(const std::string& what) {
  const std::chrono::duration<double> since = ReadMonotonicClock() - began_;
  log_.push_back(fmt::format("{:.2f} s: {}", since.count(), what));
}

Duration SoakNemesis::Draw(Duration least, Duration most) {
  std::uniform_int_distribution<Duration::rep> between(least.count(),
                                                       most.count());
  return Duration(between(random_));
}

// --- Processes ---------------------------------------------------------------

void SoakNemesis::KillRouter() {
  const std::size_t router = random_() % fleet_.routers();
  const std::string target = fmt::format("router-{}", router);
  if (IsStruck(target)) {
    return;
  }
  Note("kill " + target);
  ++shared_.router_lives.at(router);
  fleet_.router(router).Kill();
  Last(target, kLongestFault, [this, router] {
    fleet_.StartRouter(router);
    ++shared_.router_lives.at(router);
  });
}

void SoakNemesis::StopRouter() {
  const std::size_t router = random_() % fleet_.routers();
  const std::string target = fmt::format("router-{}", router);
  if (IsStruck(target)) {
    return;
  }
  Note("stop " + target);
  ++shared_.router_lives.at(router);
  fleet_.router(router).Signal(SIGTERM);
  Last(target, kLongestFault, [this, router, target] {
    const auto status = fleet_.router(router).Wait(kStopLimit);
    Note(fmt::format("{} ended with {}", target, status.value_or(-1)));
    fleet_.StartRouter(router);
    ++shared_.router_lives.at(router);
  });
}

void SoakNemesis::PauseRouter() {
  const std::size_t router = random_() % fleet_.routers();
  const std::string target = fmt::format("router-{}", router);
  if (IsStruck(target)) {
    return;
  }
  Note("pause " + target);
  fleet_.router(router).Signal(SIGSTOP);
  Last(target, kLongestPause,
       [this, router] { fleet_.router(router).Signal(SIGCONT); });
}

void SoakNemesis::KillControl() {
  const std::size_t control = random_() % fleet_.controls();
  const std::string target = fmt::format("control-{}", control);
  if (IsStruck(target)) {
    return;
  }
  Note("kill " + target);
  fleet_.control(control).Kill();
  Last(target, kLongestFault,
       [this, control] { fleet_.StartControl(control); });
}

void SoakNemesis::PauseControl() {
  const std::size_t control = random_() % fleet_.controls();
  const std::string target = fmt::format("control-{}", control);
  if (IsStruck(target)) {
    return;
  }
  Note("pause " + target);
  fleet_.control(control).Signal(SIGSTOP);
  Last(target, kLongestPause,
       [this, control] { fleet_.control(control).Signal(SIGCONT); });
}

// Only one disk may be lost at once: the one before must be made good.
void SoakNemesis::WipeControl() {
  const std::size_t control = random_() % fleet_.controls();
  const std::string target = fmt::format("control-{}", control);
  if (!AwaitWhole() || IsStruck(target)) {
    Note("the group is not whole: no disk is emptied");
    return;
  }
  Note("empty the disk of " + target);
  fleet_.control(control).Kill();
  fleet_.Wipe(control);
  fleet_.StartControl(control);
  // A loss shows only after the group has missed the machine for a while.
  WaitFor(kLongestFault);
  if (!AwaitWhole()) {
    Note("the group did not become whole again");
  }
}

void SoakNemesis::KillAllControls() {
  Note("kill all controls");
  for (std::size_t control = 0; control < fleet_.controls(); ++control) {
    // Those that are paused or killed come back by this.
    lasting_.erase(fmt::format("control-{}", control));
    fleet_.control(control).Kill();
  }
  for (std::size_t control = 0; control < fleet_.controls(); ++control) {
    fleet_.StartControl(control);
  }
}

// --- Paths between processes -------------------------------------------------

// Cuts one machine off from the control machines, both ways or one way, makes
// its connections slow, or lets them end without a sign.
void SoakNemesis::DisturbControlPaths() {
  static constexpr std::array<const char*, 4> kFaults = {
      R"("blocked": true)", R"("extra_delay_ms": 150)", R"("refused": true)",
      R"("half_open": true)"};
  static constexpr std::array<const char*, 3> kDirections = {
      R"("from": "machine:{0}", "to": "*", "both": true)",
      R"("from": "machine:{0}", "to": "*")",
      R"("from": "*", "to": "machine:{0}")"};
  const std::size_t drawn = random_() % (fleet_.controls() + fleet_.routers());
  const std::string machine =
      drawn < fleet_.controls()
          ? fmt::format("control-{}", drawn)
          : fmt::format("router-{}", drawn - fleet_.controls());
  const std::string target = "paths of " + machine;
  if (IsStruck(target)) {
    return;
  }
  const std::string direction = fmt::format(
      fmt::runtime(kDirections.at(random_() % kDirections.size())), machine);
  const std::string fault = kFaults.at(random_() % kFaults.size());
  Note("disturb the paths to control: " + direction + ", " + fault);
  control_path_faults_[machine] = "{" + direction + ", " + fault + "}";
  SetControlPathFaults();
  Last(target, kLongestPause, [this, machine] {
    control_path_faults_.erase(machine);
    SetControlPathFaults();
  });
}

void SoakNemesis::SetControlPathFaults() {
  std::string faults;
  for (const auto& [machine, fault] : control_path_faults_) {
    faults += (faults.empty() ? "" : ", ") + fault;
  }
  fleet_.paths().SetFaults(R"({"faults": [)" + faults + "]}");
}

void SoakNemesis::ResetControlPaths() {
  const std::size_t control = random_() % fleet_.controls();
  Note(fmt::format("reset the connections of control {}", control));
  fleet_.paths().Reset(control);
}

// --- Back ends ---------------------------------------------------------------

void SoakNemesis::DisturbPath() {
  const std::string target = "paths of back ends";
  if (IsStruck(target)) {
    return;
  }
  static constexpr std::array<const char*, 5> kFaults = {
      R"("blocked": true, "both": true)", R"("blocked": true)",
      R"("refused": true)", R"("half_open": true, "both": true)",
      R"("extra_delay_ms": 120, "both": true)"};
  const std::string fault = kFaults.at(random_() % kFaults.size());
  const std::size_t zone = random_() % 3;
  std::string faults;
  for (const std::string& service : SoakServices()) {
    const bool struck = random_() % 2 == 0;
    const std::string machine = fmt::format("machine:{}-{}", service, zone);
    const char* separator = faults.empty() ? "" : ", ";
    // One replica of a service at most: the others go on.
    if (struck) {
      faults += fmt::format(R"({}{{"from": "client", "to": "{}", {}}})",
                            separator, machine, fault);
    } else if (spoiling_random_() % 2 == 0) {
      faults += fmt::format(
          R"({}{{"from": "{}", "to": "client", "spoiled_share": 0.3}})",
          separator, machine);
    }
  }
  Note("disturb the paths " + faults);
  stand_ins_.SetFaults(R"({"faults": [)" + faults + "]}");
  Last(target, kLongestFault,
       [this] { stand_ins_.SetFaults(R"({"faults": []})"); });
}

void SoakNemesis::ResetPath() {
  const std::size_t backend = random_() % stand_ins_.backends();
  Note(fmt::format("reset the connections of back end {}", backend));
  stand_ins_.Change(backend, [](SoakBackend& changed) {
    changed.link().Reset(MachineSelector{});
  });
}

void SoakNemesis::SpoilAnswers() {
  static constexpr std::array<SoakAnswering, 5> kWays = {
      SoakAnswering::kSlowly, SoakAnswering::kSheds, SoakAnswering::kFails,
      SoakAnswering::kForeignId, SoakAnswering::kSilent};
  const SoakAnswering way = kWays.at(random_() % kWays.size());
  const std::size_t backend = random_() % stand_ins_.backends();
  const std::string target = fmt::format("answers of back end {}", backend);
  if (IsStruck(target)) {
    return;
  }
  Note(fmt::format("spoil the answers of back end {}, way {}", backend,
                   static_cast<int>(way)));
  stand_ins_.Change(backend,
                    [way](SoakBackend& changed) { changed.answering = way; });
  Last(target, kLongestFault, [this, backend] {
    stand_ins_.Change(backend, [](SoakBackend& changed) {
      changed.answering = SoakAnswering::kWell;
    });
  });
}

void SoakNemesis::DrainBackend() {
  const std::size_t backend = random_() % stand_ins_.backends();
  const std::string target = fmt::format("back end {}", backend);
  if (IsStruck(target)) {
    return;
  }
  Note("drain " + target);
  stand_ins_.Change(backend,
                    [](SoakBackend& changed) { changed.draining = true; });
  Last(target, kLongestFault, [this, backend] {
    stand_ins_.Change(backend,
                      [](SoakBackend& changed) { changed.draining = false; });
  });
}

void SoakNemesis::FailList() {
  const std::string target = "discovery list";
  if (IsStruck(target)) {
    return;
  }
  Note("the discovery list fails");
  stand_ins_.SetListFailing(true);
  Last(target, kLongestPause, [this] { stand_ins_.SetListFailing(false); });
}

void SoakNemesis::Heal() {
  Note("heal");
  for (auto& [target, fault] : std::exchange(lasting_, {})) {
    fault.end();
  }
}

}  // namespace juniperway::lab
