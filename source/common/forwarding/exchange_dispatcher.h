// Owns the exchanges of one router while they are in flight, and resumes
// exchanges that wait for backends when backends may have become free.
//
// RouterServer owns the dispatcher, which runs on the io_context's thread. An
// AdmissionQueue orders the waiting exchanges. The dispatcher resumes them only
// from its own timer, never inside a call of OnProgress or OnOver.
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

// Starts, resumes and releases exchanges; see the top of this file.
class ExchangeDispatcher {
 public:
  // Maximum number of waiting requests; the dispatcher refuses further ones at
  // once.
  static constexpr std::size_t kMaximumWaiting = 512;

  explicit ExchangeDispatcher(asio::io_context& context);

  // Starts an exchange and owns it until OnOver.
  void Start(const std::shared_ptr<Exchange>& exchange);

  // The callbacks of Exchange::Environment: OnProgress is called after an
  // attempt of the exchange has ended, OnOver once the exchange is over.
  void OnProgress(const Exchange& exchange);
  void OnOver(const Exchange& exchange);

  // Abandons every exchange in flight, at the end of a graceful shutdown.
  void AbandonAll();

  std::size_t in_flight() const { return exchanges_.size(); }

 private:
  // Adds the exchange to short_of_backends_ or removes it, according to its
  // current state.
  void TrackShortage(const Exchange& exchange);
  bool IsAnythingWaiting() const;
  // Calls Dispatch after `delay`, or earlier if an earlier call is scheduled.
  void ScheduleDispatch(Duration delay);
  void Dispatch();
  void DispatchAdmitted();
  void DispatchWaiting();

  using RequestNumber = AdmissionQueue::RequestNumber;

  asio::steady_timer timer_;
  MonotonicTime next_dispatch_ = MonotonicTime::max();
  // Exchanges in flight by request number, which is the order of arrival.
  std::map<RequestNumber, std::shared_ptr<Exchange>> exchanges_;
  AdmissionQueue admission_;
  // Admitted exchanges with shards that wait for a backend.
  std::set<RequestNumber> short_of_backends_;
};

}  // namespace juniperway::forwarding
