// Draws faults of a soak from a seed and brings them about, from outside the
// processes: signals, emptied disks, the network between processes and to back
// ends, and back ends' answers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/callers.h"
#include "lab/soak/fleet.h"
#include "lab/soak/stand_ins.h"

namespace juniperway::lab {

class SoakNemesis {
 public:
  SoakNemesis(SoakFleet& fleet, SoakStandIns& stand_ins, SoakShared& shared,
              std::uint64_t seed);

  // One fault, from its beginning to its end.
  void Strike();
  // Ends all faults of back ends and their paths.
  void Heal();

  // What was done, in order: "12.3 s: …".
  const std::vector<std::string>& log() const { return log_; }

 private:
  void KillRouter();
  void StopRouter();
  void PauseRouter();
  void KillControl();
  void PauseControl();
  void WipeControl();
  void KillAllControls();
  void DisturbPath();
  void ResetPath();
  void DisturbControlPaths();
  void ResetControlPaths();
  void SpoilAnswers();
  void DrainBackend();
  void FailList();

  void Note(const std::string& what);
  // A random time within these bounds.
  Duration Draw(Duration least, Duration most);
  void Wait(Duration least, Duration most);
  // Ends a router by `end` and starts it again, as another life.
  void RestartRouter(std::size_t router, const std::function<void()>& end);

  SoakFleet& fleet_;
  SoakStandIns& stand_ins_;
  SoakShared& shared_;
  std::mt19937_64 random_;
  MonotonicTime began_;
  std::vector<std::string> log_;
};

}  // namespace juniperway::lab
