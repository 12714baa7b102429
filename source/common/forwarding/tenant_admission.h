// Enforces the tenants' rate limits, which hold across all routers of the
// fleet. Most requests take a token from the router's own lease. If the lease
// has no token, the request waits for the next grant of the leader, which takes
// one round trip.
//
// quota::RateLeases makes the decisions; this class adds the queue of waiting
// requests and their timer. RouterServer owns it; it runs on one event loop.
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
  kUndecided,  // The control group did not answer; the router has no token.
};
// Returns the name that logs and metrics show.
const char* NameOf(LimitDecision decision);

// Admits or refuses requests of rate-limited tenants.
class TenantAdmission {
 public:
  // How long a request waits for a grant: eight round trips between regions (24
  // ms). It is shorter than a leader election (about a second): the router
  // refuses a request during an election while its client still has time to
  // send it again.
  static constexpr Duration kGrantTimeout = milliseconds(200);
  // Retry-After of a kUndecided refusal: half of the time that a leader
  // election takes.
  static constexpr Duration kUndecidedRetryAfter = milliseconds(500);

  // @param retry_after for a refusal, the time until a token may be available.
  using Callback =
      std::function<void(LimitDecision decision, Duration retry_after)>;

  // @param request_report called when the result of MakeReport() should be sent
  //   to the control group soon.
  TenantAdmission(asio::io_context& context,
                  std::function<void()> request_report);

  // Calls `callback` once: immediately or within kGrantTimeout.
  void Admit(const std::string& tenant, Callback callback);
  // Releases the token of a request that was never sent to a backend.
  void ReleaseToken(const std::string& tenant);
  // Takes another token for a request whose own token has expired.
  // @return when the new token expires; std::nullopt when there is none.
  std::optional<MonotonicTime> RenewToken(const std::string& tenant);

  quota::RateReport MakeReport(MonotonicTime now);
  // @param report_sent_at when the router sent the report that the grants
  //   answer.
  void OnGrants(const std::vector<quota::RateGrant>& grants, std::uint64_t term,
                MonotonicTime report_sent_at);

  quota::RateLeases::LeaseState Describe(const std::string& tenant);
  std::size_t waiting() const { return waiting_count_; }

  // How long after its admission a request may use its token.
  static constexpr Duration kTokenTimeToLive = quota::kMaximumGrantAge;

 private:
  struct Waiting {
    Callback callback;
    MonotonicTime since;
  };

  // Removes the first `count` requests from the tenant's queue.
  // @return their callbacks.
  std::vector<Callback> TakeWaiting(const std::string& tenant,
                                    std::size_t count);
  void OnGrant(const quota::RateGrant& grant, std::uint64_t term,
               MonotonicTime report_sent_at, MonotonicTime now);
  void ExpireWaiting();
  void ArmTimer();

  std::function<void()> request_report_;
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  quota::RateLeases leases_;
  // Waiting requests by tenant; each queue has the oldest request first.
  std::map<std::string, std::deque<Waiting>> waiting_;
  std::size_t waiting_count_ = 0;
  // Whether a request has waited kGrantTimeout without a grant, and no grant
  // has arrived since.
  bool control_unresponsive_ = false;
};

}  // namespace juniperway::forwarding
