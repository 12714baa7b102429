#include "common/forwarding/admission_queue.h"

#include <tuple>

namespace juniperway::forwarding {

void AdmissionQueue::Insert(const Entry& entry) {
  queues_[{entry.route, entry.priority}].emplace(entry.target_by, entry.number);
  entries_[entry.number] = entry;
}

bool AdmissionQueue::Remove(RequestNumber number) {
  const auto found = entries_.find(number);
  if (found == entries_.end()) {
    return false;
  }
  const Entry& entry = found->second;
  const auto queue = queues_.find({entry.route, entry.priority});
  queue->second.erase({entry.target_by, number});
  if (queue->second.empty()) {
    queues_.erase(queue);
  }
  entries_.erase(found);
  return true;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::Next(
    MonotonicTime now, const std::set<std::string>& blocked) const {
  // Compared in this order: whether the request is late, priority, target.
  using Rank = std::tuple<bool, std::uint32_t, MonotonicTime>;
  std::optional<Rank> best_rank;
  RequestNumber best = 0;
  for (const auto& [key, waiting] : queues_) {
    const auto& [route, priority] = key;
    if (blocked.contains(route)) {
      continue;
    }
    const auto in_time = waiting.lower_bound({now, 0});
    const bool late = in_time == waiting.end();
    const auto& [target_by, number] = late ? *waiting.begin() : *in_time;
    const Rank rank{late, priority, target_by};
    if (!best_rank || rank < *best_rank) {
      best_rank = rank;
      best = number;
    }
  }
  if (!best_rank) {
    return std::nullopt;
  }
  return entries_.at(best);
}

}  // namespace juniperway::forwarding
