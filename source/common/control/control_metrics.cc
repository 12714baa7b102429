#include "common/control/control_metrics.h"

#include <chrono>
#include <string>

namespace juniperway::control {
namespace {

prometheus::Gauge& AddGauge(prometheus::Registry& registry,
                            const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(
      {});
}

}  // namespace

ControlMetrics::ControlMetrics(prometheus::Registry& registry)
    : leading_(AddGauge(registry, "juniperway_control_leading",
                        "1 while this machine leads")),
      leader_known_(AddGauge(registry, "juniperway_control_leader_known",
                             "1 while a leader is known")),
      term_(AddGauge(registry, "juniperway_control_term", "Consensus term")),
      commit_(AddGauge(registry, "juniperway_control_commit_index",
                       "Last entry known to be committed")),
      applied_(AddGauge(registry, "juniperway_control_applied_index",
                        "Last entry applied to the state")),
      revision_(AddGauge(registry, "juniperway_control_revision",
                         "Revision of the state held here")),
      table_version_(AddGauge(registry, "juniperway_control_table_version",
                              "Version of the route table held here")),
      sessions_(AddGauge(registry, "juniperway_control_sessions",
                         "Daemons with a session here")),
      list_age_(AddGauge(registry, "juniperway_control_list_age_seconds",
                         "Since the discovery list was read whole here")) {
  auto& faults =
      prometheus::BuildCounter()
          .Name("juniperway_control_discovery_entry_faults_total")
          .Help("Entries of the discovery list that cannot be used, by reason")
          .Register(registry);
  for (const EntryFault fault : kEntryFaults) {
    discovery_faults_[fault] = &faults.Add({{"reason", NameOf(fault)}});
  }
  auto& dropped =
      prometheus::BuildCounter()
          .Name("juniperway_control_orders_dropped_total")
          .Help("Orders of operators that were not carried out, by reason")
          .Register(registry);
  for (const OrderDropReason reason : kOrderDropReasons) {
    dropped_orders_[reason] =
        &dropped.Add({{"reason", std::string(NameOf(reason))}});
  }
}

void ControlMetrics::OnOrderDropped(OrderDropReason reason) {
  dropped_orders_.at(reason)->Increment();
}

void ControlMetrics::OnDiscoveryFaults(const EntryFaults& faults) {
  for (const auto& [fault, entries] : faults) {
    discovery_faults_.at(fault)->Increment(static_cast<double>(entries));
  }
}

void ControlMetrics::Update(const raft::Status& status, std::uint64_t revision,
                            std::uint64_t table_version, std::size_t sessions,
                            Duration list_age) {
  leading_.Set(status.role == raft::Role::kLeader ? 1 : 0);
  leader_known_.Set(status.leader == raft::kNoNode ? 0 : 1);
  term_.Set(static_cast<double>(status.term));
  commit_.Set(static_cast<double>(status.commit));
  applied_.Set(static_cast<double>(status.applied));
  revision_.Set(static_cast<double>(revision));
  table_version_.Set(static_cast<double>(table_version));
  sessions_.Set(static_cast<double>(sessions));
  list_age_.Set(std::chrono::duration<double>(list_age).count());
}

}  // namespace juniperway::control
