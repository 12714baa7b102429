// What happened at the owners and back ends of a simulated zone, and a checker
// of the owner tier's promises over it. The checker knows nothing of the code
// under test.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/protocol/query_generated.h"

namespace juniperway::owner::testing {

enum class EventKind {
  kSubmit,      // An owner was given a subquery.
  kStart,       // It was sent to the back end: takes a slot, a connection.
  kEnd,         // The back end answered it or its connection was closed.
  kResult,      // The front got its outcome.
  kCallBegin,   // A cancel or a probe took a connection.
  kCallEnd,     // ... and gave it back.
  kDrainKnown,  // The owner learned that the back end drains.
  kDrainEnded,
};

struct Event {
  EventKind kind = EventKind::kSubmit;
  MonotonicTime at;
  std::string owner;
  std::string backend;
  std::uint64_t id = 0;
  // kSubmit.
  MonotonicTime deadline;
  // kResult.
  protocol::SubqueryOutcome outcome = protocol::SubqueryOutcome::kShed;
};

using History = std::vector<Event>;

struct BackendLimits {
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
};

struct HistoryReport {
  // Each broken promise, once an occurrence.
  std::vector<std::string> violations;
  std::uint64_t starts = 0;
  std::uint64_t results = 0;
  // Starts by the owner that came second, third, ... at some back end.
  std::uint64_t starts_after_hand_over = 0;
  std::uint64_t starts_with_all_slots_taken = 0;
  std::map<protocol::SubqueryOutcome, std::uint64_t> outcomes;
};

// Checks: slots and connections are never exceeded, over all owners together;
// no start after a drain is known, at or after the deadline, or before a
// subquery that waits with less time left; exactly one result a subquery; a
// result that says not run only for what was never started.
HistoryReport CheckHistory(const History& history,
                           const std::map<std::string, BackendLimits>& limits);

}  // namespace juniperway::owner::testing
