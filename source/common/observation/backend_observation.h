// What routers tell each other of single back ends, through the control
// machines: how many routers had attempts fail there of late, and how many had
// answers. Soft state outside consensus: an observation that is lost, late or
// old costs an attempt, never an answer.
//
// A router of a large fleet asks one back end too rarely to know it: at 985
// routers, 42 replicas a shard and a scatter in 17 s a router, once in 12
// minutes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace juniperway::observation {

// Names one run of a back end's process in 4 bytes. Among 27,000 back ends 0.08
// pairs share a name on average; what is told of one then counts for both.
using BackendHash = std::uint32_t;

// @param incarnation see session::IncarnationName.
BackendHash HashOf(const std::string& incarnation);

// Since the last observation from the same sender; counts end at 255.
struct BackendObservation {
  BackendHash backend = 0;
  // Routers that had an attempt fail there.
  std::uint8_t failed = 0;
  // Routers that had an answer from there.
  std::uint8_t answered = 0;

  bool operator==(const BackendObservation&) const = default;
};

using BackendObservations = std::vector<BackendObservation>;

// Of one message: 1.2 KB.
inline constexpr std::size_t kMostEntries = 200;

// Adds what `more` counts of the same back end.
void Merge(BackendObservation& into, const BackendObservation& more);

}  // namespace juniperway::observation
