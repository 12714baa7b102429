#include "lab/proxy/topology.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "lab/json_reader.h"

namespace juniperway::lab {
namespace {

Result<ProxiedMachine> ParseMachine(const nlohmann::json& json) {
  ProxiedMachine machine;
  JsonReader reader(json, "machine.");
  reader.Required("name", machine.name)
      .Required("address", machine.address)
      .Required("zone", machine.zone)
      .Required("region", machine.region);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return machine;
}

Result<PathDelays> ParseDelays(const nlohmann::json& json) {
  PathDelays delays;
  JsonReader reader(json, "delays.");
  reader.Milliseconds("same_zone_ms", delays.same_zone)
      .Milliseconds("same_region_ms", delays.same_region)
      .Milliseconds("other_region_ms", delays.other_region)
      .Milliseconds("client_ms", delays.client)
      .Optional("jitter", delays.jitter);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  return delays;
}

// @param both is set when the fault counts in both directions.
Result<Fault> ParseFault(const nlohmann::json& json, bool& both) {
  Fault fault;
  std::string from = "*";
  std::string to = "*";
  JsonReader reader(json, "fault.");
  reader.Optional("from", from)
      .Optional("to", to)
      .Optional("both", both)
      .Optional("blocked", fault.blocked)
      .Optional("refused", fault.refused)
      .Optional("half_open", fault.half_open)
      .Milliseconds("extra_delay_ms", fault.extra_delay)
      .Optional("bytes_per_second", fault.bytes_per_second)
      .Optional("spoiled_share", fault.spoiled_share);
  if (Result<void> finished = reader.Finish(); !finished) {
    return tl::unexpected<Error>(finished.error());
  }
  const Result<MachineSelector> from_selector = ParseSelector(from);
  const Result<MachineSelector> to_selector = ParseSelector(to);
  if (!from_selector || !to_selector) {
    return tl::unexpected<Error>(
        (from_selector ? to_selector : from_selector).error());
  }
  fault.from = *from_selector;
  fault.to = *to_selector;
  return fault;
}

void AddFault(const Fault& fault, PathQuality& quality) {
  quality.delay += fault.extra_delay;
  quality.blocked = quality.blocked || fault.blocked;
  quality.refused = quality.refused || fault.refused;
  quality.half_open = quality.half_open || fault.half_open;
  quality.spoiled_share = std::max(quality.spoiled_share, fault.spoiled_share);
  if (fault.bytes_per_second != 0) {
    quality.bytes_per_second =
        quality.bytes_per_second == 0
            ? fault.bytes_per_second
            : std::min(quality.bytes_per_second, fault.bytes_per_second);
  }
}

}  // namespace

Result<MachineSelector> ParseSelector(const std::string& text) {
  using Kind = MachineSelector::Kind;
  if (text == "*") {
    return MachineSelector{Kind::kAny, ""};
  }
  if (text == "client") {
    return MachineSelector{Kind::kClient, ""};
  }
  static const std::map<std::string, Kind> kinds = {{"machine", Kind::kMachine},
                                                    {"zone", Kind::kZone},
                                                    {"region", Kind::kRegion}};
  const std::size_t colon = text.find(':');
  const auto kind = kinds.find(text.substr(0, colon));
  if (colon == std::string::npos || kind == kinds.end()) {
    return MakeError(ErrorCode::kInvalidArgument, "fault.from/to",
                     "must be *, client, machine:…, zone:… or region:…");
  }
  return MachineSelector{kind->second, text.substr(colon + 1)};
}

Result<void> Topology::SetMachines(const nlohmann::json& json) {
  JsonReader reader(json);
  const nlohmann::json delays_json = reader.Member("delays");
  const nlohmann::json machines_json = reader.Member("machines");
  if (Result<void> finished = reader.Finish(); !finished) {
    return finished;
  }
  const Result<PathDelays> delays = ParseDelays(
      delays_json.is_null() ? nlohmann::json::object() : delays_json);
  if (!delays) {
    return tl::unexpected<Error>(delays.error());
  }
  std::map<std::string, ProxiedMachine> machines;
  std::map<std::string, std::string> by_address;
  for (const nlohmann::json& item : machines_json) {
    const Result<ProxiedMachine> machine = ParseMachine(item);
    if (!machine) {
      return tl::unexpected<Error>(machine.error());
    }
    machines[machine->name] = *machine;
    by_address[machine->address] = machine->name;
  }
  delays_ = *delays;
  machines_ = std::move(machines);
  machine_by_address_ = std::move(by_address);
  return {};
}

Result<void> Topology::SetFaults(const nlohmann::json& json) {
  JsonReader reader(json);
  const nlohmann::json items = reader.Member("faults");
  if (Result<void> finished = reader.Finish(); !finished) {
    return finished;
  }
  std::vector<Fault> faults;
  for (const nlohmann::json& item : items) {
    bool both = false;
    const Result<Fault> fault = ParseFault(item, both);
    if (!fault) {
      return tl::unexpected<Error>(fault.error());
    }
    faults.push_back(*fault);
    if (both) {
      Fault reverse = *fault;
      std::swap(reverse.from, reverse.to);
      faults.push_back(reverse);
    }
  }
  faults_ = std::move(faults);
  return {};
}

std::string Topology::MachineAt(const std::string& address) const {
  const auto found = machine_by_address_.find(address);
  return found == machine_by_address_.end() ? std::string(kClientMachine)
                                            : found->second;
}

PathQuality Topology::Quality(const std::string& from,
                              const std::string& to) const {
  PathQuality quality;
  quality.delay = BaseDelay(from, to);
  quality.jitter = delays_.jitter;
  for (const Fault& fault : faults_) {
    if (Matches(fault.from, from) && Matches(fault.to, to)) {
      AddFault(fault, quality);
    }
  }
  return quality;
}

bool Topology::Matches(const MachineSelector& selector,
                       const std::string& machine) const {
  using Kind = MachineSelector::Kind;
  const auto found = machines_.find(machine);
  const bool known = found != machines_.end();
  switch (selector.kind) {
    case Kind::kAny:
      return true;
    case Kind::kClient:
      return machine == kClientMachine;
    case Kind::kMachine:
      return machine == selector.name;
    case Kind::kZone:
      return known && found->second.zone == selector.name;
    case Kind::kRegion:
      return known && found->second.region == selector.name;
  }
  return false;
}

Duration Topology::BaseDelay(const std::string& from,
                             const std::string& to) const {
  const auto first = machines_.find(from);
  const auto second = machines_.find(to);
  if (first == machines_.end() || second == machines_.end()) {
    return delays_.client;
  }
  if (first->second.region != second->second.region) {
    return delays_.other_region;
  }
  return first->second.zone == second->second.zone ? delays_.same_zone
                                                   : delays_.same_region;
}

}  // namespace juniperway::lab
