// Requests that wait until enough back ends of their shards are free, and the
// order in which they are admitted. Pure: time is an argument.
//
// Work that can still be answered within its target goes first, because an
// answer after the target is worth little; what is late already is worked off
// behind it, the oldest first, before its deadline. Between routes the more
// urgent one (Route::priority) goes first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "common/base/time.h"

namespace juniperway::forwarding {

class AdmissionQueue {
 public:
  // Names a request within this process; never reused.
  using RequestNumber = std::uint64_t;

  struct Entry {
    RequestNumber number = 0;
    // Requests of one route need the same services: when one cannot be
    // admitted, the others of its route cannot either.
    std::string route;
    // Of the tenant or the route; 0 is the most urgent.
    std::uint32_t priority = 0;
    // An answer after this is late.
    MonotonicTime target_by;
  };

  void Insert(const Entry& entry);
  // @return false if `number` does not wait here.
  bool Remove(RequestNumber number);

  // The request to admit next.
  // @param blocked names of routes that are passed over.
  // @return nothing when only blocked routes have waiting requests.
  std::optional<Entry> Next(MonotonicTime now,
                            const std::set<std::string>& blocked) const;

  std::size_t size() const { return places_.size(); }
  bool empty() const { return places_.empty(); }

 private:
  using Waiting = std::set<std::pair<MonotonicTime, RequestNumber>>;
  // A route and a priority: tenants of one route may differ in it.
  using QueueKey = std::pair<std::string, std::uint32_t>;

  // Only those with waiting requests.
  std::map<QueueKey, Waiting> queues_;
  std::map<RequestNumber, Entry> places_;
};

}  // namespace juniperway::forwarding
