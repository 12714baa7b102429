// Where machines are and what is wrong between them: decides the quality of the
// path from one machine to another. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"

namespace juniperway::lab {

struct ProxiedMachine {
  std::string name;
  // Its own loopback address, from which its connections come.
  std::string address;
  std::string zone;
  std::string region;
};

// One-way delays by distance.
struct PathDelays {
  Duration same_zone = milliseconds(0);
  Duration same_region = milliseconds(1);
  Duration other_region = milliseconds(12);
  // Between a caller (any address that is no machine's) and a machine.
  Duration client = milliseconds(3);
  // Each delay is lengthened by a random share of up to this much.
  double jitter = 0.1;
};

// "*", "machine:<name>", "zone:<name>", "region:<name>" or "client".
struct MachineSelector {
  enum class Kind { kAny, kMachine, kZone, kRegion, kClient };
  Kind kind = Kind::kAny;
  std::string name;
};

struct Fault {
  MachineSelector from;
  MachineSelector to;
  // Nothing passes, without a sign of it; what was sent passes once the fault
  // is gone, as with TCP's own retransmission.
  bool blocked = false;
  // New connections are reset.
  bool refused = false;
  // The end of a connection is not passed on.
  bool half_open = false;
  Duration extra_delay = milliseconds(0);
  // Slow drip; 0: no bound.
  std::uint64_t bytes_per_second = 0;
  // Share of the messages that are cut off, started again or doubled.
  double spoiled_share = 0;
};

// What holds for bytes from one machine to another.
struct PathQuality {
  Duration delay = Duration(0);
  double jitter = 0;
  bool blocked = false;
  bool refused = false;
  bool half_open = false;
  std::uint64_t bytes_per_second = 0;
  double spoiled_share = 0;
};

// The machine name that stands for callers.
inline constexpr std::string_view kClientMachine;

class Topology {
 public:
  // {"delays":{…},"machines":[…]}; replaces what was there before.
  Result<void> SetMachines(const nlohmann::json& json);
  // {"faults":[…]}; replaces what was there before. A fault with "both" counts
  // in both directions.
  Result<void> SetFaults(const nlohmann::json& json);

  // Name of the machine with this address, or kClientMachine.
  std::string MachineAt(const std::string& address) const;

  PathQuality Quality(const std::string& from, const std::string& to) const;
  bool Matches(const MachineSelector& selector,
               const std::string& machine) const;

 private:
  Duration BaseDelay(const std::string& from, const std::string& to) const;

  PathDelays delays_;
  std::map<std::string, ProxiedMachine> machines_;
  std::map<std::string, std::string> machine_by_address_;
  std::vector<Fault> faults_;
};

Result<MachineSelector> ParseSelector(const std::string& text);

}  // namespace juniperway::lab
