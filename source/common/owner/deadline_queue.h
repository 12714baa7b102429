// Subqueries that wait for a slot, shortest remaining time first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "common/base/time.h"

namespace juniperway::owner {

// Names a subquery within this process; chosen by the caller, never reused.
using SubqueryId = std::uint64_t;

class DeadlineQueue {
 public:
  // All waiting subqueries share one clock, so the shortest remaining time is
  // the earliest deadline. Equal deadlines keep the order of their ids.
  struct Entry {
    MonotonicTime deadline;
    SubqueryId id = 0;
    auto operator<=>(const Entry&) const = default;
  };
  using Entries = std::set<Entry>;

  void Insert(SubqueryId id, MonotonicTime deadline);
  // False if `id` does not wait here.
  bool Remove(SubqueryId id);
  // The one with the shortest (longest) remaining time. Not on an empty queue.
  Entry First() const { return *entries_.begin(); }
  Entry Last() const { return *entries_.rbegin(); }

  const Entries& entries() const { return entries_; }
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

 private:
  Entries entries_;
  std::unordered_map<SubqueryId, MonotonicTime> deadlines_;
};

}  // namespace juniperway::owner
