// Queue of the subqueries that wait for a slot of one backend. The queue is
// fair between request classes; within a class, the subquery with the shortest
// remaining time starts first. The code does no I/O.
//
// Between classes the queue follows VirtualClock (L. Zhang, "VirtualClock: A
// New Traffic Control Algorithm for Packet-Switched Networks", ACM Transactions
// on Computer Systems 9(2), 1991). Each class has a clock that each start
// advances by the reciprocal of the class's share of the backend's rate. A
// clock that lags behind real time is set to real time. The class with the
// earliest clock starts the next subquery, so a class that stays within its
// share does not wait for one that exceeds its share, and idle slots go to any
// class with queued subqueries. The queue differs from the paper in three
// points:
//  - A clock advances at the start and not at the arrival, so that cancelled,
//    expired or refused subqueries are not charged.
//  - A clock is at most kMaximumLead ahead of real time, so that a class that
//    used idle slots does not wait long once other classes have subqueries.
//  - Classes that are within their share are ordered by remaining time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"

namespace juniperway::owner {

// Identifies a subquery within this process; chosen by the caller, never
// reused.
using SubqueryId = std::uint64_t;
// Position of a request class in its service.
using ClassIndex = std::uint32_t;

// Queue of the subqueries that wait for one backend, owned by its BackendGate.
class FairQueue {
 public:
  static constexpr Duration kMaximumLead = milliseconds(50);

  // One queued subquery. All deadlines are read from the same clock, so the
  // entry with the earliest deadline has the shortest remaining time. Entries
  // with equal deadlines are ordered by id.
  struct Entry {
    MonotonicTime deadline;
    SubqueryId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Entry&) const = default;
  };
  using Entries = std::set<Entry>;

  // @param weights weight of each class, by class index. There must be at least
  //   one weight, and no weight may be 0.
  explicit FairQueue(const std::vector<std::uint32_t>& weights);

  // Replaces the weights. Queued subqueries stay in the queue; those of a class
  // beyond the last one count as subqueries of the first class.
  void SetWeights(const std::vector<std::uint32_t>& weights);

  void Insert(SubqueryId id, MonotonicTime deadline, ClassIndex class_index);
  // Removes subquery `id` from the queue.
  // @return false if `id` is not queued.
  bool Remove(SubqueryId id);

  // Removes and returns the next subquery to start. The queue must not be
  // empty. The caller then calls Charge or ReleaseUncharged.
  Entry TakeNext(MonotonicTime now);
  // Charges the class of a subquery that TakeNext returned and that started.
  // @param slot_time expected time of one subquery divided by the slots.
  void Charge(SubqueryId id, Duration slot_time, MonotonicTime now);
  // Releases a subquery that TakeNext returned and that the caller refused,
  // without a charge to the subquery's class.
  void ReleaseUncharged(SubqueryId id) { taken_.erase(id); }

  // Returns the subquery to shed when the queue is full: the subquery with the
  // longest remaining time in the class that has the most queued subqueries
  // relative to the weight of the class. The queue must not be empty.
  Entry NextToShed() const;
  // Returns the queued subquery with the earliest deadline. The queue must not
  // be empty.
  Entry Earliest() const;

  // Queued subqueries of one class, and the share of the slots that the class
  // has among the classes with queued subqueries.
  struct Backlog {
    const Entries* entries = nullptr;
    double share = 1;
  };
  std::vector<Backlog> Backlogs() const;

  std::size_t size() const { return queued_.size(); }
  bool empty() const { return queued_.empty(); }

 private:
  struct Class {
    double weight = 1;
    MonotonicTime clock;
    Entries entries;
  };

  ClassIndex ResolveClass(ClassIndex class_index) const {
    return class_index < classes_.size() ? class_index : 0;
  }

  std::vector<Class> classes_;
  double total_weight_ = 0;
  // Class and deadline of a queued subquery.
  struct QueuedSubquery {
    ClassIndex class_index = 0;
    MonotonicTime deadline;
  };
  std::unordered_map<SubqueryId, QueuedSubquery> queued_;
  // Classes of the subqueries that TakeNext returned and for which neither
  // Charge nor ReleaseUncharged has been called yet.
  std::unordered_map<SubqueryId, ClassIndex> taken_;
};

}  // namespace juniperway::owner
