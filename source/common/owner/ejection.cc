#include "common/owner/ejection.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace juniperway::owner {
namespace {

using ShardKey = std::pair<std::string, std::string>;  // service, shard
using Holders = std::map<ShardKey, std::set<std::string>>;

Holders HoldersOf(const session::FleetView& view) {
  Holders holders;
  for (const auto& [name, backend] : view.backends) {
    for (const std::string& shard : backend.shards) {
      holders[{backend.service, shard}].insert(name);
    }
  }
  return holders;
}

}  // namespace

EjectionPolicy::EjectionPolicy(const session::FleetView& view,
                               const std::set<std::string>& owned) {
  const Holders holders = HoldersOf(view);
  for (const std::string& name : owned) {
    const auto backend = view.backends.find(name);
    if (backend == view.backends.end()) {
      continue;
    }
    const auto service = view.services.find(backend->second.service);
    const double share = service == view.services.end()
                             ? resources::Service().maximum_ejected_share
                             : service->second.maximum_ejected_share;
    Limit limit{std::numeric_limits<std::size_t>::max(), {}};
    for (const std::string& shard : backend->second.shards) {
      const auto& replicas = holders.at({backend->second.service, shard});
      const auto out = static_cast<std::size_t>(
          share * static_cast<double>(replicas.size()));
      limit.maximum_out = std::min(limit.maximum_out, out);
      std::ranges::copy_if(replicas,
                           std::inserter(limit.peers, limit.peers.end()),
                           [&](const std::string& peer) {
                             return peer != name && owned.contains(peer);
                           });
    }
    limits_[name] = std::move(limit);
  }
}

bool EjectionPolicy::MayEject(const std::string& backend,
                              const std::set<std::string>& open) const {
  const auto limit = limits_.find(backend);
  if (limit == limits_.end()) {
    return false;
  }
  const bool is_open = open.contains(backend);
  const auto out =
      std::ranges::count_if(limit->second.peers, [&](const std::string& peer) {
        return open.contains(peer) && (!is_open || peer < backend);
      });
  return static_cast<std::size_t>(out) < limit->second.maximum_out;
}

}  // namespace juniperway::owner
