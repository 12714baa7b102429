// Implements BackendPool::Update, which processes only what differs from the
// previous view.
#include <algorithm>
#include <utility>

#include "common/forwarding/backend_pool.h"

namespace juniperway::forwarding {
namespace {

// Returns the names of the routers that accept requests.
std::vector<std::string> RouterNames(const session::FleetView& view) {
  std::vector<std::string> names;
  for (const auto& [name, member] : view.members) {
    if (member.router && !member.leaving) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

void BackendPool::Update(const session::FleetView& view, std::size_t routers,
                         MonotonicTime now) {
  SetRouterCount(routers, now);
  UpdateBackends(view, now);
  UpdateServices(view);
  UpdateColdShares(view);
  UpdateRollouts(view);
  EraseUnusedServices();
}

void BackendPool::SetRouterCount(std::size_t routers, MonotonicTime now) {
  routers_ = std::max<std::size_t>(1, routers);
  if (routers_ >= options_.extra.routers) {
    options_.extra.routers = routers_;
    budget_routers_decrease_at_ = MonotonicTime::max();
  } else if (budget_routers_decrease_at_ == MonotonicTime::max()) {
    // Extra attempts of a router that has left count for one more window.
    budget_routers_decrease_at_ = now + options_.extra.window;
  }
}

const ExtraAttemptLimits& BackendPool::BudgetLimits(MonotonicTime now) {
  if (now >= budget_routers_decrease_at_) {
    options_.extra.routers = routers_;
    budget_routers_decrease_at_ = MonotonicTime::max();
  }
  return options_.extra;
}

void BackendPool::UpdateBackends(const session::FleetView& view,
                                 MonotonicTime now) {
  const bool evacuations_changed = !(view.evacuations == applied_evacuations_);
  applied_evacuations_ = view.evacuations;
  decltype(applied_backends_)::ForEachDifference(
      applied_backends_, view.discovered,
      [this, now](const std::string& id, const session::DiscoveredBackend*,
                  const session::DiscoveredBackend* after) {
        ++backends_processed_;
        if (after != nullptr) {
          AddOrUpdateBackend(id, *after, now);
        } else {
          RemoveBackend(id);
        }
      });
  applied_backends_ = view.discovered;
  if (evacuations_changed) {
    backends_processed_ += backends_.size();
    for (auto& [id, backend] : backends_) {
      if (!removed_.contains(id)) {
        SetEvacuated(backend, now);
      }
    }
  }
  EraseRemovedBackends();
}

void BackendPool::AddOrUpdateBackend(const std::string& id,
                                     const session::DiscoveredBackend& info,
                                     MonotonicTime now) {
  Backend& backend = backends_[id];
  removed_.erase(id);
  const bool is_new_process =
      backend.info.start != WallTime{} && backend.info.start < info.start;
  backend.info = info;
  backend.hash = observation::HashOf(IncarnationName(info));
  SetService(backend, info.service);
  backend.locality_penalty = LocalityPenalty(info.zone);
  backend.region = RegionOf(info.zone);
  if (is_new_process) {
    ResetObservations(backend);
    backend.assumed_cold_until = now + backend.service->warmup;
  }
  SetEvacuated(backend, now);
}

void BackendPool::SetEvacuated(Backend& backend, MonotonicTime now) {
  const bool was_evacuated = backend.evacuated;
  backend.evacuated = applied_evacuations_.contains(backend.info.zone);
  if (was_evacuated && !backend.evacuated) {
    backend.assumed_cold_until = now + backend.service->warmup;
  }
  SetRetired(backend, backend.info.draining || backend.evacuated);
}

void BackendPool::RemoveBackend(const std::string& id) {
  SetRetired(backends_.at(id), true);
  removed_.insert(id);
}

void BackendPool::EraseRemovedBackends() {
  std::erase_if(removed_, [this](const std::string& id) {
    const auto backend = backends_.find(id);
    if (!backend->second.in_flight.empty()) {
      return false;
    }
    --backend->second.service->discovered_backends;
    backends_.erase(backend);
    return true;
  });
}

void BackendPool::SetService(Backend& backend, const std::string& name) {
  Service& service = services_[name];
  if (backend.service == &service) {
    return;
  }
  if (backend.service != nullptr) {
    SetRetired(backend, true);
    --backend.service->discovered_backends;
  }
  backend.service = &service;
  ++service.discovered_backends;
}

void BackendPool::SetRetired(Backend& backend, bool retired) {
  if (backend.retired == retired) {
    return;
  }
  backend.retired = retired;
  std::vector<Backend*>& backends = backend.service->backends;
  const auto place =
      std::ranges::lower_bound(backends, backend.info.id, {},
                               [](const Backend* other) -> const std::string& {
                                 return other->info.id;
                               });
  if (retired) {
    backends.erase(place);
    --live_backends_;
    retired_in_flight_ += backend.in_flight.size();
  } else {
    backends.insert(place, &backend);
    ++live_backends_;
    retired_in_flight_ -= backend.in_flight.size();
  }
}

void BackendPool::ResetObservations(Backend& backend) {
  backend.latency = RecentLatency();
  backend.failure_rate = FailureRate();
  backend.connections = ConnectionAllowance();
  backend.idle_connections.Clear();
  if (backend.retired) {
    retired_in_flight_ -= backend.in_flight.size();
  }
  backend.in_flight.clear();
  backend.failures = 0;
  backend.ejected_until = MonotonicTime::min();
  backend.backoff_until = MonotonicTime::min();
}

void BackendPool::UpdateServices(const session::FleetView& view) {
  if (view.route_table == applied_table_ || !view.route_table) {
    return;
  }
  applied_table_ = view.route_table;
  for (auto& [name, service] : services_) {
    service.maximum_connections = 0;
  }
  for (const auto& [name, routed] : view.route_table->services) {
    Service& service = services_[name];
    service.maximum_connections = routed.maximum_connections;
    service.warmup = routed.warmup;
    service.cold_requests_per_second = routed.cold_requests_per_second;
  }
}

void BackendPool::UpdateColdShares(const session::FleetView& view) {
  std::vector<std::string> routers;
  for (auto& [name, service] : services_) {
    const double rate = service.cold_requests_per_second;
    if (rate <= 0) {
      continue;
    }
    if (routers.empty()) {
      routers = RouterNames(view);
    }
    for (Backend* backend : service.backends) {
      backend->cold_share =
          ColdShareOf(options_.router, routers, backend->info.id, rate);
    }
  }
}

void BackendPool::UpdateRollouts(const session::FleetView& view) {
  if (view.rollouts.empty() && !answer_tally_.has_rollouts()) {
    return;
  }
  std::map<std::string, rollout::RolloutNumber> numbers;
  for (const auto& [name, running] : view.rollouts) {
    Service& service = services_[name];
    if (service.rollout != running.number) {
      service.canary_allowance = rollout::CanaryAllowance();
    }
    service.canary_allowance.SetShare(running.share_permille,
                                      running.base_share_permille);
    numbers[name] = running.number;
  }
  for (auto& [name, service] : services_) {
    const auto number = numbers.find(name);
    service.rollout = number == numbers.end() ? 0 : number->second;
    if (service.rollout == 0) {
      service.canary_allowance = rollout::CanaryAllowance();
    }
  }
  answer_tally_.SetRollouts(numbers);
}

void BackendPool::EraseUnusedServices() {
  std::erase_if(services_, [](const auto& entry) {
    return entry.second.maximum_connections == 0 &&
           entry.second.discovered_backends == 0;
  });
}

}  // namespace juniperway::forwarding
