// Simulates, under virtual time, a fleet of routers that share tenants' limits:
// the code of routers, pools and the leader, and failures of network paths,
// daemons and leaders.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/control/rate_pool.h"
#include "common/quota/rate_granter.h"
#include "common/quota/rate_leases.h"

namespace juniperway::test {

// Defects that the test must detect.
enum class QuotaDefect {
  kNone,
  // A new leader assumes that no holder has a lease.
  kLeaderIgnoresLeases,
  // Routers continue to use expired leases.
  kLeasesDoNotExpire,
  // The leader reuses the leases of a partitioned router after one second.
  kEarlyLeaseReuse,
};

// Failures during a simulation.
enum class QuotaFault {
  kNone,
  // The leader crashes, and the next one starts a second later.
  kLeaderCrash,
  // A third of the routers is partitioned from the control nodes for ten
  // seconds.
  kRoutersPartitioned,
  // Tenants send many times their limit while half of the routers are
  // partitioned, and again while the leader crashes too.
  kOverloadAndPartition,
  // All failures, at random times.
  kAll,
};

// Options of one simulation.
struct QuotaOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 60;
  Duration length = seconds(40);
  std::size_t tenants = 24;
  // Requests a second of the tenant with the most requests.
  double largest_rate = 30;
  QuotaDefect defect = QuotaDefect::kNone;
  QuotaFault fault = QuotaFault::kAll;
};

// Result of one simulation.
struct QuotaReport {
  std::size_t requests = 0;
  std::size_t admitted = 0;
  // Requests within the limits according to one token bucket for each tenant,
  // and how many fewer were admitted, summed over tenants and windows of five
  // seconds.
  std::size_t within = 0;
  std::size_t refused_within = 0;
  std::size_t heartbeats = 0;
  std::size_t leaders = 0;
  // Maximum over tenants and windows of the requests sent, as a share of the
  // limit with its tolerance.
  double maximum_use = 0;
};

// Runs one simulation. The test owns the QuotaWorld.
class QuotaWorld {
 public:
  explicit QuotaWorld(const QuotaOptions& options);
  QuotaReport Run();

 private:
  struct Tenant {
    std::string name;
    quota::RateLimit limit;
    // Requests a second; multiplied by `hot_factor` until `hot_until`.
    double typical_rate = 0;
    MonotonicTime hot_until = MonotonicTime::min();
    double hot_factor = 1;
    // Routers that the tenant's clients use.
    std::vector<std::size_t> client_routers;
    // Tokens in a reference bucket, which decides which of the tenant's
    // requests are within the limit.
    double reference = 0;
    MonotonicTime reference_at;
    // Times at which admitted requests were sent.
    std::vector<MonotonicTime> uses;
    // By window: the number of requests within the limit, and the number of
    // admitted requests.
    std::map<std::int64_t, std::pair<std::size_t, std::size_t>> spans;
  };
  struct Router {
    std::string name;
    std::uint64_t incarnation = 1;
    std::uint64_t term = 0;
    quota::RateLeases leases;
    // Queued requests by tenant, the oldest first.
    std::map<std::string, std::vector<std::uint64_t>> waiting;
    MonotonicTime paused_until = MonotonicTime::min();
    MonotonicTime partitioned_until = MonotonicTime::min();
    MonotonicTime down_until = MonotonicTime::min();
    // Arrival time of the last message in each direction, because a connection
    // keeps the order of its messages.
    MonotonicTime last_to_leader = MonotonicTime::min();
    MonotonicTime last_to_router = MonotonicTime::min();
    // Time at which a leader last answered the router.
    MonotonicTime answered = MonotonicTime::min();
  };
  // The pool of one control node, with which routers have their sessions.
  struct Pool {
    std::uint64_t incarnation = 1;
    std::unique_ptr<control::RatePool> tokens;
    // End of the partition from the leader.
    MonotonicTime partitioned_until = MonotonicTime::min();
    MonotonicTime down_until = MonotonicTime::min();
    MonotonicTime last_to_leader = MonotonicTime::min();
    MonotonicTime last_to_pool = MonotonicTime::min();
  };
  struct Event {
    MonotonicTime time;
    std::uint64_t order = 0;
    std::function<void()> run;
  };

  void At(MonotonicTime time, std::function<void()> run);
  double Draw(double from, double to);
  bool Chance(double probability) { return Draw(0, 1) < probability; }
  std::size_t DrawRouter();
  bool IsRunning(const Router& router) const;

  void MakeTenants();
  void ScheduleArrival(Tenant& tenant);
  void Arrive(Tenant& tenant);
  bool TakeReference(Tenant& tenant) const;
  void RequestToken(std::size_t index, Tenant& tenant);
  std::pair<std::size_t, std::size_t>& SpanOf(Tenant& tenant) const;
  // Records the sending of a request that took a token.
  void RecordSent(std::size_t index, Tenant& tenant);
  Tenant& TenantOf(const std::string& name);

  void HeartbeatTick(std::size_t index);
  void SendHeartbeat(std::size_t index);
  std::size_t PoolIndexOf(std::size_t router) const;
  // Handles a heartbeat at the router's control node, which serves tokens of
  // its pool and forwards the heartbeat to the leader.
  void OnHeartbeatAtPool(std::size_t index, std::uint64_t incarnation,
                         const std::shared_ptr<protocol::HeartbeatT>& heartbeat,
                         MonotonicTime requested_at);
  // Handles a heartbeat at the leader.
  void OnHeartbeat(std::size_t index, std::uint64_t incarnation,
                   const protocol::HeartbeatT& heartbeat,
                   MonotonicTime requested_at);
  void PoolTick(std::size_t index);
  void OnPoolReport(std::size_t index,
                    const std::shared_ptr<protocol::MemberHeartbeatT>& report);
  void RestartPool(Pool& pool, std::size_t index);
  void OnReply(std::size_t index, std::uint64_t incarnation,
               const std::vector<quota::RateGrant>& grants, std::uint64_t term,
               MonotonicTime requested_at);
  // Returns the arrival time of a message sent now. A network partition delays
  // the message.
  // @param maximum_delay the maximum one-way delay of the network path.
  // @param last the arrival time of the previous message; updated.
  MonotonicTime Arrival(MonotonicTime partitioned_until, Duration maximum_delay,
                        MonotonicTime& last);

  void StartLeader();
  std::set<std::string> Members() const;
  void ScheduleFault();
  void CauseFault();
  void PartitionRouters(double share, MonotonicTime until);
  void RestartRouters(double share);
  void CrashLeader(Duration downtime);
  void OverloadTenant(Tenant& tenant, Duration length, double factor);
  double MaximumUse() const;
  std::size_t RefusedWithinLimit() const;

  QuotaOptions options_;
  std::mt19937_64 random_;
  MonotonicTime now_{seconds(1000)};
  MonotonicTime end_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 0;
  std::function<bool(const Event&, const Event&)> later_;
  std::priority_queue<Event, std::vector<Event>,
                      std::function<bool(const Event&, const Event&)>>
      events_;
  std::vector<Tenant> tenants_;
  std::vector<Router> routers_;
  std::vector<Pool> pools_;
  quota::RateGranter granter_;
  std::uint64_t term_ = 0;
  bool leads_ = false;
  QuotaReport report_;
};

}  // namespace juniperway::test
