#include "lab/soak/nemesis.h"

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <thread>

#include "lab/wait.h"

namespace juniperway::lab {
namespace {

constexpr Duration kShortest = milliseconds(50);
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

void SoakNemesis::Wait(Duration least, Duration most) {
  std::this_thread::sleep_for(Draw(least, most));
}

// --- Processes ---------------------------------------------------------------

void SoakNemesis::RestartRouter(std::size_t router,
                                const std::function<void()>& end) {
  ++shared_.router_lives.at(router);
  end();
  Wait(kShortest, kLongestFault);
  fleet_.StartRouter(router);
  ++shared_.router_lives.at(router);
}

void SoakNemesis::KillRouter() {
  const std::size_t router = random_() % fleet_.routers();
  Note(fmt::format("kill router {}", router));
  RestartRouter(router, [&] { fleet_.router(router).Kill(); });
}

void SoakNemesis::StopRouter() {
  const std::size_t router = random_() % fleet_.routers();
  Note(fmt::format("stop router {}", router));
  RestartRouter(router, [&] {
    fleet_.router(router).Signal(SIGTERM);
    const auto status = fleet_.router(router).Wait(kStopLimit);
    Note(fmt::format("router {} ended with {}", router, status.value_or(-1)));
  });
}

void SoakNemesis::PauseRouter() {
  const std::size_t router = random_() % fleet_.routers();
  Note(fmt::format("pause router {}", router));
  fleet_.router(router).Signal(SIGSTOP);
  Wait(kShortest, kLongestPause);
  fleet_.router(router).Signal(SIGCONT);
}

void SoakNemesis::KillControl() {
  const std::size_t control = random_() % fleet_.controls();
  Note(fmt::format("kill control {}", control));
  fleet_.control(control).Kill();
  Wait(kShortest, kLongestFault);
  fleet_.StartControl(control);
}

void SoakNemesis::PauseControl() {
  const std::size_t control = random_() % fleet_.controls();
  Note(fmt::format("pause control {}", control));
  fleet_.control(control).Signal(SIGSTOP);
  Wait(kShortest, kLongestPause);
  fleet_.control(control).Signal(SIGCONT);
}

// Only one disk may be lost at once: the one before must be made good.
void SoakNemesis::WipeControl() {
  const std::size_t control = random_() % fleet_.controls();
  if (!WaitFor(kRepairLimit, [&] { return fleet_.IsWhole(); })) {
    Note("the group is not whole: no disk is emptied");
    return;
  }
  Note(fmt::format("empty the disk of control {}", control));
  fleet_.control(control).Kill();
  fleet_.Wipe(control);
  fleet_.StartControl(control);
  // A loss shows only after the group has missed the machine for a while.
  std::this_thread::sleep_for(kLongestFault);
  if (!WaitFor(kRepairLimit, [&] { return fleet_.IsWhole(); })) {
    Note("the group did not become whole again");
  }
}

void SoakNemesis::KillAllControls() {
  Note("kill all controls");
  for (std::size_t control = 0; control < fleet_.controls(); ++control) {
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
  const std::string direction = fmt::format(
      fmt::runtime(kDirections.at(random_() % kDirections.size())), machine);
  const std::string fault = kFaults.at(random_() % kFaults.size());
  Note("disturb the paths to control: " + direction + ", " + fault);
  fleet_.paths().SetFaults(R"({"faults": [{)" + direction + ", " + fault +
                           "}]}");
  Wait(kShortest, kLongestPause);
  fleet_.paths().SetFaults(R"({"faults": []})");
}

void SoakNemesis::ResetControlPaths() {
  const std::size_t control = random_() % fleet_.controls();
  Note(fmt::format("reset the connections of control {}", control));
  fleet_.paths().Reset(control);
  Wait(kShortest, kShortest);
}

// --- Back ends ---------------------------------------------------------------

void SoakNemesis::DisturbPath() {
  static constexpr std::array<const char*, 5> kFaults = {
      R"("blocked": true, "both": true)", R"("blocked": true)",
      R"("refused": true)", R"("half_open": true, "both": true)",
      R"("extra_delay_ms": 120, "both": true)"};
  const std::string fault = kFaults.at(random_() % kFaults.size());
  const std::size_t zone = random_() % 3;
  std::string faults;
  for (const std::string& service : SoakServices()) {
    const bool struck = random_() % 2 == 0;
    // One replica of a service at most: the others go on.
    if (struck) {
      faults +=
          fmt::format(R"({}{{"from": "client", "to": "machine:{}-{}", {}}})",
                      faults.empty() ? "" : ", ", service, zone, fault);
    }
  }
  Note("disturb the paths " + faults);
  stand_ins_.SetFaults(R"({"faults": [)" + faults + "]}");
  Wait(kShortest, kLongestFault);
  stand_ins_.SetFaults(R"({"faults": []})");
}

void SoakNemesis::ResetPath() {
  const std::size_t backend = random_() % stand_ins_.backends();
  Note(fmt::format("reset the connections of back end {}", backend));
  stand_ins_.Change(backend, [](SoakBackend& changed) {
    changed.link().Reset(MachineSelector{});
  });
  Wait(kShortest, kShortest);
}

void SoakNemesis::SpoilAnswers() {
  static constexpr std::array<SoakAnswering, 5> kWays = {
      SoakAnswering::kSlowly, SoakAnswering::kSheds, SoakAnswering::kFails,
      SoakAnswering::kForeignId, SoakAnswering::kSilent};
  const SoakAnswering way = kWays.at(random_() % kWays.size());
  const std::size_t backend = random_() % stand_ins_.backends();
  Note(fmt::format("spoil the answers of back end {}, way {}", backend,
                   static_cast<int>(way)));
  stand_ins_.Change(backend,
                    [way](SoakBackend& changed) { changed.answering = way; });
  Wait(kShortest, kLongestFault);
  stand_ins_.Change(backend, [](SoakBackend& changed) {
    changed.answering = SoakAnswering::kWell;
  });
}

void SoakNemesis::DrainBackend() {
  const std::size_t backend = random_() % stand_ins_.backends();
  Note(fmt::format("drain back end {}", backend));
  stand_ins_.Change(backend,
                    [](SoakBackend& changed) { changed.draining = true; });
  Wait(kShortest, kLongestFault);
  stand_ins_.Change(backend,
                    [](SoakBackend& changed) { changed.draining = false; });
}

void SoakNemesis::FailList() {
  Note("the discovery list fails");
  stand_ins_.SetListFailing(true);
  Wait(kShortest, kLongestPause);
  stand_ins_.SetListFailing(false);
}

void SoakNemesis::Heal() {
  Note("heal");
  stand_ins_.SetFaults(R"({"faults": []})");
  stand_ins_.SetListFailing(false);
  fleet_.paths().SetFaults(R"({"faults": []})");
  for (std::size_t backend = 0; backend < stand_ins_.backends(); ++backend) {
    stand_ins_.Change(backend, [](SoakBackend& changed) {
      changed.answering = SoakAnswering::kWell;
      changed.draining = false;
    });
  }
}

}  // namespace juniperway::lab
