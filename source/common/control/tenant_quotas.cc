#include "common/control/tenant_quotas.h"

#include <set>
#include <utility>

#include "common/base/compression.h"
#include "common/control/events.h"
#include "common/routes/route_table.h"
#include "common/session/rate_codec.h"

namespace juniperway::control {
namespace {

// Tenants without a rate have no limit, and routers request no tokens for them.
quota::RateLimits LimitsOf(const routes::RouteTable& table) {
  quota::RateLimits limits;
  if (!table.tenants) {
    return limits;
  }
  for (const routes::Tenant& tenant : *table.tenants) {
    if (tenant.requests_per_second > 0) {
      limits[tenant.name] = {.per_second = tenant.requests_per_second,
                             .burst = tenant.burst};
    }
  }
  return limits;
}

}  // namespace

void TenantQuotas::Start(std::uint64_t term,
                         const std::map<std::string, session::Member>& members,
                         const std::set<std::string>& pools,
                         MonotonicTime now) {
  std::set<std::string> routers;
  for (const auto& [name, member] : members) {
    if (member.router) {
      routers.insert(name);
    }
  }
  granter_.Start(term, std::move(routers), pools, now);
}

void TenantQuotas::OnHeartbeat(const protocol::MemberHeartbeatT& item,
                               bool is_pool, const StoredRouteTable& table,
                               MonotonicTime now,
                               protocol::HeartbeatReplyT& reply) {
  if (is_pool || !item.heartbeat->rate_requests.empty()) {
    UpdateLimits(table, now);
  }
  const quota::RateGranter::Sender sender{.name = item.daemon_id,
                                          .incarnation = item.incarnation,
                                          .term = item.heartbeat->term,
                                          .is_pool = is_pool};
  const auto grants = granter_.OnReport(
      sender, session::DecodeRateReport(*item.heartbeat), now);
  reply.rate_grants = session::EncodeRateGrants(grants);
}

void TenantQuotas::UpdateLimits(const StoredRouteTable& table,
                                MonotonicTime now) {
  if (table.version == table_version_) {
    return;
  }
  table_version_ = table.version;
  const auto text = Decompress(table.content);
  const auto parsed =
      text ? routes::ParseRouteTable(*text)
           : Result<routes::RouteTable>(tl::unexpected(text.error()));
  if (!parsed) {
    // The resource API checks each table before the state stores the table. A
    // table that does not parse here was written by a newer version of the
    // software.
    logging::LogEvent(
        kTenantLimitsUnreadable,
        {{"version", table.version}, {"error", FormatError(parsed.error())}});
    return;
  }
  granter_.SetLimits(LimitsOf(*parsed), now);
}

}  // namespace juniperway::control
