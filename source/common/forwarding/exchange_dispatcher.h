// The exchanges of one router: keeps them alive while they are in flight, and
// lets those that wait for back ends go on when some may have become free.
//
// Owns the exchanges and the order of what waits (AdmissionQueue). Runs on the
// io_context's thread. Waiting exchanges go on only from its own timer, never
// inside a call of OnProgress or OnOver.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

#include "common/forwarding/admission_queue.h"
#include "common/forwarding/exchange.h"

namespace juniperway::forwarding {

class ExchangeDispatcher {
 public:
  // More waiting requests are refused at once.
  static constexpr std::size_t kMaximumWaiting = 512;

  explicit ExchangeDispatcher(asio::io_context& context);

  // Starts an exchange and keeps it until OnOver.
  void Start(const std::shared_ptr<Exchange>& exchange);

  // For Exchange::Environment: an attempt has ended, or the exchange has.
  void OnProgress(const Exchange& exchange);
  void OnOver(const Exchange& exchange);

  // Answers everything in flight at once (the end of a planned stop).
  void AbandonAll();

  std::size_t in_flight() const { return exchanges_.size(); }

 private:
  // Keeps short_of_backends_ up to date for this exchange.
  void TrackShortage(const Exchange& exchange);
  bool IsAnythingWaiting() const;
  // Dispatches after `delay`, or earlier if that is due already.
  void ScheduleDispatch(Duration delay);
  void Dispatch();
  void DispatchAdmitted();
  void DispatchWaiting();

  using RequestNumber = AdmissionQueue::RequestNumber;

  asio::steady_timer timer_;
  MonotonicTime next_dispatch_ = MonotonicTime::max();
  // By number: in the order of arrival.
  std::map<RequestNumber, std::shared_ptr<Exchange>> exchanges_;
  AdmissionQueue admission_;
  // Admitted, with shards that wait for a back end.
  std::set<RequestNumber> short_of_backends_;
};

}  // namespace juniperway::forwarding
