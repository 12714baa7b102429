#include "common/forwarding/admission_queue.h"

#include <tuple>

namespace juniperway::forwarding {

void AdmissionQueue::Insert(const Entry& entry) {
  RouteQueue& route = routes_[entry.route];
  route.priority = entry.priority;
  route.waiting.emplace(entry.target_by, entry.number);
  places_[entry.number] = entry;
}

bool AdmissionQueue::Remove(RequestNumber number) {
  const auto place = places_.find(number);
  if (place == places_.end()) {
    return false;
  }
  const Entry& entry = place->second;
  const auto route = routes_.find(entry.route);
  route->second.waiting.erase({entry.target_by, number});
  if (route->second.waiting.empty()) {
    routes_.erase(route);
  }
  places_.erase(place);
  return true;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::Next(
    MonotonicTime now, const std::set<std::string>& blocked) const {
  // Late or not, then urgency, then the target.
  using Rank = std::tuple<bool, std::uint32_t, MonotonicTime>;
  std::optional<Rank> best_rank;
  RequestNumber best = 0;
  for (const auto& [name, route] : routes_) {
    if (blocked.contains(name)) {
      continue;
    }
    const auto in_time = route.waiting.lower_bound({now, 0});
    const bool late = in_time == route.waiting.end();
    const auto& [target_by, number] = late ? *route.waiting.begin() : *in_time;
    const Rank rank{late, route.priority, target_by};
    if (!best_rank || rank < *best_rank) {
      best_rank = rank;
      best = number;
    }
  }
  if (!best_rank) {
    return std::nullopt;
  }
  return places_.at(best);
}

}  // namespace juniperway::forwarding
