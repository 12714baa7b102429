// Figures of a run: latency, coverage, extra load, refusals.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "lab/backend/ledger.h"
#include "lab/caller/history.h"

namespace juniperway::lab {

struct Summary {
  std::uint64_t queries = 0;
  std::uint64_t answered = 0;
  std::uint64_t partial = 0;
  std::uint64_t unanswered = 0;
  // Attempts refused, by what the refusal stated.
  std::uint64_t refused_not_run = 0;
  std::uint64_t refused_may_have_run = 0;
  std::uint64_t refused_ran = 0;
  // Attempts without an answer.
  std::uint64_t lost = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t not_connected = 0;
  // Of answered queries, from the due time.
  Duration p50 = Duration(0);
  Duration p99 = Duration(0);
  Duration p999 = Duration(0);
  // Mean share of the asked range that answers covered.
  double coverage = 0;
  // Begun subqueries beyond one for each partition of each query, as a share
  // of those.
  double extra_load = 0;
  // Ranges missing in answers by reason, and refusals by error code and field
  // of what the caller was told.
  std::map<std::string, std::uint64_t> missing;
  std::map<std::string, std::uint64_t> refusals;
  // The queries that took longest, for people.
  std::vector<std::string> slowest;
  // Time until a refusal, p99.
  Duration refusal_p99 = Duration(0);
};

// The value below which the share `quantile` of the values lies.
Duration Quantile(std::vector<Duration> values, double quantile);

// @param ledger may be empty: extra_load is then 0.
Summary Summarize(const std::vector<QueryRecord>& history,
                  const std::vector<LedgerEntry>& ledger);

nlohmann::json SummaryToJson(const Summary& summary);

}  // namespace juniperway::lab
