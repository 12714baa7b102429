// Retry budget of a service: a token bucket that bounds its hedges and retries.
// Every first subquery adds the service's share of a token; every hedge or
// retry takes one token. Since the start, hedges + retries <= share * first
// subqueries + kReserve. Unspent tokens are bounded by the deposits of the
// current and the previous window, so that a long period without failures does
// not permit a burst.
#pragma once

#include <cstdint>

#include "common/base/time.h"

namespace juniperway::routing {

// Token bucket of one service. Each ServiceState owns one, so there is one per
// service and front. One token pays for one subquery.
class RetryBudget {
 public:
  // Initial tokens, which never expire: a service with little traffic can
  // still retry occasionally.
  static constexpr double kReserve = 10;
  // Unspent tokens, beyond kReserve, expire with the end of the window after
  // the one in which they were deposited.
  static constexpr Duration kWindow = seconds(10);

  // Adds the tokens for one first subquery.
  // @param share tokens per first subquery (Service::retry_budget).
  void Deposit(double share, MonotonicTime now);

  // Takes one token for a hedge or a retry.
  // @return false when less than one token remains; the attempt must not be
  // sent.
  bool TryWithdraw();

  // Takes one token per subquery for the repeated work of a restart on a newer
  // snapshot. The balance may become negative; hedges and retries are then
  // refused until deposits make up for the debt.
  void Charge(std::uint64_t subqueries);

  double balance() const { return tokens_; }

 private:
  // Starts a new window when the current one has ended.
  void Roll(MonotonicTime now);

  double tokens_ = kReserve;
  double window_deposits_ = 0;
  double previous_window_deposits_ = 0;
  MonotonicTime window_start_{};
};

}  // namespace juniperway::routing
