// A holder's side of leased rates: the tokens that the holder may use without
// the leader, its requests to the leader, and the leader's grants. Holders are
// routers and pools of control nodes. No I/O: time is an argument.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "common/base/time.h"
#include "common/quota/rate_limit.h"
#include "common/quota/rate_messages.h"

namespace juniperway::quota {

// Which keys a holder keeps and reports.
struct HolderOptions {
  bool is_pool = false;
  // Maximum number of keys in one report. One takes about 60 bytes in a
  // heartbeat, so a router sends 4 KB/s: a fifth of the bandwidth that control
  // traffic may take on a daemon (21 KB/s).
  std::size_t maximum_requests = 64;
  // A holder releases a key whose demand is below this value, in requests a
  // second. A router releases a key about twelve seconds after its last single
  // request. A pool keeps a key for about a minute, because it serves many
  // routers, each of which requests a key rarely.
  double minimum_demand = 0.02;
};
inline constexpr HolderOptions kPoolOptions{
    .is_pool = true, .maximum_requests = 512, .minimum_demand = 1e-6};

// The leases of one holder, for all keys. A router owns one RateLeases for its
// tenants; a control node owns one for its pool. Rates are in tokens a second;
// a request takes one token.
class RateLeases {
 public:
  explicit RateLeases(const HolderOptions& options = {}) : options_(options) {}

  // Time constant of the exponential decay of the demand.
  static constexpr Duration kDemandDecayTime = seconds(5);
  // Counts a request of the key in the holder's demand.
  void OnDemand(const std::string& key, MonotonicTime now);
  // Takes a token if there is one.
  // @return whether a token was taken.
  bool TryTake(const std::string& key, MonotonicTime now);
  // Releases the token of a request that was not sent and will not be sent.
  void ReleaseToken(const std::string& key, MonotonicTime now);
  // Sets the number of requests that are queued for a token of the key.
  void SetQueued(const std::string& key, std::uint32_t waiting);

  // Whether requests are queued for the key or less than one token remains; the
  // holder should then send a report soon.
  bool NeedsTokens(const std::string& key, MonotonicTime now);
  // Returns the time until which, according to the leader, the fleet has no
  // token of the key; min() if the leader announced no such time.
  MonotonicTime ExhaustedUntil(const std::string& key) const;

  RateReport MakeReport(MonotonicTime now);
  // Applies a grant. If the grant arrives more than kMaximumGrantAge after the
  // report, or a later grant has been applied, the holder ignores the lease and
  // returns the tokens of the grant to the leader. Grants of pools (number 0)
  // have tokens and no lease.
  // @param term the term of the leader that made the grant.
  // @param requested_at the time of the report that the grant answers.
  // @return number of queued requests that get a token now.
  std::uint32_t OnGrant(const RateGrant& grant, std::uint64_t term,
                        MonotonicTime requested_at, MonotonicTime now);

  // The state of the lease of one key, for the log.
  struct LeaseState {
    std::uint64_t grant = 0;
    double rate = 0;
    double tokens = 0;
    // Time since the holder requested the grant; zero if there is no grant.
    Duration age{};
  };
  LeaseState GetLeaseState(const std::string& key, MonotonicTime now);

 private:
  // Tokens requested in a report that has not been answered yet.
  struct TokenRequest {
    MonotonicTime at;
    std::uint32_t waiting = 0;
    std::uint32_t room = 0;
  };
  struct Entry {
    std::uint64_t grant = 0;
    double rate = 0;
    double stock = 0;
    double tokens = 0;
    MonotonicTime requested_at;
    MonotonicTime end = MonotonicTime::min();
    MonotonicTime advanced_to;
    // Number of requests, decaying exponentially with kDemandDecayTime.
    double requests = 0;
    MonotonicTime demand_updated_at;
    std::uint32_t waiting = 0;
    // Unanswered requests for tokens, the oldest first.
    std::deque<TokenRequest> unanswered;
    // See RateRequest::returned.
    double returned = 0;
    MonotonicTime exhausted_until = MonotonicTime::min();
  };

  // Adds the tokens of the leased rate until `now`, and ends an expired lease.
  static void Advance(Entry& entry, MonotonicTime now);
  static void DecayDemand(Entry& entry, MonotonicTime now);
  static double DemandOf(const Entry& entry);
  // Gives tokens to the queued requests and puts the rest into the reserve.
  // @return number of tokens that queued requests got.
  static std::uint32_t UseTokens(Entry& entry, std::uint32_t granted);
  // Keeps the tokens that fit into the reserve, and returns the rest to the
  // leader.
  static void KeepTokens(Entry& entry, double tokens);
  RateRequest MakeRequest(const std::string& key, Entry& entry,
                          MonotonicTime now) const;
  // Whether the holder reports the key to the leader.
  bool IsReported(const Entry& entry, MonotonicTime now) const;
  // Removes keys without a lease, queued requests or demand. The demand of all
  // keys must have been decayed to `now`.
  void RemoveIdle(MonotonicTime now);

  HolderOptions options_;
  std::map<std::string, Entry> entries_;
  // Maximum term of the grants so far; grants of earlier terms are ignored.
  std::uint64_t term_ = 0;
};

}  // namespace juniperway::quota
