// Subqueries that wait for a slot: fair between request classes, shortest
// remaining time first within a class. Pure.
//
// Between classes it follows VirtualClock (L. Zhang, "VirtualClock: A New
// Traffic Control Algorithm for Packet-Switched Networks", ACM Transactions on
// Computer Systems 9(2), 1991): each class has a clock that ticks by the
// reciprocal of its share of the back end's rate with each start, and is moved
// up to real time when it lags. The class whose clock reads least goes next, so
// one that stays within its share is not held up by one that does not, while
// idle slots go to whoever has work. Other than in the paper
//  - the clock ticks at the start and not at the arrival, so that what is
//    cancelled, expired or refused is not charged;
//  - a clock is at most kLongestLead ahead of real time, so that a class that
//    used idle slots is not shut out for long once others come;
//  - classes that are within their share are ordered by remaining time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"

namespace juniperway::owner {

// Names a subquery within this process; chosen by the caller, never reused.
using SubqueryId = std::uint64_t;
// Position of a request class in its service.
using ClassIndex = std::uint32_t;

class FairQueue {
 public:
  static constexpr Duration kLongestLead = milliseconds(50);

  // All waiting subqueries share one clock, so the shortest remaining time is
  // the earliest deadline. Equal deadlines keep the order of their ids.
  struct Entry {
    MonotonicTime deadline;
    SubqueryId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Entry&) const = default;
  };
  using Entries = std::set<Entry>;

  // @param weights of the classes, by index; not empty, none 0.
  explicit FairQueue(const std::vector<std::uint32_t>& weights);

  // What waits stays; classes beyond the last count as the first.
  void SetWeights(const std::vector<std::uint32_t>& weights);

  void Insert(SubqueryId id, MonotonicTime deadline, ClassIndex class_index);
  // False if `id` does not wait here.
  bool Remove(SubqueryId id);

  // Removes and returns the next to start. Not on an empty queue.
  Entry TakeNext(MonotonicTime now);
  // What TakeNext returned was started: its class is charged.
  // @param slot_time expected time of one subquery divided by the slots.
  void Charge(SubqueryId id, Duration slot_time, MonotonicTime now);
  // ... or refused.
  void Forget(SubqueryId id) { taken_.erase(id); }

  // What gives way when the queue is full: the longest remaining time of the
  // class with most waiting for its weight. Not on an empty queue.
  Entry LastOfLongest() const;
  // The one with the shortest remaining time of all. Not on an empty queue.
  Entry Earliest() const;

  // Waiting entries of one class and its share of the slots among the classes
  // that have work waiting.
  struct Backlog {
    const Entries* entries = nullptr;
    double share = 1;
  };
  std::vector<Backlog> Backlogs() const;

  std::size_t size() const { return classes_by_id_.size(); }
  bool empty() const { return classes_by_id_.empty(); }

 private:
  struct Class {
    double weight = 1;
    MonotonicTime clock;
    Entries entries;
  };

  ClassIndex Known(ClassIndex class_index) const {
    return class_index < classes_.size() ? class_index : 0;
  }

  std::vector<Class> classes_;
  double total_weight_ = 0;
  // Class and deadline of what waits.
  struct Place {
    ClassIndex class_index = 0;
    MonotonicTime deadline;
  };
  std::unordered_map<SubqueryId, Place> classes_by_id_;
  // Taken and neither charged nor forgotten yet.
  std::unordered_map<SubqueryId, ClassIndex> taken_;
};

}  // namespace juniperway::owner
