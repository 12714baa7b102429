// Grants shares of the tenants' rate limits to routers and pools. The limits
// come from the stored route table; quota/rate_granter.h keeps account of the
// leased rates. LeaderRole owns it.
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

  // Starts granting when this node becomes the leader in `term`.
  // @param pools names of the control nodes' pools.
  void Start(std::uint64_t term,
             const std::map<std::string, session::Member>& members,
             const std::set<std::string>& pools, MonotonicTime now);
  void Stop() { granter_.Stop(); }

  // Adds the rate grants to the answer to a heartbeat of a member router or of
  // a pool.
  void OnHeartbeat(const protocol::MemberHeartbeatT& item, bool is_pool,
                   const StoredRouteTable& table, MonotonicTime now,
                   protocol::HeartbeatReplyT& reply);

 private:
  // Reads the limits from `table` if its version is new.
  void UpdateLimits(const StoredRouteTable& table, MonotonicTime now);

  quota::RateGranter granter_;
  // Version of the route table that was last read; 0 if none was.
  std::uint64_t table_version_ = 0;
};

}  // namespace juniperway::control
