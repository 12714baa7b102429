// A holder's side of leased rates: the tokens that it may use by itself, what
// it asks the leader for, and what came back. Holders are routers, and pools of
// control machines. Pure: time is an argument.
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

// How a holder keeps keys.
struct HolderOptions {
  bool is_pool = false;
  // Keys in one report. One takes about 60 bytes in a heartbeat: 4 KB a second
  // of a router, a fifth of what control may cost a daemon (21 KB/s).
  std::size_t maximum_requests = 64;
  // A key with less demand, requests a second, is let go of. Of a router: one
  // request in twelve seconds. A pool keeps a key for a minute after its last
  // request: it is near many routers, and few come often.
  double least_demand = 0.02;
};
inline constexpr HolderOptions kPoolOptions{
    .is_pool = true, .maximum_requests = 512, .least_demand = 1e-6};

class RateLeases {
 public:
  explicit RateLeases(const HolderOptions& options = {}) : options_(options) {}

  // Demand fades to 1 / e in this time.
  static constexpr Duration kDemandMemory = seconds(5);
  // A request of the key came.
  void OnDemand(const std::string& key, MonotonicTime now);
  // @return true when a token was there; it is taken.
  bool TryTake(const std::string& key, MonotonicTime now);
  // The request that took a token was not sent to anybody, and never will be.
  void GiveBack(const std::string& key, MonotonicTime now);
  // Requests that wait for a token of the key.
  void SetWaiting(const std::string& key, std::uint32_t waiting);

  // Tokens of the key run low: the leader should be asked soon.
  bool NeedsTokens(const std::string& key, MonotonicTime now);
  // The limit is used up over the whole fleet until then; min(): not known so.
  MonotonicTime ExhaustedUntil(const std::string& key) const;

  RateReport MakeReport(MonotonicTime now);
  // @param term of the leader that granted it.
  // One that comes kLongestGrantAge after its report or later is not taken in.
  // @param asked_at when the report that it answers was made.
  // @return tokens for requests that wait: they are taken.
  // Grants of pools (number 0) bring tokens only.
  std::uint32_t OnGrant(const RateGrant& grant, std::uint64_t term,
                        MonotonicTime asked_at, MonotonicTime now);

  // For the log: what is known of a key.
  struct Insight {
    std::uint64_t grant = 0;
    double rate = 0;
    double tokens = 0;
    // Since the grant was asked for; zero: there is none.
    Duration age{};
  };
  Insight Describe(const std::string& key, MonotonicTime now);

 private:
  // Tokens asked for in a report that is not answered yet.
  struct Asked {
    MonotonicTime at;
    std::uint32_t waiting = 0;
    std::uint32_t room = 0;
  };
  struct Entry {
    std::uint64_t grant = 0;
    double rate = 0;
    double stock = 0;
    double tokens = 0;
    MonotonicTime asked_at;
    MonotonicTime end = MonotonicTime::min();
    MonotonicTime advanced_to;
    // Requests within kDemandMemory, the older ones counted less.
    double requests = 0;
    MonotonicTime requests_at;
    std::uint32_t waiting = 0;
    // The oldest first.
    std::deque<Asked> asked;
    // See RateRequest.
    double returned = 0;
    MonotonicTime exhausted_until = MonotonicTime::min();
  };

  // Brings the tokens up to `now`.
  static void Advance(Entry& entry, MonotonicTime now);
  static void FadeDemand(Entry& entry, MonotonicTime now);
  static double DemandOf(const Entry& entry);
  // Tokens for what waits, the rest into the stock.
  // @return how many were used.
  static std::uint32_t UseTokens(Entry& entry, std::uint32_t granted);
  // Keeps what fits into the stock, and returns the rest.
  static void KeepTokens(Entry& entry, double tokens);
  RateRequest MakeRequest(const std::string& key, Entry& entry,
                          MonotonicTime now) const;
  // Whether the leader has to hear of the key.
  bool IsReported(const Entry& entry, MonotonicTime now) const;
  // Of keys whose demand has been brought up to `now`.
  void ForgetIdle(MonotonicTime now);

  HolderOptions options_;
  std::map<std::string, Entry> entries_;
  // Highest term that a grant came from; older ones are not taken in.
  std::uint64_t term_ = 0;
};

}  // namespace juniperway::quota
