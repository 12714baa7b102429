#include "property/quota/quota_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/session/rate_codec.h"

namespace juniperway::test {
namespace {

constexpr quota::RateTolerance kTolerance{
    .window = seconds(5), .overage = 0.1, .slack = 20};
constexpr double kDrift = 0.01;
constexpr Duration kHeartbeatInterval = seconds(1);
// How long a request waits for a token.
constexpr Duration kTokenTimeout = milliseconds(200);
// A router that no leader has answered for this long is no longer a member.
constexpr Duration kMembershipTimeout = seconds(6);
constexpr std::size_t kPools = 6;
// Probability that a control node is partitioned, divided by the probability
// that a router is.
constexpr double kPoolPartitionShare = 0.9;
constexpr Duration kPoolReportInterval = milliseconds(50);
// Maximum one-way delays of messages within a zone and between
// regions.
constexpr Duration kMaximumZoneDelay = milliseconds(1);
constexpr Duration kMaximumRegionDelay = milliseconds(14);

}  // namespace

QuotaWorld::QuotaWorld(const QuotaOptions& options)
    : options_(options),
      random_(options.seed),
      end_(now_ + options.length),
      later_([](const Event& left, const Event& right) {
        return std::pair(left.time, left.order) >
               std::pair(right.time, right.order);
      }),
      events_(later_),
      routers_(options.routers),
      pools_(kPools),
      granter_(kTolerance, kDrift) {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    routers_[i].name = "r" + std::to_string(i);
    At(now_ + FromSeconds(Draw(0, 1)), [this, i] { HeartbeatTick(i); });
  }
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    RestartPool(pools_[i], i);
    At(now_ + FromSeconds(Draw(0, 1)), [this, i] { PoolTick(i); });
  }
  MakeTenants();
  StartLeader();
  const MonotonicTime once = now_ + seconds(15);
  switch (options_.fault) {
    case QuotaFault::kNone:
      break;
    case QuotaFault::kLeaderCrash:
      At(once, [this] { CrashLeader(seconds(1)); });
      break;
    case QuotaFault::kRoutersPartitioned:
      At(once, [this] { PartitionRouters(1.0 / 3, now_ + seconds(10)); });
      break;
    case QuotaFault::kOverloadAndPartition:
      for (Tenant& tenant : tenants_) {
        OverloadTenant(tenant, seconds(40), 4);
      }
      At(once, [this] { PartitionRouters(0.5, now_ + seconds(9)); });
      At(once + seconds(12),
         [this] { PartitionRouters(0.5, now_ + seconds(9)); });
      At(once + milliseconds(12300),
         [this] { CrashLeader(milliseconds(300)); });
      break;
    case QuotaFault::kAll:
      ScheduleFault();
      break;
  }
}

void QuotaWorld::At(MonotonicTime time, std::function<void()> run) {
  events_.push({std::max(time, now_), ++last_order_, std::move(run)});
}

double QuotaWorld::Draw(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(random_);
}

std::size_t QuotaWorld::DrawRouter() {
  return std::uniform_int_distribution<std::size_t>(
      0, routers_.size() - 1)(random_);
}

bool QuotaWorld::IsRunning(const Router& router) const {
  return now_ >= router.paused_until && now_ >= router.down_until;
}

// --- Tenants and their requests ----------------------------------------------

// Makes a few large tenants and many small ones. Their typical rates are within
// their limits. Each client uses one router.
void QuotaWorld::MakeTenants() {
  tenants_.resize(options_.tenants);
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    Tenant& tenant = tenants_[i];
    tenant.name = "t" + std::to_string(i);
    tenant.typical_rate =
        options_.largest_rate / std::pow(static_cast<double>(i) + 1, 1.2);
    tenant.limit.per_second =
        std::max(1.0, std::round(1.6 * tenant.typical_rate));
    // With small bursts, excess requests exceed the allowed number sooner.
    tenant.limit.burst =
        std::max(1.0, tenant.limit.per_second / (i % 2 == 0 ? 8 : 1));
    tenant.reference = tenant.limit.burst;
    tenant.reference_at = now_;
    const auto clients = static_cast<std::size_t>(1 + tenant.typical_rate);
    for (std::size_t client = 0; client < clients; ++client) {
      tenant.client_routers.push_back(DrawRouter());
    }
  }
  for (Tenant& tenant : tenants_) {
    // Requests begin after the fleet has started.
    At(now_ + seconds(7), [this, &tenant] { ScheduleArrival(tenant); });
  }
}

QuotaWorld::Tenant& QuotaWorld::TenantOf(const std::string& name) {
  return *std::ranges::find(tenants_, name, &Tenant::name);
}

void QuotaWorld::ScheduleArrival(Tenant& tenant) {
  const double factor = now_ < tenant.hot_until ? tenant.hot_factor : 1;
  std::exponential_distribution<double> gap(tenant.typical_rate * factor);
  At(now_ + FromSeconds(gap(random_)), [this, &tenant] {
    Arrive(tenant);
    ScheduleArrival(tenant);
  });
}

bool QuotaWorld::TakeReference(Tenant& tenant) const {
  const double grown =
      tenant.limit.per_second * ToSeconds(now_ - tenant.reference_at);
  tenant.reference = std::min(tenant.limit.burst, tenant.reference + grown);
  tenant.reference_at = now_;
  if (tenant.reference < 1) {
    return false;
  }
  tenant.reference -= 1;
  return true;
}

void QuotaWorld::Arrive(Tenant& tenant) {
  std::size_t index =
      tenant.client_routers[std::uniform_int_distribution<std::size_t>(
          0, tenant.client_routers.size() - 1)(random_)];
  // A retry goes to a randomly drawn router, and so does a request of a client
  // whose router is down or paused.
  if (Chance(0.05) || !IsRunning(routers_[index])) {
    index = DrawRouter();
  }
  if (!IsRunning(routers_[index])) {
    return;
  }
  ++report_.requests;
  const bool within = TakeReference(tenant);
  report_.within += within ? 1 : 0;
  SpanOf(tenant).first += within ? 1 : 0;
  quota::RateLeases& leases = routers_[index].leases;
  leases.OnDemand(tenant.name, now_);
  if (leases.TryTake(tenant.name, now_)) {
    if (leases.NeedsTokens(tenant.name, now_)) {
      SendHeartbeat(index);
    }
    RecordSent(index, tenant);
  } else if (now_ >= leases.ExhaustedUntil(tenant.name)) {
    RequestToken(index, tenant);
  }
}

std::pair<std::size_t, std::size_t>& QuotaWorld::SpanOf(Tenant& tenant) const {
  return tenant.spans[now_.time_since_epoch() / kTolerance.window];
}

void QuotaWorld::RequestToken(std::size_t index, Tenant& tenant) {
  Router& router = routers_[index];
  auto& waiting = router.waiting[tenant.name];
  const std::uint64_t number = ++last_request_;
  waiting.push_back(number);
  router.leases.SetQueued(tenant.name,
                          static_cast<std::uint32_t>(waiting.size()));
  SendHeartbeat(index);
  At(now_ + kTokenTimeout, [this, index, number, &tenant] {
    auto& queue = routers_[index].waiting[tenant.name];
    if (std::erase(queue, number) > 0) {
      routers_[index].leases.SetQueued(
          tenant.name, static_cast<std::uint32_t>(queue.size()));
    }
  });
}

void QuotaWorld::RecordSent(std::size_t index, Tenant& tenant) {
  ++report_.admitted;
  ++SpanOf(tenant).second;
  // A router that pauses after TryTake and before it sends the request sends
  // the request after the pause.
  const MonotonicTime sent = std::max(now_, routers_[index].paused_until);
  tenant.uses.push_back(sent);
}

// --- Messages ----------------------------------------------------------------

MonotonicTime QuotaWorld::Arrival(MonotonicTime partitioned_until,
                                  Duration maximum_delay, MonotonicTime& last) {
  // A lost packet is sent again, which delays the message.
  const bool may_lose = options_.fault == QuotaFault::kAll;
  const double one_way_delay = may_lose && Chance(0.002)
                                   ? Draw(0.2, 3)
                                   : Draw(0.0003, ToSeconds(maximum_delay));
  last = std::max(
      last, std::max(now_, partitioned_until) + FromSeconds(one_way_delay));
  return last;
}

void QuotaWorld::HeartbeatTick(std::size_t index) {
  SendHeartbeat(index);
  At(now_ + kHeartbeatInterval, [this, index] { HeartbeatTick(index); });
}

std::size_t QuotaWorld::PoolIndexOf(std::size_t router) const {
  return router % pools_.size();
}

void QuotaWorld::SendHeartbeat(std::size_t index) {
  Router& router = routers_[index];
  if (!IsRunning(router)) {
    return;
  }
  ++report_.heartbeats;
  const auto heartbeat = std::make_shared<protocol::HeartbeatT>();
  heartbeat->term = router.term;
  session::EncodeRateReport(router.leases.MakeReport(now_), *heartbeat);
  At(Arrival(router.partitioned_until, kMaximumZoneDelay,
             router.last_to_leader),
     [this, index, incarnation = router.incarnation, heartbeat,
      requested_at = now_] {
       OnHeartbeatAtPool(index, incarnation, heartbeat, requested_at);
     });
}

void QuotaWorld::OnHeartbeatAtPool(
    std::size_t index, std::uint64_t incarnation,
    const std::shared_ptr<protocol::HeartbeatT>& heartbeat,
    MonotonicTime requested_at) {
  Pool& pool = pools_[PoolIndexOf(index)];
  if (now_ < pool.down_until) {
    return;
  }
  Router& router = routers_[index];
  const auto grants = pool.tokens->Serve(*heartbeat, now_);
  if (!grants.empty()) {
    At(Arrival(router.partitioned_until, kMaximumZoneDelay,
               router.last_to_router),
       [this, index, incarnation, grants, requested_at] {
         OnReply(index, incarnation, grants, quota::kPoolGrantTerm,
                 requested_at);
       });
  }
  At(Arrival(pool.partitioned_until, kMaximumRegionDelay, pool.last_to_leader),
     [this, index, incarnation, heartbeat, requested_at] {
       OnHeartbeat(index, incarnation, *heartbeat, requested_at);
     });
}

void QuotaWorld::OnHeartbeat(std::size_t index, std::uint64_t incarnation,
                             const protocol::HeartbeatT& heartbeat,
                             MonotonicTime requested_at) {
  Router& router = routers_[index];
  // The membership has only the newest incarnation of a router.
  if (!leads_ || incarnation != router.incarnation) {
    return;
  }
  router.answered = now_;
  const auto grants = granter_.OnReport(
      {.name = router.name, .incarnation = incarnation, .term = heartbeat.term},
      session::DecodeRateReport(heartbeat), now_);
  Pool& pool = pools_[PoolIndexOf(index)];
  const MonotonicTime at_pool =
      Arrival(pool.partitioned_until, kMaximumRegionDelay, pool.last_to_pool);
  At(at_pool, [this, index, incarnation, grants, term = term_, requested_at] {
    Router& receiver = routers_[index];
    At(Arrival(receiver.partitioned_until, kMaximumZoneDelay,
               receiver.last_to_router),
       [this, index, incarnation, grants, term, requested_at] {
         OnReply(index, incarnation, grants, term, requested_at);
       });
  });
}

void QuotaWorld::RestartPool(Pool& pool, std::size_t index) {
  ++pool.incarnation;
  pool.tokens =
      std::make_unique<control::RatePool>(index + 1, pool.incarnation);
}

void QuotaWorld::PoolTick(std::size_t index) {
  Pool& pool = pools_[index];
  if (now_ >= pool.down_until && pool.tokens->IsReportDue(now_)) {
    const std::shared_ptr<protocol::MemberHeartbeatT> report =
        pool.tokens->MakeReport(now_);
    At(Arrival(pool.partitioned_until, kMaximumRegionDelay,
               pool.last_to_leader),
       [this, index, report] { OnPoolReport(index, report); });
  }
  At(now_ + kPoolReportInterval, [this, index] { PoolTick(index); });
}

void QuotaWorld::OnPoolReport(
    std::size_t index,
    const std::shared_ptr<protocol::MemberHeartbeatT>& report) {
  Pool& pool = pools_[index];
  if (!leads_ || report->incarnation != pool.incarnation) {
    return;
  }
  const auto reply = std::make_shared<protocol::MemberHeartbeatReplyT>();
  reply->daemon_id = report->daemon_id;
  reply->incarnation = report->incarnation;
  reply->reply = std::make_unique<protocol::HeartbeatReplyT>();
  reply->reply->sequence = report->heartbeat->sequence;
  reply->reply->outcome = protocol::HeartbeatOutcome::kGranted;
  reply->reply->term = term_;
  reply->reply->rate_grants = session::EncodeRateGrants(
      granter_.OnReport({.name = report->daemon_id,
                         .incarnation = report->incarnation,
                         .term = report->heartbeat->term,
                         .is_pool = true},
                        session::DecodeRateReport(*report->heartbeat), now_));
  if (options_.defect == QuotaDefect::kLeasesDoNotExpire) {
    for (const auto& grant : reply->reply->rate_grants) {
      grant->lease_us = Duration(seconds(60)).count();
    }
  }
  At(Arrival(pool.partitioned_until, kMaximumRegionDelay, pool.last_to_pool),
     [this, index, reply] { pools_[index].tokens->OnReply(*reply, now_); });
}

void QuotaWorld::OnReply(std::size_t index, std::uint64_t incarnation,
                         const std::vector<quota::RateGrant>& grants,
                         std::uint64_t term, MonotonicTime requested_at) {
  Router& router = routers_[index];
  if (now_ < router.paused_until) {
    At(router.paused_until,
       [this, index, incarnation, grants, term, requested_at] {
         OnReply(index, incarnation, grants, term, requested_at);
       });
    return;
  }
  if (incarnation != router.incarnation || now_ < router.down_until) {
    return;
  }
  router.term = std::max(router.term, term);
  for (quota::RateGrant grant : grants) {
    if (options_.defect == QuotaDefect::kLeasesDoNotExpire) {
      grant.lease = seconds(60);
    }
    auto& waiting = router.waiting[grant.key];
    Tenant& tenant = TenantOf(grant.key);
    const std::uint32_t admitted =
        router.leases.OnGrant(grant, term, requested_at, now_);
    for (std::uint32_t i = 0; i < admitted; ++i) {
      RecordSent(index, tenant);
    }
    waiting.erase(waiting.begin(), waiting.begin() + admitted);
    if (grant.wait > Duration(0)) {
      waiting.clear();
    }
    router.leases.SetQueued(grant.key,
                            static_cast<std::uint32_t>(waiting.size()));
  }
}

// --- Leaders and failures ----------------------------------------------------

std::set<std::string> QuotaWorld::Members() const {
  std::set<std::string> members;
  for (const Router& router : routers_) {
    if (now_ - router.answered < kMembershipTimeout) {
      members.insert(router.name);
    }
  }
  return members;
}

void QuotaWorld::StartLeader() {
  ++term_;
  ++report_.leaders;
  leads_ = true;
  std::set<std::string> members = Members();
  std::set<std::string> pools;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    pools.insert(control::PoolName(i + 1));
  }
  if (options_.defect == QuotaDefect::kLeaderIgnoresLeases) {
    members.clear();
    pools.clear();
  }
  granter_.Start(term_, std::move(members), std::move(pools), now_);
  quota::RateLimits limits;
  for (const Tenant& tenant : tenants_) {
    limits[tenant.name] = tenant.limit;
  }
  granter_.SetLimits(std::move(limits), now_);
}

void QuotaWorld::ScheduleFault() {
  At(now_ + FromSeconds(Draw(0.2, 2.5)), [this] {
    CauseFault();
    ScheduleFault();
  });
}

void QuotaWorld::PartitionRouters(double share, MonotonicTime until) {
  for (Router& router : routers_) {
    router.partitioned_until = Chance(share) ? until : router.partitioned_until;
  }
  for (Pool& pool : pools_) {
    const bool may_partition =
        options_.fault != QuotaFault::kRoutersPartitioned;
    pool.partitioned_until =
        may_partition && Chance(share * kPoolPartitionShare)
            ? until
            : pool.partitioned_until;
  }
  if (options_.defect != QuotaDefect::kEarlyLeaseReuse) {
    return;
  }
  At(now_ + seconds(1), [this] {
    for (const Router& router : routers_) {
      if (now_ < router.partitioned_until && leads_) {
        granter_.OnReport(
            {.name = router.name, .incarnation = router.incarnation + 1000}, {},
            now_);
      }
    }
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      if (now_ < pools_[i].partitioned_until && leads_) {
        granter_.OnReport({.name = control::PoolName(i + 1),
                           .incarnation = 1'000'000,
                           .is_pool = true},
                          {}, now_);
      }
    }
  });
}

void QuotaWorld::RestartRouters(double share) {
  for (Router& router : routers_) {
    if (Chance(share)) {
      router.down_until = now_ + FromSeconds(Draw(0.3, 2));
      ++router.incarnation;
      router.term = 0;
      router.leases = quota::RateLeases();
      router.waiting.clear();
    }
  }
}

void QuotaWorld::CrashLeader(Duration downtime) {
  if (leads_) {
    // The leader's control node restarts.
    const auto lost = static_cast<std::size_t>(
        Draw(0, static_cast<double>(pools_.size()) - 0.01));
    pools_[lost].down_until = now_ + downtime;
    RestartPool(pools_[lost], lost);
    leads_ = false;
    granter_.Stop();
    At(now_ + downtime, [this] { StartLeader(); });
  }
}

void QuotaWorld::OverloadTenant(Tenant& tenant, Duration length,
                                double factor) {
  tenant.hot_until = now_ + length;
  tenant.hot_factor = factor;
}

void QuotaWorld::CauseFault() {
  const double kind = Draw(0, 1);
  if (kind < 0.25) {
    OverloadTenant(tenants_[static_cast<std::size_t>(Draw(0, 6))],
                   FromSeconds(Draw(3, 10)), Draw(3, 9));
  } else if (kind < 0.45) {
    PartitionRouters(Draw(0.05, 0.9), now_ + FromSeconds(Draw(1, 10)));
  } else if (kind < 0.6) {
    for (Router& router : routers_) {
      if (Chance(0.15)) {
        router.paused_until = now_ + FromSeconds(Draw(0.5, 5));
      }
    }
  } else if (kind < 0.75) {
    RestartRouters(Chance(0.2) ? 1 : 0.1);
  } else {
    CrashLeader(FromSeconds(Draw(0.3, 2)));
  }
}

double QuotaWorld::MaximumUse() const {
  double worst = 0;
  for (const Tenant& tenant : tenants_) {
    const double allowed =
        (tenant.limit.per_second * ToSeconds(kTolerance.window) +
         tenant.limit.burst) *
            (1 + kTolerance.overage) +
        kTolerance.slack;
    std::vector<MonotonicTime> uses = tenant.uses;
    std::ranges::sort(uses);
    std::size_t begin = 0;
    for (std::size_t last = 0; last < uses.size(); ++last) {
      while (uses[last] - uses[begin] > kTolerance.window) {
        ++begin;
      }
      worst = std::max(worst, static_cast<double>(last - begin + 1) / allowed);
    }
  }
  return worst;
}

std::size_t QuotaWorld::RefusedWithinLimit() const {
  std::size_t refused_within = 0;
  for (const Tenant& tenant : tenants_) {
    for (const auto& [span, counts] : tenant.spans) {
      const auto& [within, admitted] = counts;
      refused_within += within - std::min(within, admitted);
    }
  }
  return refused_within;
}

QuotaReport QuotaWorld::Run() {
  while (!events_.empty() && events_.top().time < end_) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
  report_.maximum_use = MaximumUse();
  report_.refused_within = RefusedWithinLimit();
  return report_;
}

}  // namespace juniperway::test
