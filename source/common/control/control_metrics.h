// The Prometheus metrics of a control node.
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
#include "common/control/order_sender.h"
#include "common/raft/fsm.h"

namespace juniperway::control {

// Owned by ControlNode; the registry owns the metrics and must outlive the
// object.
class ControlMetrics {
 public:
  explicit ControlMetrics(prometheus::Registry& registry);

  // Sets the gauges.
  // @param list_age time since this node last read every page of the discovery
  // list; a negative time means that the node has not read it yet.
  void Update(const raft::Status& status, std::uint64_t revision,
              std::uint64_t table_version, std::size_t sessions,
              Duration list_age);

  // Counts the faulty entries of one reading of the discovery list.
  void OnDiscoveryFaults(const EntryFaults& faults);

  // Counts an operator's order that was not carried out.
  void OnOrderDropped(OrderDropReason reason);

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
  std::map<OrderDropReason, prometheus::Counter*> dropped_orders_;
};

}  // namespace juniperway::control
