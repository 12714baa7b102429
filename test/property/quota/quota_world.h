// A fleet of routers that share tenants' limits, under virtual time: the pure
// code of routers, pools and the leader, and links, machines and leaders that
// fail.
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

// What is planted to be found.
enum class QuotaDefect {
  kNone,
  // A new leader takes it that nobody holds a lease.
  kForgetfulLeader,
  // Routers go on with leases that have ended.
  kEndlessLeases,
  // The lease of a router that is silent for a second is leased anew at once.
  kEagerReuse,
};

enum class QuotaTrouble {
  kNone,
  // One leader is lost, and the next one starts a second later.
  kLeaderLost,
  // A third of the routers is cut off from control for ten seconds.
  kRoutersCut,
  // Tenants want many times their limit while half of the routers are cut off,
  // and once more, when the leader is lost too.
  kHotAndCut,
  // Everything, again and again.
  kAll,
};

struct QuotaOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 60;
  Duration length = seconds(40);
  std::size_t tenants = 24;
  // Requests a second of the largest tenant.
  double largest = 30;
  QuotaDefect defect = QuotaDefect::kNone;
  QuotaTrouble trouble = QuotaTrouble::kAll;
};

struct QuotaReport {
  std::size_t requests = 0;
  std::size_t admitted = 0;
  // By a token bucket of each tenant's limit, and how many fewer were admitted,
  // counted in spans of five seconds a tenant.
  std::size_t within = 0;
  std::size_t short_of = 0;
  std::size_t heartbeats = 0;
  std::size_t leaders = 0;
  // The largest use of any tenant in a window, as a share of what is allowed.
  double worst_use = 0;
};

class QuotaWorld {
 public:
  explicit QuotaWorld(const QuotaOptions& options);
  QuotaReport Run();

 private:
  struct Tenant {
    std::string name;
    quota::RateLimit limit;
    // Requests a second; a multiple of it while it is hot.
    double usual = 0;
    MonotonicTime hot_until = MonotonicTime::min();
    double hot_factor = 1;
    // Routers that its clients use.
    std::vector<std::size_t> homes;
    // A token bucket of the limit over all that came: who is within it.
    double reference = 0;
    MonotonicTime reference_at;
    std::vector<MonotonicTime> uses;
    // By span: requests within the limit, and those that were admitted.
    std::map<std::int64_t, std::pair<std::size_t, std::size_t>> spans;
  };
  struct Router {
    std::string name;
    std::uint64_t incarnation = 1;
    std::uint64_t term = 0;
    quota::RateLeases leases;
    // By tenant, the oldest first.
    std::map<std::string, std::vector<std::uint64_t>> waiting;
    MonotonicTime frozen_until = MonotonicTime::min();
    MonotonicTime cut_until = MonotonicTime::min();
    MonotonicTime down_until = MonotonicTime::min();
    // A connection keeps the order of its messages, each way.
    MonotonicTime last_to_leader = MonotonicTime::min();
    MonotonicTime last_to_router = MonotonicTime::min();
    // When any leader answered it last.
    MonotonicTime answered = MonotonicTime::min();
  };
  // One control machine's; routers have their sessions there.
  struct Pool {
    std::uint64_t incarnation = 1;
    std::unique_ptr<control::RatePool> tokens;
    // From the leader.
    MonotonicTime cut_until = MonotonicTime::min();
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
  void Ask(std::size_t index, Tenant& tenant);
  std::pair<std::size_t, std::size_t>& SpanOf(Tenant& tenant) const;
  // A token was taken: the request is sent.
  void Use(std::size_t index, Tenant& tenant);
  Tenant& TenantOf(const std::string& name);

  void Beat(std::size_t index);
  void SendHeartbeat(std::size_t index);
  std::size_t PoolIndexOf(std::size_t router) const;
  // At the router's control machine, which serves it and passes it on.
  void OnHeartbeatAtPool(std::size_t index, std::uint64_t incarnation,
                         const std::shared_ptr<protocol::HeartbeatT>& heartbeat,
                         MonotonicTime asked_at);
  // At the leader.
  void OnHeartbeat(std::size_t index, std::uint64_t incarnation,
                   const protocol::HeartbeatT& heartbeat,
                   MonotonicTime asked_at);
  void BeatPool(std::size_t index);
  void OnPoolReport(std::size_t index,
                    const std::shared_ptr<protocol::MemberHeartbeatT>& report);
  void RestartPool(Pool& pool, std::size_t index);
  void OnReply(std::size_t index, std::uint64_t incarnation,
               const std::vector<quota::RateGrant>& grants, std::uint64_t term,
               MonotonicTime asked_at);
  // When a message arrives; one over a link that is cut waits.
  // @param longest way of the link.
  // @param last when the one before it arrives.
  MonotonicTime Arrival(MonotonicTime cut_until, Duration longest,
                        MonotonicTime& last);

  void StartLeader();
  std::set<std::string> Members() const;
  void ScheduleTrouble();
  void MakeTrouble();
  void CutRouters(double share, MonotonicTime until);
  void RestartRouters(double share);
  void LoseLeader(Duration without);
  void HeatTenant(Tenant& tenant, Duration length, double factor);
  double WorstUse() const;
  std::size_t ShortOf() const;

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
