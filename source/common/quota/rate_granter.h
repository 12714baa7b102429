// The leader's side of leased rates, for all keys: which holders have reported
// to this leader, and a FleetRate for each key. This state is not replicated. A
// lease expires before its router can be removed from the membership, so a new
// leader knows all leases once every member has reported, or after one lease
// time. No I/O: time is an argument.
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

// Limits by key; a key is the name of a tenant.
using RateLimits = std::map<std::string, RateLimit>;

// Grants rates and tokens of all keys. The TenantQuotas of each control node
// owns one RateGranter, and uses the RateGranter only while the control node
// leads.
class RateGranter {
 public:
  RateGranter(const RateTolerance& tolerance, double maximum_clock_drift)
      : tolerance_(tolerance), drift_(maximum_clock_drift) {}

  // Begins to grant as the leader of `term`. Earlier leaders may have sent
  // grants until `now`.
  // @param routers names of the routers in the membership.
  // @param pools names of the control nodes' pools.
  void Start(std::uint64_t term, std::set<std::string> routers,
             std::set<std::string> pools, MonotonicTime now);
  // Discards all knowledge of holders when this control node stops being the
  // leader.
  void Stop();

  // Replaces all limits. A key without a limit gets no grants.
  void SetLimits(RateLimits limits, MonotonicTime now);

  // The holder that sent a report.
  struct Sender {
    std::string name;
    // Changes with each start of the holder's process.
    std::uint64_t incarnation = 0;
    // Term of the leader that last answered the holder.
    std::uint64_t term = 0;
    bool is_pool = false;
  };
  // Answers a report with grants of the requested keys. A pool also gets grants
  // of the keys that it did not request, so that its control node has a token
  // for the first request of each key. The caller must make sure that this
  // control node still leads and that the sender is a member.
  std::vector<RateGrant> OnReport(const Sender& sender,
                                  const RateReport& report, MonotonicTime now);

  // Returns the holders that have not reported to this leader yet.
  UnknownHolders Unknown(MonotonicTime now) const;
  std::size_t keys() const { return rates_.size(); }

 private:
  void UpdateIncarnation(const Sender& sender);
  void MarkReported(const Sender& sender, const RateReport& report,
                    MonotonicTime now);
  // Adds grants of the keys that a pool did not request.
  void AddUnrequestedGrants(const Sender& sender, const RateReport& report,
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
  // Incarnations by the name of the holder.
  std::map<std::string, std::uint64_t> incarnations_;
  // Holders that have not reported all their leases to this leader.
  std::set<std::string> unreported_routers_;
  std::set<std::string> unreported_pools_;
  // Time at which all leases of earlier leaders have expired.
  MonotonicTime assumed_until_ = MonotonicTime::min();
  // Time since which this leader knows all holders.
  MonotonicTime known_since_ = MonotonicTime::max();
};

}  // namespace juniperway::quota
