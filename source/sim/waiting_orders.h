// The orders that RunFairness compares, behind one interface.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "common/base/time.h"
#include "common/owner/fair_queue.h"
#include "sim/fairness.h"

namespace juniperway::sim {

struct WaitingSubquery {
  owner::SubqueryId id = 0;
  owner::ClassIndex class_index = 0;
  MonotonicTime arrived;
  MonotonicTime deadline;
};

class WaitingOrder {
 public:
  virtual ~WaitingOrder() = default;
  virtual void Push(const WaitingSubquery& subquery) = 0;
  // Removes the one that gives way when the queue is full. Not on an empty one.
  virtual void DropOne() = 0;
  virtual bool empty() const = 0;
  virtual std::size_t size() const = 0;
  // Removes the next to start. Not on an empty queue.
  virtual WaitingSubquery Take(MonotonicTime now) = 0;
  // It was started, and not refused as too late.
  virtual void OnStart(const WaitingSubquery&, MonotonicTime) {}
  // Whether the next one may use a slot, given those that run by class.
  virtual bool MayStart(const std::uint32_t (&)[2]) { return true; }
};

// @param slot_time mean time of a subquery divided by the slots.
std::unique_ptr<WaitingOrder> MakeOrder(QueueOrder order, std::uint32_t slots,
                                        Duration slot_time);

}  // namespace juniperway::sim
