// Checks that need the whole recorded history of a run: refusals and claims
// against the ledgers, drains, planned stops, configuration and limits. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/resources/resource.h"
#include "lab/backend/ledger.h"
#include "lab/caller/history.h"
#include "lab/promises/report.h"

namespace juniperway::lab {

using LedgerByRequest = std::map<std::string, std::vector<LedgerEntry>>;

// Entries by request id, each list by time.
LedgerByRequest GroupByRequest(const std::vector<LedgerEntry>& ledger);

// A refusal that says "not-run" has no entry in any ledger, and every refusal
// states one of the three execution states.
void CheckRefusals(const std::vector<QueryRecord>& history,
                   const LedgerByRequest& ledger, PromiseReport& report);

// No part of the key space was begun twice for one non-repeatable query.
void CheckAtMostOnce(const std::vector<QueryRecord>& history,
                     const LedgerByRequest& ledger, PromiseReport& report);

// At each gateway, a query sent after another one's answer has its snapshot or
// a newer one.
void CheckSnapshotOrder(const std::vector<QueryRecord>& history,
                        PromiseReport& report);

// A back end that is leaving.
struct DrainRecord {
  std::string backend;
  // When it began to leave, or when its drain was said to be in force.
  MonotonicTime since;
  // New work is still allowed for this long.
  Duration grace;
  // When it came back.
  std::optional<MonotonicTime> until;
};

void CheckDrains(const std::vector<DrainRecord>& drains,
                 const std::vector<LedgerEntry>& ledger, PromiseReport& report);

// A daemon that was asked to stop (SIGTERM).
struct StopRecord {
  std::string gateway;
  MonotonicTime signalled;
  MonotonicTime exited;
  int exit_status = 0;
  // Connections that it no longer took: what was sent on them never reached it.
  std::uint64_t refused_connections = 0;
};

// Every exchange that reached a stopping gateway was answered: no more are
// without an answer than connections were refused.
void CheckPlannedStops(const std::vector<StopRecord>& stops,
                       const std::vector<QueryRecord>& history,
                       PromiseReport& report);

// An accepted change.
struct ChangeRecord {
  std::string change_id;
  resources::Revision revision = 0;
  MonotonicTime accepted;
  // When control said that it is in force; nothing if it did not in time.
  std::optional<MonotonicTime> in_force;
};

// Changes came into force, and no answer with a confirmed configuration was
// given from an older one afterwards.
void CheckInForce(const std::vector<ChangeRecord>& changes,
                  const std::vector<QueryRecord>& history,
                  PromiseReport& report);

// A gateway's revision as it showed it (GET /v1/view).
struct RevisionRecord {
  std::string gateway;
  MonotonicTime time;
  resources::Revision revision = 0;
};

// Revisions at each gateway never fall.
void CheckRevisions(const std::vector<RevisionRecord>& observations,
                    PromiseReport& report);

// What a back end counted.
struct LimitRecord {
  std::string backend;
  std::uint64_t arrived = 0;
  std::uint64_t arrived_over_slots = 0;
  std::uint32_t peak_connections = 0;
  std::uint32_t maximum_connections = 0;
};

void CheckLimits(const std::vector<LimitRecord>& limits, PromiseReport& report);

}  // namespace juniperway::lab
