// Lets requests of tenants through as far as the tenants' limits go, over the
// whole fleet. Most requests find a token of the router's own lease; one that
// does not waits until the leader was asked, which takes a round trip.
//
// The decisions are quota::RateLeases; this adds the requests that wait and
// their timer. One event loop.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/quota/rate_leases.h"

namespace juniperway::forwarding {

enum class LimitDecision {
  kAdmitted,
  kOverLimit,  // The tenant has used up its limit.
  kUndecided,  // Control did not answer, and the router holds no token.
};
const char* NameOf(LimitDecision decision);

class TenantAdmission {
 public:
  // How long a request waits for control's answer: eight round trips between
  // regions (24 ms). It does not last over an election (about a second); a
  // client that is refused after it has time to try again.
  static constexpr Duration kLongestAsk = milliseconds(200);
  // After a refusal for want of an answer: half of the time that an election
  // takes.
  static constexpr Duration kUndecidedRetryAfter = milliseconds(500);

  // @param retry_after of a refusal: when there may be a token.
  using Callback =
      std::function<void(LimitDecision decision, Duration retry_after)>;

  // @param ask control should be sent MakeReport() soon.
  TenantAdmission(asio::io_context& context, std::function<void()> ask);

  // Calls back once, at once or within kLongestAsk.
  void Admit(const std::string& tenant, Callback callback);
  // The request was never sent to a back end.
  void GiveBack(const std::string& tenant);
  // Another token for a request that waited too long to use its own.
  // @return until when it is to be used; nothing: there is none.
  std::optional<MonotonicTime> RenewToken(const std::string& tenant);

  quota::RateReport MakeReport(MonotonicTime now);
  // @param asked_at when the report that they answer was sent.
  void OnGrants(const std::vector<quota::RateGrant>& grants, std::uint64_t term,
                MonotonicTime asked_at);

  quota::RateLeases::Insight Describe(const std::string& tenant);
  std::size_t waiting() const { return waiting_count_; }

  // How long an admitted request may take until it is sent.
  static constexpr Duration kTokenLife = quota::kLongestGrantAge;

 private:
  struct Waiting {
    Callback callback;
    MonotonicTime since;
  };

  // Takes the first `count` out of the tenant's queue.
  std::vector<Callback> TakeWaiting(const std::string& tenant,
                                    std::size_t count);
  void OnGrant(const quota::RateGrant& grant, std::uint64_t term,
               MonotonicTime asked_at, MonotonicTime now);
  void ExpireWaiting();
  void ArmTimer();

  std::function<void()> ask_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  quota::RateLeases leases_;
  // By tenant, the oldest first.
  std::map<std::string, std::deque<Waiting>> waiting_;
  std::size_t waiting_count_ = 0;
  // A request waited in vain, and control has not answered since.
  bool control_silent_ = false;
};

}  // namespace juniperway::forwarding
