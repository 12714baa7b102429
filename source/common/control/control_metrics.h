// What a control machine tells of itself, as Prometheus metrics.
// Page: docs/operations/metrics.md.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <map>

#include "common/base/time.h"
#include "common/control/discovery_page.h"
#include "common/raft/fsm.h"

namespace juniperway::control {

class ControlMetrics {
 public:
  explicit ControlMetrics(prometheus::Registry& registry);

  // @param list_age since the discovery list was read whole by this machine;
  // negative: never.
  void Update(const raft::Status& status, std::uint64_t revision,
              std::uint64_t table_version, std::size_t sessions,
              Duration list_age);

  // Entries of one reading of the discovery list that cannot be used.
  void OnDiscoveryFaults(const EntryFaults& faults);

 private:
  prometheus::Gauge& leading_;
  prometheus::Gauge& leader_known_;
  prometheus::Gauge& term_;
  prometheus::Gauge& commit_;
  prometheus::Gauge& applied_;
  prometheus::Gauge& revision_;
  prometheus::Gauge& table_version_;
  prometheus::Gauge& sessions_;
  prometheus::Gauge& list_age_;
  std::map<EntryFault, prometheus::Counter*> discovery_faults_;
};

}  // namespace juniperway::control
