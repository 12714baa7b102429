// The leader's side of leased rates, for all keys: who reported under this
// leader, and a FleetRate a key. Nothing of it is replicated: a lease ends
// before its router can be out of the membership, so that a new leader knows
// all of them once every member has reported, or after one lease time. Pure:
// time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/quota/fleet_rate.h"
#include "common/quota/rate_limit.h"
#include "common/quota/rate_messages.h"

namespace juniperway::quota {

using RateLimits = std::map<std::string, RateLimit>;

class RateGranter {
 public:
  RateGranter(const RateTolerance& tolerance, double maximum_clock_drift)
      : tolerance_(tolerance), drift_(maximum_clock_drift) {}

  // This machine leads in `term`; earlier leaders may have granted until now.
  // @param routers that are members.
  // @param pools of control machines.
  void Start(std::uint64_t term, std::set<std::string> routers,
             std::set<std::string> pools, MonotonicTime now);
  // It no longer leads: everything is forgotten.
  void Stop();

  // Replaces all limits. A key without one is not granted anything.
  void SetLimits(RateLimits limits, MonotonicTime now);

  struct Sender {
    std::string name;
    // Changes with each start of its process.
    std::uint64_t incarnation = 0;
    // Of the leader that answered it last.
    std::uint64_t term = 0;
    bool is_pool = false;
  };
  // Only while it leads for certain, and only of members. A pool is granted a
  // stock of all keys, so that the first request of each finds a token near.
  std::vector<RateGrant> OnReport(const Sender& sender,
                                  const RateReport& report, MonotonicTime now);

  // Holders that this leader has not heard of.
  UnknownHolders Unknown(MonotonicTime now) const;
  std::size_t keys() const { return rates_.size(); }

 private:
  void NoteProcess(const Sender& sender);
  void NoteReported(const Sender& sender, const RateReport& report,
                    MonotonicTime now);
  // Stocks of keys that a pool did not ask for.
  void AddUnaskedGrants(const Sender& sender, const RateReport& report,
                        std::vector<RateGrant>& grants, MonotonicTime now);
  RateGrant Grant(const Sender& sender, const RateRequest& request,
                  const RateLimit& limit, MonotonicTime now);
  FleetRate& RateOf(const std::string& key, const RateLimit& limit,
                    MonotonicTime now);

  RateTolerance tolerance_;
  double drift_;
  std::uint64_t term_ = 0;
  std::uint64_t grants_ = 0;
  RateLimits limits_;
  std::map<std::string, FleetRate> rates_;
  // By holder.
  std::map<std::string, std::uint64_t> incarnations_;
  // Holders that have not reported all their leases under this leader.
  std::set<std::string> unreported_routers_;
  std::set<std::string> unreported_pools_;
  // What earlier leaders leased has ended by then.
  MonotonicTime assumed_until_ = MonotonicTime::min();
  // All holders have been known since.
  MonotonicTime known_since_ = MonotonicTime::max();
};

}  // namespace juniperway::quota
