// What a service may spend on extra subqueries: a token bucket that every first
// subquery fills by the service's share and every hedge or retry empties by
// one. Over any span: extra subqueries <= share * first ones + kReserve, and
// what a quiet spell leaves over is bounded by the last windows' traffic.
#pragma once

#include <cstdint>

#include "common/base/time.h"

namespace juniperway::routing {

class RetryBudget {
 public:
  // Tokens at the start, and kept however little traffic there is: a service
  // with few queries can still retry now and then.
  static constexpr double kReserve = 10;
  // Unspent tokens beyond those of the current and the previous window lapse.
  static constexpr Duration kWindow = seconds(10);

  // A first subquery was sent.
  // @param share of the service (Service::retry_budget).
  void Deposit(double share, MonotonicTime now);

  // Takes one token for a hedge or a retry.
  // @return false when there is none: nothing extra may be sent.
  bool TryWithdraw();

  // Takes tokens for extra work that must be done (a restart on a newer
  // snapshot); the balance may go below zero, so that hedges and retries pause
  // until it is paid back.
  void Charge(std::uint64_t subqueries);

  double balance() const { return tokens_; }

 private:
  void Roll(MonotonicTime now);

  double tokens_ = kReserve;
  double window_deposits_ = 0;
  double previous_window_deposits_ = 0;
  MonotonicTime window_start_{};
};

}  // namespace juniperway::routing
