// The front's Prometheus metrics. Names and labels: docs/operations/queries.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/time.h"
#include "common/routing/front_state.h"
#include "common/routing/query_types.h"

namespace juniperway::gateway {

class FrontMetrics {
 public:
  // The registry must outlive the metrics.
  explicit FrontMetrics(prometheus::Registry& registry);

  // A query of a known service ended after `elapsed`.
  void OnOutcome(const std::string& service,
                 const routing::QueryOutcome& outcome, Duration elapsed);
  // A request was refused before it became a query.
  void OnRefusedAtEntry(const routing::Refusal& refusal);

  // Brings the totals that are kept elsewhere up to date, before a scrape.
  void Update(const routing::FrontCounters& counters, std::size_t running,
              std::size_t connected_peers, std::uint64_t peer_sent_bytes,
              std::uint64_t peer_received_bytes);

 private:
  // Mirrors a total that another module keeps.
  struct MirroredTotal {
    prometheus::Counter* counter = nullptr;
    std::uint64_t seen = 0;
    void Set(std::uint64_t total);
  };

  void CountRefusal(const routing::Refusal& refusal);

  prometheus::Family<prometheus::Counter>& queries_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Histogram>& seconds_;
  prometheus::Gauge& running_;
  prometheus::Gauge& peers_;
  MirroredTotal first_subqueries_;
  MirroredTotal hedges_;
  MirroredTotal retries_;
  MirroredTotal reroutes_;
  MirroredTotal restarted_subqueries_;
  MirroredTotal restarts_;
  MirroredTotal budget_refusals_;
  MirroredTotal admission_refusals_;
  MirroredTotal late_results_;
  MirroredTotal duplicate_results_;
  MirroredTotal foreign_results_;
  MirroredTotal out_of_range_rows_;
  MirroredTotal peer_sent_bytes_;
  MirroredTotal peer_received_bytes_;
};

}  // namespace juniperway::gateway
