// The leader's grants of tenants' limits to routers: the limits of the route
// table in force, and the account of what is leased (quota/rate_granter.h).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "common/base/time.h"
#include "common/control/fleet_store.h"
#include "common/protocol/control_generated.h"
#include "common/quota/rate_granter.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

class TenantQuotas {
 public:
  TenantQuotas(const quota::RateTolerance& tolerance,
               double maximum_clock_drift)
      : granter_(tolerance, maximum_clock_drift) {}

  // This machine leads from now on.
  // @param pools names of control machines' pools.
  void Start(std::uint64_t term,
             const std::map<std::string, session::Member>& members,
             const std::set<std::string>& pools, MonotonicTime now);
  void Stop() { granter_.Stop(); }

  // Answers a heartbeat of a router that is a member, or of a pool.
  void OnHeartbeat(const protocol::MemberHeartbeatT& item, bool is_pool,
                   const StoredRouteTable& table, MonotonicTime now,
                   protocol::HeartbeatReplyT& reply);

 private:
  // Takes the limits of a table that is new.
  void TakeLimits(const StoredRouteTable& table, MonotonicTime now);

  quota::RateGranter granter_;
  // Version of the table whose limits are in use; 0: none.
  std::uint64_t table_version_ = 0;
};

}  // namespace juniperway::control
