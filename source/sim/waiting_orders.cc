#include "sim/waiting_orders.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace juniperway::sim {
namespace {

constexpr std::uint32_t kClasses = 2;

// Sorted by a key that is set at arrival; the last gives way.
class SortedOrder : public WaitingOrder {
 public:
  void Push(const WaitingSubquery& subquery) override {
    waiting_.emplace(std::pair(KeyOf(subquery), subquery.id), subquery);
  }
  void DropOne() override { waiting_.erase(std::prev(waiting_.end())); }
  bool empty() const override { return waiting_.empty(); }
  std::size_t size() const override { return waiting_.size(); }
  WaitingSubquery Take(MonotonicTime /*now*/) override {
    const WaitingSubquery first = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    return first;
  }

 protected:
  virtual MonotonicTime KeyOf(const WaitingSubquery& subquery) = 0;

 private:
  std::map<std::pair<MonotonicTime, owner::SubqueryId>, WaitingSubquery>
      waiting_;
};

class FirstInFirstOut : public SortedOrder {
  MonotonicTime KeyOf(const WaitingSubquery& subquery) override {
    return subquery.arrived;
  }
};

class ShortestRemainingTime : public SortedOrder {
  MonotonicTime KeyOf(const WaitingSubquery& subquery) override {
    return subquery.deadline;
  }
};

// Both classes have reserved half of the back end's rate.
class VirtualClock : public SortedOrder {
 public:
  explicit VirtualClock(Duration slot_time) : tick_(slot_time * kClasses) {}

 private:
  MonotonicTime KeyOf(const WaitingSubquery& subquery) override {
    MonotonicTime& clock = clocks_[subquery.class_index];
    clock = std::max(clock, subquery.arrived) + tick_;
    return clock;
  }

  Duration tick_;
  std::array<MonotonicTime, kClasses> clocks_;
};

class FixedShares : public WaitingOrder {
 public:
  explicit FixedShares(std::uint32_t slots) : slots_(slots / kClasses) {}

  void Push(const WaitingSubquery& subquery) override {
    queues_[subquery.class_index].push_back(subquery);
  }
  void DropOne() override {
    auto longest = std::ranges::max_element(queues_, {}, &Queue::size);
    longest->pop_back();
  }
  bool empty() const override { return size() == 0; }
  std::size_t size() const override {
    return queues_[0].size() + queues_[1].size();
  }
  bool MayStart(const std::uint32_t (&running)[kClasses]) override {
    for (std::uint32_t index = 0; index < kClasses; ++index) {
      if (!queues_[index].empty() && running[index] < slots_) {
        next_ = index;
        return true;
      }
    }
    return false;
  }
  WaitingSubquery Take(MonotonicTime /*now*/) override {
    const WaitingSubquery first = queues_[next_].front();
    queues_[next_].pop_front();
    return first;
  }

 private:
  using Queue = std::deque<WaitingSubquery>;

  std::uint32_t slots_;
  std::uint32_t next_ = 0;
  std::array<Queue, kClasses> queues_;
};

class FairQueueOrder : public WaitingOrder {
 public:
  explicit FairQueueOrder(Duration slot_time) : slot_time_(slot_time) {}

  void Push(const WaitingSubquery& subquery) override {
    waiting_[subquery.id] = subquery;
    queue_.Insert(subquery.id, subquery.deadline, subquery.class_index);
  }
  void DropOne() override {
    const owner::SubqueryId id = queue_.NextToShed().id;
    queue_.Remove(id);
    waiting_.erase(id);
  }
  bool empty() const override { return queue_.empty(); }
  std::size_t size() const override { return queue_.size(); }
  WaitingSubquery Take(MonotonicTime now) override {
    if (taken_) {
      queue_.ReleaseUncharged(*taken_);
    }
    const owner::SubqueryId id = queue_.TakeNext(now).id;
    taken_ = id;
    const WaitingSubquery next = waiting_.at(id);
    waiting_.erase(id);
    return next;
  }
  void OnStart(const WaitingSubquery& subquery, MonotonicTime now) override {
    queue_.Charge(subquery.id, slot_time_, now);
    taken_.reset();
  }

 private:
  Duration slot_time_;
  owner::FairQueue queue_{{1, 1}};
  std::map<owner::SubqueryId, WaitingSubquery> waiting_;
  // Taken and not started.
  std::optional<owner::SubqueryId> taken_;
};

}  // namespace

std::unique_ptr<WaitingOrder> MakeOrder(QueueOrder order, std::uint32_t slots,
                                        Duration slot_time) {
  switch (order) {
    case QueueOrder::kFirstInFirstOut:
      return std::make_unique<FirstInFirstOut>();
    case QueueOrder::kShortestRemainingTime:
      return std::make_unique<ShortestRemainingTime>();
    case QueueOrder::kFixedShares:
      return std::make_unique<FixedShares>(slots);
    case QueueOrder::kVirtualClock:
      return std::make_unique<VirtualClock>(slot_time);
    case QueueOrder::kFairQueue:
      return std::make_unique<FairQueueOrder>(slot_time);
  }
  return nullptr;
}

}  // namespace juniperway::sim
