// Draws faults of a soak from a seed and brings them about, from outside the
// processes: signals, emptied disks, the network between processes and to back
// ends, and back ends' answers. Faults overlap: the next one begins while
// earlier ones last, but for those that strike the same thing.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
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

  // Begins one fault, and ends earlier ones until the next may begin.
  void Strike();
  // Ends all faults.
  void Heal();

  // What was done, in order: "12.3 s: …".
  const std::vector<std::string>& log() const { return log_; }

 private:
  // A fault under way.
  struct Lasting {
    MonotonicTime until;
    std::function<void()> end;
  };

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
  // Whether a fault of this target is under way.
  bool IsStruck(const std::string& target) const {
    return lasting_.contains(target);
  }
  // Calls `end` after a random time up to `longest`.
  void Last(const std::string& target, Duration longest,
            std::function<void()> end);
  void EndDue();
  void WaitFor(Duration time);
  // Waits until the control group is whole, while faults go on ending.
  bool AwaitWhole();
  // Sets the faults of all disturbed control paths.
  void SetControlPathFaults();

  SoakFleet& fleet_;
  SoakStandIns& stand_ins_;
  SoakShared& shared_;
  std::mt19937_64 random_;
  // Its draws leave those of random_, and so the faults of a seed, as they are.
  std::mt19937_64 spoiling_random_;
  MonotonicTime began_;
  // By target: "router-0", "control-1".
  std::map<std::string, Lasting> lasting_;
  // By machine, as JSON.
  std::map<std::string, std::string> control_path_faults_;
  std::vector<std::string> log_;
};

}  // namespace juniperway::lab
