// Queues the requests that wait until enough backends of their shards are free,
// and decides the order in which they are admitted. ExchangeDispatcher owns the
// queue. The class reads no clock: callers pass the current time.
//
// Requests that can still be answered within their target are admitted first,
// because an answer after the target is worth little. Requests past their
// target follow. Within each of these two groups, the lower priority value
// (Route::priority) goes first, then the earlier target.
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

// A priority queue of waiting requests; see the top of this file.
class AdmissionQueue {
 public:
  // Identifies a request within this process; never reused.
  using RequestNumber = std::uint64_t;

  struct Entry {
    RequestNumber number = 0;
    // Name of the route. Requests of one route need the same services: if one
    // of them cannot be admitted, the others cannot either.
    std::string route;
    // Priority of the tenant or the route; 0 is the most urgent.
    std::uint32_t priority = 0;
    // An answer after this time is late.
    MonotonicTime target_by;
  };

  void Insert(const Entry& entry);
  // @return false if no request with this number is queued.
  bool Remove(RequestNumber number);

  // @param blocked names of routes whose requests are skipped.
  // @return the request to admit next; std::nullopt when only blocked routes
  //   have queued requests.
  std::optional<Entry> Next(MonotonicTime now,
                            const std::set<std::string>& blocked) const;

  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }

 private:
  using Waiting = std::set<std::pair<MonotonicTime, RequestNumber>>;
  // Route name and priority: tenants of one route may have different
  // priorities.
  using QueueKey = std::pair<std::string, std::uint32_t>;

  // Holds no empty sets. Each set is ordered by target.
  std::map<QueueKey, Waiting> queues_;
  std::map<RequestNumber, Entry> entries_;
};

}  // namespace juniperway::forwarding
