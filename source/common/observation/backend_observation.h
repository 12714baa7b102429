// Observations that routers report to each other about single backends, through
// the control nodes: how many routers had attempts fail at the backend, and how
// many got answers from it. Plain values without I/O. Observations are soft
// state outside consensus: a lost, late or outdated one may cost an extra
// attempt, but never an answer.
//
// A router of a large fleet sends too few requests to each backend to know the
// backend's state by itself. With 985 routers, 42 replicas per shard and a
// scatter query every 17 s per router, a router sends each backend one request
// in 12 minutes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace juniperway::observation {

// Identifies one run of a backend's process in 4 bytes. Among 27,000 backends
// 0.08 pairs have equal hashes on average; observations of one backend of such
// a pair count for both.
using BackendHash = std::uint32_t;

// Returns the hash of a backend's process.
// @param incarnation see session::IncarnationName.
BackendHash HashOf(const std::string& incarnation);

// Counts since the previous observation from the same sender. Counts saturate
// at 255.
struct BackendObservation {
  BackendHash backend = 0;
  // Number of routers that had an attempt fail at the backend.
  std::uint8_t failed = 0;
  // Number of routers that got an answer from the backend.
  std::uint8_t answered = 0;

  bool operator==(const BackendObservation&) const = default;
};

using BackendObservations = std::vector<BackendObservation>;

// Maximum number of observations in one message, which is then 1.2 KB long.
inline constexpr std::size_t kMaximumDigestEntries = 200;

// Adds the counts of `more`, an observation of the same backend, to `into`.
void AddCounts(BackendObservation& into, const BackendObservation& more);

}  // namespace juniperway::observation
