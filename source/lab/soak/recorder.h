// Collects a soak's history from several threads.
#pragma once

#include <mutex>
#include <utility>

#include "lab/soak/history.h"

namespace juniperway::lab {

class SoakRecorder {
 public:
  void Add(SoakExchange exchange) {
    const std::lock_guard lock(mutex_);
    history_.exchanges.push_back(std::move(exchange));
  }
  void Add(SoakRun run) {
    const std::lock_guard lock(mutex_);
    history_.runs.push_back(std::move(run));
  }
  void Add(SoakRead read) {
    const std::lock_guard lock(mutex_);
    history_.reads.push_back(std::move(read));
  }
  void Add(SoakZonesRead read) {
    const std::lock_guard lock(mutex_);
    history_.zones_reads.push_back(std::move(read));
  }
  void Add(SoakQuietTime quiet) {
    const std::lock_guard lock(mutex_);
    history_.quiet_times.push_back(std::move(quiet));
  }
  // Before it is sent. @return its place, for AcknowledgeZoneOrder.
  std::size_t Add(SoakZoneOrder order) {
    const std::lock_guard lock(mutex_);
    history_.zone_orders.push_back(std::move(order));
    return history_.zone_orders.size() - 1;
  }
  void AcknowledgeZoneOrder(std::size_t order, MonotonicTime now) {
    const std::lock_guard lock(mutex_);
    history_.zone_orders.at(order).acknowledged = now;
  }
  // Before it is sent: it may be in force from then on.
  // @return its place, for Acknowledge.
  std::size_t Add(SoakWrite write) {
    const std::lock_guard lock(mutex_);
    history_.writes.push_back(std::move(write));
    return history_.writes.size() - 1;
  }
  void Acknowledge(std::size_t write, MonotonicTime now) {
    const std::lock_guard lock(mutex_);
    history_.writes.at(write).acknowledged = now;
  }

  SoakHistory Take() {
    const std::lock_guard lock(mutex_);
    return std::exchange(history_, {});
  }

 private:
  std::mutex mutex_;
  SoakHistory history_;
};

}  // namespace juniperway::lab
