// Event history of the owners and backends of a simulated zone, and a checker
// for the guarantees of the owner tier. The checker does not use the code under
// test.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/protocol/query_generated.h"

namespace juniperway::owner::testing {

enum class EventKind {
  kSubmit,      // An owner received a subquery.
  kStart,       // The owner sent a search, which takes a slot and a connection.
  kEnd,         // The backend answered, or the connection was closed.
  kResult,      // The front received the outcome.
  kCallBegin,   // A cancel request or a probe took a connection.
  kCallEnd,     // A cancel request or a probe released its connection.
  kDrainKnown,  // A view told the owner that the backend drains.
  kDrainEnded,  // A view told the owner that the drain ended.
};

// One event of a subquery, cancel request, probe or drain at one owner and
// backend.
struct Event {
  EventKind kind = EventKind::kSubmit;
  MonotonicTime at;
  std::string owner;
  std::string backend;
  std::uint64_t id = 0;
  // Set for kSubmit only.
  MonotonicTime deadline;
  // Set for kResult only.
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kShed;
};

using History = std::vector<Event>;

struct BackendLimits {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
};

// Result of CheckHistory.
struct HistoryReport {
  // Contains one text for each violation of a guarantee.
  std::vector<std::string> violations;
  std::uint64_t starts = 0;
  std::uint64_t results = 0;
  // Number of searches whose owner is not the one that started the previous
  // search at the same backend.
  std::uint64_t starts_after_owner_change = 0;
  std::uint64_t starts_with_all_slots_taken = 0;
  std::map<protocol::SubqueryOutcome, std::uint64_t> outcomes;
};

// Checks that
//  - all owners together never exceed a backend's slots and connections;
//  - no search starts after its owner knows of a drain, at or after the
//    deadline, or while a subquery with less remaining time stays queued;
//  - each subquery has exactly one result;
//  - a started search has no result that means "not run", except kShed and
//    kDraining, which the backend itself may answer.
HistoryReport CheckHistory(const History& history,
                           const std::map<std::string, BackendLimits>& limits);

}  // namespace juniperway::owner::testing
